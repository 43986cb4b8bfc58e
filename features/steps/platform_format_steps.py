"""Steps for the settings file, requests and responses of the platform."""

from datetime import timedelta
from os import environ
from pathlib import Path
from subprocess import run
from sys import executable

from behave import given, then, when
from behave.runner import Context
from expression import Result

from lovagetray._types import Address
from lovagetray.platform.formats import (
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


@when("a line is malformed in it")
def break_line(context: Context) -> None:
    _replace(context.path, "[Bounds]", "[Bounds")


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
    context.sent = replica_encoder.encode_for_replica(
        shared, "i-1", timedelta(milliseconds=412.7)
    )


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


def _replace(path: Path, old: str, new: str) -> None:
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))
