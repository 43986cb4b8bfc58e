"""Steps for the settings file, requests and responses of the platform."""

from collections.abc import Callable
from datetime import timedelta
from json import dumps
from os import environ
from pathlib import Path
from subprocess import run
from sys import executable
from typing import Any

from behave import given, then, when
from behave.runner import Context
from expression import Result
from hypothesis import given as given_data, settings, strategies

from lovagetray._types import Address, InstanceCapacity
from lovagetray.platform.formats import (
    decode_document,
    decode_notice,
    decode_reply,
    decode_request,
    read_settings,
    replica_encoder,
)
from lovagetray.wire import RawRequest

_SETTINGS = """\
NodeName = "front-1"
Ip = "127.0.0.9"
Zone = "zone-1"
PortRange = [7740, 7755]
SeedNodes = ["127.0.0.9:8224", "127.0.0.8:8224"]
FirstStart = true
HeartbeatMs = 1200
Unheard = "of"
[BindAddrs]
Front = "127.0.0.9:8226"
Ready = "127.0.0.9:8227"
Control = "127.0.0.9:8224"
directory = "127.0.0.9:8225"
[Bounds]
GraceS = 6
"""


_NOTICE: dict[str, Any] = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Slots": 5,
    "State": "ready",
    "Sequence": 1,
    "born": 5,
    "WarmupLeftMs": 0,
}
_ROUTE: dict[str, Any] = {
    "Name": "r",
    "Host": "h",
    "PathPrefix": "/",
    "RouteType": "safe",
    "TimeoutMs": 100,
    "Service": "s",
}
_DOCUMENT: dict[str, Any] = {
    "Version": 1,
    "Routes": [_ROUTE],
    "Services": [{"Name": "s"}],
    "Limits": {},
}
_LONG_NUMBER = 10**30
_NOTICE_CHANGES: dict[str, dict[str, Any]] = {
    "the port 0": {"Address": "10.0.0.1:0"},
    "the port 70000": {"Address": "10.0.0.1:70000"},
    "a port of 5,000 digits": {"Address": "10.0.0.1:" + "9" * 5000},
    "a host of 70,000 letters": {"Address": "a" * 70_000 + ":80"},
    "the host of a group": {"Address": "224.0.0.1:80"},
    "no host": {"Address": "0.0.0.0:80"},
    "a warm-up of 1e300 ms": {"WarmupLeftMs": 1e300},
    "a sequence of 31 digits": {"Sequence": _LONG_NUMBER},
    "a start time of 31 digits": {"born": _LONG_NUMBER},
    "1e18 slots": {"Slots": 10**18},
    "a negative sequence": {"Sequence": -1},
}
_DOCUMENT_CHANGES: dict[str, dict[str, Any]] = {
    "a time limit of 1e300 ms": {"Routes": [_ROUTE | {"TimeoutMs": 1e300}]},
    "a negative time limit": {"Routes": [_ROUTE | {"TimeoutMs": -1}]},
    "an idle time of 1e300 ms": {"Limits": {"IdleTimeoutMs": 1e300}},
    "a version of 31 digits": {"Version": _LONG_NUMBER},
}


@given("the settings file of a gateway")
def write_settings(context: Context) -> None:
    context.path = context.folder / "settings.toml"
    context.path.write_text(_SETTINGS)


@when("the ports are missing in it")
def remove_ports(context: Context) -> None:
    _replace(context.path, "PortRange = [7740, 7755]\n", "")


@when("an address has no port in it")
def remove_address_port(context: Context) -> None:
    _replace(context.path, "127.0.0.9:8226", "nowhere")


@when("the grace period is a string in it")
def set_grace_string(context: Context) -> None:
    _replace(context.path, "GraceS = 6", 'GraceS = "soon"')


@when("the grace period is 1e300 in it")
def set_endless_grace(context: Context) -> None:
    _replace(context.path, "GraceS = 6", "GraceS = 1e300")


@when("a list is nested 5,000 deep in it")
def nest_list(context: Context) -> None:
    nested = "[" * 5000 + "]" * 5000
    _replace(context.path, 'Unheard = "of"', f"Unheard = {nested}")


@when("a line is malformed in it")
def break_line(context: Context) -> None:
    _replace(context.path, "[Bounds]", "[Bounds")


@when("the variable {name} is {value}")
def set_variable(context: Context, name: str, value: str) -> None:
    environ[name] = value
    context.add_cleanup(environ.pop, name)


@then("the instance is named by its peer address and knows the seeds' peer addresses")
def check_settings(context: Context) -> None:
    settings = read_settings(context.path).ok
    assert settings.name == "127.0.0.9:7740"
    assert settings.seeds == (Address("127.0.0.9", 7740), Address("127.0.0.8", 7740))
    assert settings.data_folder is None


