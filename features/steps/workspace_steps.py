"""Steps for workspaces and keys, from a caller's request to that of a replica."""

from datetime import timedelta
from json import dumps
from re import findall
from time import process_time
from typing import Any

from behave import given, then, when
from behave.runner import Context
from expression import Result
from fakes.dispatcher import make_dispatcher
from fakes.replica_script import make_dispatch_harness
from fakes.virtual_time import run_in_virtual_time
from hypothesis import given as given_data, settings, strategies

from lovagetray import SystemClock
from lovagetray._routing_errors import StateTooOld
from lovagetray._routing_types import CallerRequest, Route
from lovagetray.gateway import AccessControl
from lovagetray.platform.formats import (
    decode_document,
    decode_request,
    encode_failure,
    replica_encoder,
)
from lovagetray.queries.access import access_limits, request_priority
from lovagetray.state import (
    RoutingState,
    RoutingTable,
    build_table,
    document_problems,
)
from lovagetray.wire import RawRequest

_KEY, _SECOND_KEY, _ZETA_KEY = "acme-key-4711", "acme-key-0815", "zeta-key-1234"
_TOKEN = b"Token " + _KEY.encode()
_CHALLENGE = (b"WWW-Authenticate", b"Token")
_FORGED = (b"Tenant", b"zeta")
_HEADERS: dict[str, list[tuple[bytes, bytes]]] = {
    "a key of acme": [(b"Authorization", _TOKEN)],
    "the second key of acme": [(b"AUTHORIZATION", b"Token " + _SECOND_KEY.encode())],
    "a key of acme and a forged workspace": [(b"authorization", _TOKEN), _FORGED],
    "a key of acme and two forged ones": [
        _FORGED,
        (b"Authorization", _TOKEN),
        (b"tenant", b"x"),
    ],
    "a key of acme named as hop-by-hop": [
        (b"Connection", b"authorization, tenant"),
        (b"Authorization", _TOKEN),
        _FORGED,
    ],
    "a key of acme with spaces around": [(b"Authorization", b" " + _TOKEN + b" \t")],
    "a key of acme and a scheme in capitals": [
        (b"Authorization", _TOKEN.replace(b"Token ", b"TOKEN  "))
    ],
    "a forged workspace alone": [_FORGED],
    "no Authorization header": [],
    "the same key in two headers": [(b"Authorization", _TOKEN)] * 2,
    "another key in a second header": [
        (b"Authorization", _TOKEN),
        (b"authorization", b"Token " + _ZETA_KEY.encode()),
    ],
    "a scheme in a second header": [
        (b"Authorization", _TOKEN),
        (b"Authorization", b"Basic YTpi"),
    ],
}
_VALUES = {
    "an empty header": b"",
    "the scheme alone": b"Token",
    "an empty key": b"Token ",
    "the key alone": _KEY.encode(),
    "another scheme": b"Bearer " + _KEY.encode(),
    "a tab after the scheme": b"Token\t" + _KEY.encode(),
    "a key of 8 kB": b"Token " + b"k" * 8192,
    "a non-ASCII key": b"Token " + "sch\xf6n".encode(),
    "a key with a NUL": _TOKEN + b"\x00",
    "two keys in a header": _TOKEN + b", " + _TOKEN,
    "the first half of a key": _TOKEN[:-6],
    "a key with a letter more": _TOKEN + b"x",
    "a key in upper case": b"Token " + _KEY.upper().encode(),
    "two keys joined by a comma": _TOKEN + b"," + _ZETA_KEY.encode(),
    "the name of a workspace": b"Token acme",
}
_ACME = {"Name": "acme", "ApiKeys": [_KEY, _SECOND_KEY], "Priority": 0}
_ZETA = {"Name": "zeta", "ApiKeys": [_ZETA_KEY]}
_DOCUMENT_CHANGES: dict[str, list[dict[str, Any]]] = {
    "two workspaces share a key": [_ACME, _ZETA | {"ApiKeys": [_ZETA_KEY, _KEY]}],
    "two workspaces share a name": [_ACME, _ZETA | {"Name": "acme"}],
    "two names differ by a space": [_ACME, _ZETA | {"Name": "acme "}],
    "a name is blank": [_ACME, _ZETA | {"Name": "  "}],
    "10,000 workspaces share a key": [
        {"Name": f"w{number}", "ApiKeys": [_KEY]} for number in range(10_000)
    ],
}
_DOCUMENT_DELAY = timedelta(seconds=4)
_LIMITS = access_limits(None, _DOCUMENT_DELAY)
# A request of 20 us, of which authentication must not be the larger part.
_MAX_SECONDS = 20e-6


