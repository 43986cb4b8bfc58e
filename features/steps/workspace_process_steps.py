"""Steps for workspaces with gateway processes and the platform stand-in."""

from signal import SIGCONT, SIGSTOP
from socket import create_connection
from threading import Thread
from time import monotonic, sleep
from typing import Any

from behave import given, then, when
from behave.runner import Context
from platform_stand_in.fleet import PlatformFleet, Response

_GATEWAYS = 4
_SERVICE = "archive"
_REVOKE_SECONDS = 2.0
_KEY, _WITHDRAWN_KEY = "acme-key-4711", "acme-key-0815"
# Malformed header lines are those that the HTTP library quotes in its errors.
_MALFORMED_LINES = (
    f"Authorization: Token {_KEY}\x00",
    f"Authorization : Token {_KEY}",
    f"Token {_KEY}",
)


def _document(fleet: PlatformFleet, *keys: str, others: int = 0) -> dict[str, Any]:
    acme = {"Name": "acme", "ApiKeys": keys, "Priority": 0, "RatePerS": 5000}
    workspaces = [
        {"Name": f"w{number}", "ApiKeys": [f"w-key-{number:080}"]}
        for number in range(others)
    ]
    document = fleet.next_configuration((), (_SERVICE,), Tenants=[acme, *workspaces])
    # A search over no shards is invalid.
    return document | {"Routes": document["Routes"][1:]}


@given("4 gateways with a limit for revocations, of which 3 have a disk")
def start_gateways(context: Context) -> None:
    fleet = context.fleet = PlatformFleet(context.folder)
    fleet.bounds = "StrictRevoke = true", f"RevokeMs = {_REVOKE_SECONDS * 1000}"
    fleet.start(_GATEWAYS, 3)
    fleet.start_replicas((_SERVICE,))
    context.errors = []


@when("the operator sends a document with {count:d} workspaces")
def put_workspaces(context: Context, count: int) -> None:
    document = _document(context.fleet, _KEY, _WITHDRAWN_KEY, others=count - 1)
    _put(context, document)
    context.fleet.wait_until(
        lambda: [
            _get(context, number, _KEY).status for number in range(_GATEWAYS)
        ].count(200)
        == _GATEWAYS
    )


def _put(context: Context, document: Any) -> None:
    context.fleet.wait_until(
        lambda: context.fleet.put_configuration(document, 1).status == 200
    )


def _get(context: Context, number: int, key: str, **headers: str) -> Response:
    response: Response = context.fleet.get(
        f"/{_SERVICE}/1", number, Authorization=f"Token {key}", **headers
    )
    return response


@then("each gateway forwards a request with the workspace and without the key")
def check_forwarded(context: Context) -> None:
    for number in range(_GATEWAYS):
        headers = {"Request-Id": f"keyed-{number}", "Tenant": "forged"}
        assert _get(context, number, _KEY, **headers).status == 200
    replicas = context.fleet.send_command()["replicas"].values()
    identities = [seen for replica in replicas for seen in replica["identities"]]
    keyed = [seen for seen in identities if seen[0].startswith("keyed-")]
    assert len(keyed) >= _GATEWAYS
    assert {(seen[1], seen[2]) for seen in identities} == {("acme", None)}, identities


@then("each gateway refuses requests without a key, with a wrong and a malformed one")
def check_refused(context: Context) -> None:
    fleet = context.fleet
    for number, gateway in enumerate(fleet.gateways):
        keyless = fleet.get(f"/{_SERVICE}/1", number)
        context.errors += [keyless, _get(context, number, _KEY[:-1])]
        assert keyless.headers["www-authenticate"] == "Token", keyless
        assert [one.status for one in context.errors[-2:]] == [401, 401]
        for line in _MALFORMED_LINES:
            head = f"GET /{_SERVICE}/1 HTTP/1.1\r\nHost: h\r\n{line}\r\n\r\n"
            host = f"127.0.1.{number + 1}"
            with create_connection((host, gateway.front_port), 10) as connection:
                connection.sendall(head.encode())
                received = connection.recv(65536)
            assert received.startswith(b"HTTP/1.1 400"), received
            context.errors.append(Response(400, {}, received))


@when("a gateway is suspended, and a document withdraws a key meanwhile")
def withdraw_while_suspended(context: Context) -> None:
    process = context.fleet.gateways[2].process
    process.send_signal(SIGSTOP)
    try:
        _put(context, _document(context.fleet, _KEY))
        context.withdrawn_at = monotonic()
        # It is in the socket of the suspended process when this one continues.
        sleep(_REVOKE_SECONDS + 0.2)
        late: list[Response] = []
        caller = Thread(
            target=lambda: late.append(_get(context, 2, _WITHDRAWN_KEY)), daemon=True
        )
        caller.start()
        sleep(0.3)
    finally:
        process.send_signal(SIGCONT)
    caller.join(20)
    context.late = late


@then("no gateway serves a request with that key after the limit")
def check_withdrawn(context: Context) -> None:
    assert [one.status in (401, 503) for one in context.late] == [True], context.late
    sleep(max(0.0, context.withdrawn_at + _REVOKE_SECONDS - monotonic()))
    for number in range(_GATEWAYS):
        response = _get(context, number, _WITHDRAWN_KEY)
        assert response.status in (401, 503), response
        context.errors.append(response)


@then("every gateway serves the key that is left and refuses the other with 401")
def check_recovered(context: Context) -> None:
    for number in range(_GATEWAYS):
        context.fleet.wait_until(lambda: _get(context, number, _KEY).status == 200)
        assert _get(context, number, _WITHDRAWN_KEY).status == 401


@when("the operator sends a document in which two workspaces share a key")
def put_shared_key(context: Context) -> None:
    document = _document(context.fleet, _KEY)
    document["Tenants"].append({"Name": "zeta", "ApiKeys": [_KEY]})
    response = context.fleet.put_configuration(document)
    assert response.status == 400, response
    assert b"'acme' and 'zeta' share a key" in response.body, response
    context.errors.append(response)


@then("no log, metric or error message contains a key")
def check_no_key(context: Context) -> None:
    texts = [log.read_text() for log in context.folder.glob("entry-*.log")]
    assert len(texts) == _GATEWAYS and all("request_refused" in text for text in texts)
    texts += ["\n".join(context.fleet.metrics(n)) for n in range(_GATEWAYS)]
    assert "lovagetray_access_refusals_total" in texts[-1], texts[-1]
    texts += [str(response) for response in context.errors]
    for text in texts:
        assert "key-4711" not in text and "key-0815" not in text, text