@then('the file is refused and the problem names "{name}"')
def check_refused(context: Context, name: str) -> None:
    match read_settings(context.path):
        case Result(tag="error", error=failure):
            assert name in str(failure), failure
        case valid:
            raise AssertionError(valid)


@then("the command line refuses the file with exit code {code:d}")
def check_command_line(context: Context, code: int) -> None:
    command = [executable, "-m", "lovagetray", "check-settings", str(context.path)]
    completed = run(command, capture_output=True, text=True)
    assert completed.returncode == code and "PortRange" in completed.stderr, completed


@then("the gateway exits with exit code {code:d}")
def check_gateway(context: Context, code: int) -> None:
    environment = dict(environ, LOVAGETRAY_SETTINGS=str(context.path))
    command = [executable, "-m", "lovagetray.platform"]
    completed = run(command, capture_output=True, text=True, env=environment)
    assert completed.returncode == code and "PortRange" in completed.stderr, completed


@when("a caller's request with its own deadline and expected instance is forwarded")
def forward_request(context: Context) -> None:
    raw = RawRequest(
        b"POST",
        b"/a/b?c=%20d",
        (
            (b"Host", b"Shop.Example:80"),
            (b"Request-Id", b"abc"),
            (b"Deadline", b"800"),
            (b"Expect-Instance", b"i-forged"),
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"X-Kept", b"2"),
        ),
        b"body",
    )
    context.request = decode_request(raw)
    shared = replica_encoder.encode_shared(context.request)
    parts = replica_encoder.encode_for_replica(
        shared, "i-1", timedelta(milliseconds=412.7)
    )
    context.sent = b"".join(parts)