def _document(workspaces: list[dict[str, Any]] | None) -> dict[str, Any]:
    route = {"Host": "h", "RouteType": "safe", "TimeoutMs": 100, "Service": "s"}
    return {
        "Version": 1,
        "Routes": [
            route | {"Name": "closed", "PathPrefix": "/closed", "Priority": 2},
            route | {"Name": "public", "PathPrefix": "/public", "Public": True},
        ],
        "Services": [{"Name": "s"}],
    } | ({} if workspaces is None else {"Tenants": workspaces})


def _request(headers: list[tuple[bytes, bytes]], route: str) -> CallerRequest:
    target = b"/" + route.encode()
    return decode_request(RawRequest(b"GET", target, ((b"Host", b"h"), *headers), b""))


@given('a document with the workspaces "acme" and "zeta"')
def put_workspaces(context: Context) -> None:
    context.document = _document([_ACME, _ZETA])
    context.limits, context.age = _LIMITS, timedelta(0)


@given("a document without workspaces")
def put_no_workspaces(context: Context) -> None:
    put_workspaces(context)
    context.document = _document(None)


@given("a document in which {change}")
def put_changed(context: Context, change: str) -> None:
    match change.removeprefix("a workspace has the ").split(" ", 1):
        case field, value if change not in _DOCUMENT_CHANGES:
            changed = dumps(_document([_ACME | {field: "?"}])).replace('"?"', value)
        case _:
            changed = dumps(_document(_DOCUMENT_CHANGES[change]))
    context.decoded = decode_document(changed.encode())


@given("a limit for revocations of {limit} and state confirmed {age} ago")
def set_age(context: Context, limit: str, age: str) -> None:
    context.limits = access_limits(_parse_seconds(limit), _DOCUMENT_DELAY)
    context.age = _parse_seconds(age)


def _parse_seconds(text: str) -> timedelta | None:
    return timedelta(seconds=float(text[:-2])) if text.endswith(" s") else None


@when("a request comes with {credentials}")
def send_closed(context: Context, credentials: str) -> None:
    send(context, "closed", credentials)


@when("a request to the {route} route comes with {credentials}")
def send(context: Context, route: str, credentials: str) -> None:
    headers = _HEADERS.get(credentials)
    if headers is None:
        headers = [(b"Authorization", _VALUES[credentials])]
    context.result, context.payloads = _answer(context, headers, route)


def _answer(
    context: Context, headers: list[tuple[bytes, bytes]], route: str
) -> tuple[Any, list[bytes]]:
    """Return the result of a request and the requests that replicas received."""

    async def run() -> Any:
        harness = make_dispatch_harness({"s": 1})
        clock = SystemClock()
        access = AccessControl(
            context.limits,
            lambda: (
                None if context.age is None else clock.monotonic_time() - context.age
            ),
            clock,
        )
        routing = RoutingState(decode_document)
        routing.apply(dumps(context.document).encode())
        dependencies = harness.dependencies._replace(encoder=replica_encoder)
        dispatcher = make_dispatcher(routing, dependencies, access)
        result = await dispatcher.answer(_request(headers, route))
        return result, harness.connection_pool.payloads

    return run_in_virtual_time(run)


@then("the caller gets 401 and a challenge for {code}, and nothing is sent")
def check_refused(context: Context, code: str) -> None:
    assert context.result.error.code == code, context.result
    response = encode_failure(context.result.error)
    assert response.status == 401 and _CHALLENGE in response.headers, response
    assert b"key-" not in response.body and not context.payloads


@then("the caller gets 503 and retries elsewhere")
def check_not_run(context: Context) -> None:
    assert isinstance(context.result.error, StateTooOld), context.result
    response = encode_failure(context.result.error)
    assert response.status == 503 and (b"Retry-After", b"0.00") in response.headers
    assert not context.payloads


@then("the replica sees the workspace {name} and no key")
def check_workspace(context: Context, name: str) -> None:
    _check_seen(context, [name.encode()])


@then("the replica sees no workspace and no key")
def check_no_workspace(context: Context) -> None:
    _check_seen(context, [])


def _check_seen(context: Context, workspaces: list[bytes]) -> None:
    assert context.result.is_ok(), context.result
    (payload,) = context.payloads
    assert findall(rb"(?mi)^tenant: (.*)\r$", payload) == workspaces, payload
    assert b"key-" not in payload and b"authorization" not in payload.lower(), payload


@then("the replica sees both headers of the caller unchanged")
def check_unchanged(context: Context) -> None:
    (payload,) = context.payloads
    lines = [
        name + b": " + value for name, value in (_FORGED, (b"authorization", _TOKEN))
    ]
    assert all(payload.count(b"\r\n" + line + b"\r\n") == 1 for line in lines), payload