@then("method, request target, host and end-to-end headers are unchanged")
def check_unchanged(context: Context) -> None:
    assert context.request.host == "shop.example"
    assert context.request.path == "/a/b"
    head, body = context.sent.split(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /a/b?c=%20d HTTP/1.1"
    assert b"Host: Shop.Example:80" in lines and b"Request-Id: abc" in lines
    assert b"X-Kept: 2" in lines and b"X-Hop: 1" not in lines
    assert b"Content-Length: 4" in lines and body == b"body"


@then("the deadline is the remaining time and the replica is named once")
def check_own_headers(context: Context) -> None:
    assert context.request.time_left == timedelta(milliseconds=800)
    assert context.sent.count(b"Deadline: 412\r\n") == 1
    assert context.sent.count(b"Expect-Instance: i-1\r\n") == 1
    assert b"i-forged" not in context.sent and b"Deadline: 800" not in context.sent


@when("a caller's request has the deadline {deadline}")
def set_deadline(context: Context, deadline: str) -> None:
    match deadline.split():
        case [digits, "digits"]:
            value = b"9" * int(digits.replace(",", ""))
        case _:
            value = deadline.encode()
    headers = ((b"Host", b"h"), (b"Deadline", value))
    context.request = decode_request(RawRequest(b"GET", b"/a", headers, b""))


@then("its time left is {milliseconds} ms")
def check_time_left(context: Context, milliseconds: str) -> None:
    expected = (
        None if milliseconds == "no" else timedelta(milliseconds=int(milliseconds))
    )
    assert context.request.time_left == expected, context.request.time_left


@when("its limits are a share of {share}, a speed of {speed} and {link} Mbit/s")
def set_limits(context: Context, share: str, speed: str, link: str) -> None:
    limits = f"[Limits]\nCpuShare = {share}\nCpuCores = {speed}\nLinkMbps = {link}\n"
    context.path.write_text(context.path.read_text() + limits)


@then("its capacity is {capacity}")
def check_capacity(context: Context, capacity: str) -> None:
    found = read_settings(context.path).ok.capacity
    match capacity.split():
        case ["unknown"]:
            assert found is None, found
        case [cores, "and", link, "Mbit/s"]:
            assert found == InstanceCapacity(float(cores), float(link)), found
        case unreadable:
            raise AssertionError(unreadable)


@then("a response with Not-Executed or 421 proves that the request did not run")
def check_not_run(context: Context) -> None:
    assert decode_reply(503, ((b"Not-Executed", b"1"),), b"").not_run
    assert decode_reply(421, (), b"").not_run
    assert not decode_reply(503, (), b"").not_run


@then("a response with a content encoding is not a success")
def check_encoding(context: Context) -> None:
    headers = ((b"Server-Stamp", b"s"), (b"content-encoding", b"gzip"))
    assert not decode_reply(200, headers, b"").succeeded
    assert decode_reply(200, headers[:1], b"").succeeded
    assert not decode_reply(200, (), b"").succeeded


@then("a malformed load report is ignored")
def check_load(context: Context) -> None:
    assert decode_reply(200, ((b"Server-Load", b"3,x"),), b"").load is None
    load = decode_reply(200, ((b"Server-Load", b"3,1,8,100"),), b"").load
    assert load is not None and (load.running, load.waiting, load.slots) == (3, 1, 8)


@then("a response with Server-Leaving states that the replica is leaving")
def check_leaving(context: Context) -> None:
    assert decode_reply(200, ((b"Server-Leaving", b"1"),), b"").leaving
    assert decode_reply(500, ((b"server-leaving", b"1"),), b"").leaving
    assert not decode_reply(200, (), b"").leaving


@then("the seconds of Retry-After count for status 503 alone, if they are a number")
def check_refusal_time(context: Context) -> None:
    def refuses_for(status: int, value: bytes) -> timedelta | None:
        return decode_reply(status, ((b"Retry-After", value),), b"").refuses_for

    assert refuses_for(503, b"1.5") == timedelta(seconds=1.5)
    assert refuses_for(429, b"1.5") is None
    for value in (b"", b"soon", b"-1", b"0", b"nan"):
        assert refuses_for(503, value) is None, value
    for value in (b"1e400", b"inf", b"9" * 400):
        longest = refuses_for(503, value)
        assert longest is not None and longest <= timedelta(hours=1), value


@when("a notice has {change}")
def change_notice(context: Context, change: str) -> None:
    replica, body = "i-1", dumps(_NOTICE | _NOTICE_CHANGES.get(change, {})).encode()
    match change:
        case "5,000 nested lists":
            body = body[:-1] + b',"x":' + b"[" * 5_000 + b"]" * 5_000 + b"}"
        case "1,000,000 nested objects":
            body = body[:-1] + b',"x":' + b'{"x":' * 1_000_000
        case "a replica id of 5,000 letters":
            replica = "i" * 5_000
        case _:
            assert change in _NOTICE_CHANGES, change
    assert decode_notice("i-1", dumps(_NOTICE).encode()).is_ok()
    context.decoded = decode_notice(replica, body)


@when("a configuration has {change}")
def change_document(context: Context, change: str) -> None:
    body = dumps(_DOCUMENT | _DOCUMENT_CHANGES.get(change, {})).encode()
    if change == "5,000 nested lists":
        body = body[:-1] + b',"x":' + b"[" * 5_000 + b"]" * 5_000 + b"}"
    else:
        assert change in _DOCUMENT_CHANGES, change
    assert decode_document(dumps(_DOCUMENT).encode()).is_ok()
    context.decoded = decode_document(body)


@then("the notice is refused as unreadable")
@then("the configuration is refused as unreadable")
def check_unreadable(context: Context) -> None:
    match context.decoded:
        case Result(tag="error", error=failure):
            assert failure.code.startswith("unreadable_"), failure
        case valid:
            raise AssertionError(valid)


@then("decoding any bytes as a notice, configuration or response returns a result")
def fuzz_decoders(context: Context) -> None:
    scalars = (
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats(allow_nan=False, allow_infinity=False)
        | strategies.text()
    )
    values = strategies.recursive(scalars, lambda inner: strategies.lists(inner))

    def changed(base: dict[str, Any]) -> strategies.SearchStrategy[bytes]:
        changes = strategies.dictionaries(strategies.sampled_from(sorted(base)), values)
        return changes.map(lambda change: dumps(base | change).encode())

    def check(decode: Callable[[bytes], Any], body: bytes) -> None:
        assert isinstance(decode(body), Result), body

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given_data(strategies.binary() | changed(_NOTICE))
    def check_notice(body: bytes) -> None:
        check(lambda raw: decode_notice("i-1", raw), body)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given_data(
        strategies.binary()
        | changed(_DOCUMENT)
        | changed(_ROUTE).map(lambda route: b'{"Version":1,"Routes":[' + route + b"]}")
    )
    def check_document(body: bytes) -> None:
        check(decode_document, body)

    names = strategies.sampled_from(
        (b"Server-Load", b"Retry-After", b"Request-Id", b"Server-Stamp", b"X")
    )
    headers = strategies.lists(strategies.tuples(names, strategies.binary()))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given_data(strategies.integers(100, 599), headers.map(tuple))
    def check_reply(status: int, raw_headers: Any) -> None:
        assert decode_reply(status, raw_headers, b"").status == status

    caller_names = strategies.sampled_from(
        (b"Deadline", b"Host", b"Request-Id", b"Connection", b"X")
    )
    digits = strategies.integers(0, 10**40).map(lambda number: b"%d" % number)
    caller_headers = strategies.lists(
        strategies.tuples(caller_names, strategies.binary() | digits)
    )

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given_data(caller_headers.map(tuple))
    def check_request(raw_headers: Any) -> None:
        decode_request(RawRequest(b"GET", b"/a", raw_headers, b""))

    check_notice()
    check_document()
    check_reply()
    check_request()


def _replace(path: Path, old: str, new: str) -> None:
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))