@then('the document is invalid with the message "{message}" and without a key')
def check_invalid(context: Context, message: str) -> None:
    problems = document_problems(context.decoded.ok)
    assert message in problems and len(problems) < 30, problems
    assert "key-" not in str(problems), problems


@then('the document is unreadable with a message about "{text}"')
def check_unreadable(context: Context, text: str) -> None:
    assert text in str(context.decoded.error), context.decoded


@then("the workspace has no quota")
def check_unlimited(context: Context) -> None:
    workspace = context.decoded.ok.workspaces[0]
    assert (workspace.rate, workspace.burst) == (0, 0), workspace


@then("no message for a changed document contains a key")
def check_messages(context: Context) -> None:
    source = dumps(_document([_ACME, _ZETA])).encode()
    values = strategies.sampled_from((b'"', b"{}", b"[1]", b"null", b"-1e999", b"\xff"))

    @settings(max_examples=1000, deadline=None, database=None, derandomize=True)
    @given_data(strategies.data())
    def check(data: Any) -> None:
        start = data.draw(strategies.integers(0, len(source)))
        end = data.draw(strategies.integers(start, min(len(source), start + 40)))
        changed = source[:start] + data.draw(values) + source[end:]
        match decode_document(changed):
            case Result(tag="ok", ok=document):
                message = str(document_problems(document))
            case Result(error=failure):
                message = str(failure)
        assert "key-" not in message, message

    check()


@then("requests with any credentials are refused with 401 or have the key of acme")
def check_any_bytes(context: Context) -> None:
    table = build_table(decode_document(dumps(context.document).encode()).ok)
    clock = SystemClock()
    access = AccessControl(_LIMITS, clock.monotonic_time, clock)
    part = strategies.sampled_from((_TOKEN, b"Token ", _KEY.encode(), b" ", b","))
    value = strategies.one_of(
        strategies.binary(max_size=30),
        strategies.lists(part | strategies.binary(max_size=2)).map(b"".join),
    )

    @settings(max_examples=1000, deadline=None, database=None, derandomize=True)
    @given_data(strategies.lists(value, max_size=2))
    def check(values: list[bytes]) -> None:
        request = _request([(b"Authorization", value) for value in values], "closed")
        match access.admit(table, table.document.routes[0], request):
            case CallerRequest() as admitted:
                assert [value.split() for value in values] == [_TOKEN.split()], values
                assert (admitted.workspace, admitted.credentials) == ("acme", ())
            case failure:
                assert encode_failure(failure).status == 401, failure
                assert [value.strip(b" \t") for value in values] != [_TOKEN], values

    check()


@then("requests of acme have its priority 0, those of zeta and others the route's 2")
def check_priority(context: Context) -> None:
    table = build_table(decode_document(dumps(context.document).encode()).ok)
    request = _request([], "closed")
    for name, priority in ("acme", 0), ("zeta", 2), ("gone", 2), (None, 2):
        named = request._replace(workspace=name)
        route = table.document.routes[0]
        assert request_priority(named, route, table.workspaces) == priority, name


@given("a document with {count:d} workspaces")
def put_many(context: Context, count: int) -> None:
    context.count = count
    workspaces = [
        {"Name": f"w{number}", "ApiKeys": [f"key-{number}"]} for number in range(count)
    ]
    context.document = _document(workspaces)


@then("each key identifies its workspace within 20 us of processor time")
def check_many(context: Context) -> None:
    table = build_table(decode_document(dumps(context.document).encode()).ok)
    clock = SystemClock()
    access = AccessControl(_LIMITS, clock.monotonic_time, clock)
    route = table.document.routes[0]
    requests = [
        _request([(b"Authorization", b"Token key-%d" % number)], "closed")
        for number in range(context.count)
    ]
    admitted = [access.admit(table, route, request) for request in requests]
    assert [one.workspace for one in admitted] == [
        f"w{number}" for number in range(context.count)
    ]
    # The fastest batch: others share their core with unrelated processes.
    spent = min(
        _admission_seconds(access, table, route, requests[first : first + 100])
        for first in range(0, context.count, 100)
    )
    assert spent < _MAX_SECONDS, spent


def _admission_seconds(
    access: AccessControl,
    table: RoutingTable,
    route: Route,
    requests: list[CallerRequest],
) -> float:
    """Return the processor time of one admission."""
    started_at = process_time()
    for request in requests:
        access.admit(table, route, request)
    return (process_time() - started_at) / len(requests)
