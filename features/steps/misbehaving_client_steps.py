"""Steps for crowds of clients that do not behave, at gateways as processes."""

from http.client import HTTPConnection, HTTPException, HTTPResponse
from socket import create_connection
from time import monotonic, sleep
from typing import Any

from behave import given, then, when
from behave.runner import Context
from fakes.crowd import (
    Behaviour,
    Crowd,
    ReadsSlowly,
    ReturnsAtOnce,
    SendsSteadily,
)
from fleet import Fleet
from platform_stand_in.fleet import HOST, PlatformFleet
from platform_stand_in.replicas import RECORD_BYTES

_SERVICE = "long"
_SLOW_SHARD_MS = 1_500
_MEGABYTE = 1024 * 1024
# The crowd stays until an ordinary request was answered, at most for this time.
_MAX_STAY_SECONDS = 60
_SETTLE_SECONDS = 3
# Ports of a gateway by their names in the scenarios.
_PORTS = {
    "front": "front",
    "control": "control",
    "listing": "directory",
    "peer": "peer",
}
# Paths that take a body, by port.
_POSTS = {
    "front": f"/{_SERVICE}/1",
    "control": "/-/config/put",
    "http": "/v1/search",
}
_MODES = {
    "with their length": "ok",
    "without their length": "unframed",
    "in chunks": "chunked",
}
# A ZMTP 3.0 greeting and the command READY of a DEALER, both without authentication.
_ZMTP_GREETING = (
    b"\xff" + bytes(8) + b"\x7f" + b"\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
)
_ZMTP_READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
_ZMTP_LONG_FRAME = b"\x02"


def _get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()


def _chunked(path: str) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head.encode()


def _costly_input(name: str, port: str) -> SendsSteadily | ReturnsAtOnce:
    """Return what each sender of a crowd sends, and how often."""
    match name:
        case "bodies in chunks of one byte":
            return SendsSteadily(_chunked(_POSTS[port]), b"1\r\nx\r\n", 20_000, 400)
        case "heads byte by byte":
            return SendsSteadily(_get("/")[:-2] + b"X: ", b"x", 200, 1)
        case "pipelined requests":
            return SendsSteadily(b"", _get("/nowhere"), 500, 10)
        case "metrics on new connections":
            return ReturnsAtOnce(_get("/metrics")[:-2] + b"Connection: close\r\n\r\n")
        case "requests on new connections":
            return ReturnsAtOnce(_get("/nowhere")[:-2] + b"Connection: close\r\n\r\n")
        case "pipelined metrics":
            return SendsSteadily(b"", _get("/metrics"), 100, 10)
        case "pipelined address lookups":
            return SendsSteadily(b"", _get("/-/resolve"), 500, 10)
    raise ValueError(name)


@given(
    "a gateway with {memory:d} MB whose replicas answer with {size} bytes, {framing}"
)
def start_gateway(context: Context, memory: int, size: str, framing: str) -> None:
    _start(context, memory, (_SERVICE,), int(size.replace(",", "")))
    context.fleet.send_command(mode=_MODES[framing])


@given(
    "a gateway with {memory:d} MB and {shards:d} shards with parts of {size} bytes, "
    "{slow} of them slow"
)
def start_shards(
    context: Context, memory: int, shards: int, size: str, slow: str
) -> None:
    services = tuple(f"s{number}" for number in range(shards))
    _start(context, memory, services, int(size.replace(",", "")))
    slow_services = services if slow == "all" else services[: int(slow)]
    names = [f"{service}-{number}" for service in slow_services for number in range(3)]
    context.fleet.send_command(names=names, work_ms=_SLOW_SHARD_MS)


def _start(context: Context, memory: int, services: tuple[str, ...], size: int) -> None:
    """Start gateways and replicas with room for many requests; serve none yet."""
    context.size = size
    fleet = context.fleet = PlatformFleet(context.folder)
    fleet.limits = (f"MemoryMb = {memory}", "MaxFds = 1500")
    fleet.start()
    fleet.start_replicas(services, replicas=3, records=size // RECORD_BYTES, slots=400)
    _configure(context, services)
    fleet.wait_replicas_known()
    fleet.wait_until(lambda: fleet.ready(0))
    context.is_answered = lambda: fleet.get(f"/{_SERVICE}/1").status == 200
    _choose_gateway(context, 0)


def _choose_gateway(context: Context, number: int) -> None:
    """Choose the gateway that the crowd will come to."""
    fleet = context.fleet
    context.process = fleet.gateways[number].process
    context.own_host = f"127.0.1.{number + 1}"
    context.addresses = {
        name: (context.own_host, fleet.port(port)) for name, port in _PORTS.items()
    }


def _configure(context: Context, services: tuple[str, ...], **changes: Any) -> None:
    fleet = context.fleet
    document = fleet.next_configuration(services, services, **changes)
    for service in document["Services"]:
        service["MaxConnections"] = 1000
    fleet.wait_until(lambda: fleet.put_configuration(document).status == 200)


@given("{count:d} responses of 400 bytes were read before")
def read_short_responses(context: Context, count: int) -> None:
    fleet = context.fleet
    fleet.send_command(records=400 // RECORD_BYTES)
    for _ in range(count):
        fleet.wait_until(lambda: fleet.get(f"/{_SERVICE}/1").status == 200)
    fleet.send_command(records=context.size // RECORD_BYTES)


@given("a configuration of {size} bytes, asked for at the leader")
def put_long_configuration(context: Context, size: str) -> None:
    _configure(context, (_SERVICE,), Comment="x" * int(size.replace(",", "")))
    fleet = context.fleet
    port = fleet.port("control")

    def leaders() -> list[int]:
        return [
            number
            for number in range(len(fleet.gateways))
            if fleet.call(number, port, "GET", "/-/config/get").status == 200
        ]

    fleet.wait_until(leaders)
    _choose_gateway(context, leaders()[0])


@given("an entry instance")
def start_entry(context: Context) -> None:
    fleet = context.fleet = Fleet(context.folder)
    fleet.start_entries(1, voters=1)
    entry = fleet.entries[0]
    context.process = entry.process
    # Its address is that of all processes on loopback.
    context.own_host = None
    context.addresses = {"http": ("127.0.0.1", entry.http_port)}
    context.is_answered = lambda: _is_ready(entry.http_port)


def _is_ready(port: int) -> bool:
    connection = HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        connection.close()


@when("a crowd of {count:d} slow readers comes at once for {requests:d} responses each")
def send_slow_readers(context: Context, count: int, requests: int) -> None:
    _send_crowd(context, count, ReadsSlowly(_get(f"/{_SERVICE}/1") * requests))


@when("a crowd of {count:d} callers comes at once for answers from all shards")
def send_callers(context: Context, count: int) -> None:
    _send_crowd(context, count, ReadsSlowly(_get("/all/1")))


@when(
    "a crowd of {count:d} callers comes at once with bodies of {size} bytes for all "
    "shards"
)
def send_bodies(context: Context, count: int, size: str) -> None:
    length = int(size.replace(",", ""))
    head = f"POST /all/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {length}\r\n\r\n"
    _send_crowd(context, count, ReadsSlowly(head.encode() + b"x" * length))


@when(
    "a crowd of {count:d} slow readers comes at once to the {port} port for "
    "{requests:d} {path}"
)
def send_slow_readers_to(
    context: Context, count: int, port: str, requests: int, path: str
) -> None:
    _send_crowd(context, count, ReadsSlowly(_get(path) * requests), port)


@when("a crowd of {count:d} senders of {kind} comes to the {port} port")
def send_senders(context: Context, count: int, kind: str, port: str) -> None:
    _send_crowd(context, count, _costly_input(kind, port), port)


@when("a crowd of {count:d} strangers begins messages of {size} bytes at the peer port")
def send_strangers(context: Context, count: int, size: str) -> None:
    length = int(size.replace(",", ""))
    frame = _ZMTP_LONG_FRAME + length.to_bytes(8, "big") + bytes(length - 1)
    _send_crowd(
        context, count, ReadsSlowly(_ZMTP_GREETING + _ZMTP_READY + frame), "peer"
    )


@when("a caller sends a body of {size} bytes {framing}")
def send_body(context: Context, size: str, framing: str) -> None:
    body = b"x" * int(size.replace(",", ""))
    match framing:
        case "with its length":
            head = f"POST /{_SERVICE}/1 HTTP/1.1\r\nHost: {HOST}\r\n"
            request = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        case "in one chunk":
            chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            request = _chunked(f"/{_SERVICE}/1") + chunk
        case _:
            chunks = b"1\r\nx\r\n" * len(body) + b"0\r\n\r\n"
            request = _chunked(f"/{_SERVICE}/1") + chunks
    with create_connection(context.addresses["front"], timeout=30) as caller:
        caller.sendall(request)
        response = HTTPResponse(caller)
        response.begin()
        context.response = response.status, len(response.read())


@then("the response has 3,900,000 bytes")
def check_response(context: Context) -> None:
    assert context.response == (200, 3_900_000), context.response


def _send_crowd(
    context: Context, count: int, behaviour: Behaviour, port: str = "front"
) -> None:
    context.crowd = Crowd(
        context.addresses[port],
        count,
        behaviour,
        context.process.pid,
        context.own_host,
    )
    context.crowd.start()


@when("it stays for {seconds:d} s")
def wait_for_crowd(context: Context, seconds: int) -> None:
    sleep(seconds)
    context.crowd.stop()
    print(context.crowd)


@then("an ordinary request is answered while the crowd stays")
def check_answered_meanwhile(context: Context) -> None:
    # By then the crowd has filled the buffers of its connections.
    sleep(_SETTLE_SECONDS)
    end = monotonic() + _MAX_STAY_SECONDS
    answered = False
    while not answered and monotonic() < end:
        answered = context.is_answered()
    context.crowd.stop()
    print(context.crowd)
    assert answered, str(context.crowd)


@then(
    "the process lives within {memory:d} MB with its sockets and {descriptors:d} "
    "descriptors"
)
def check_bounds(context: Context, memory: int, descriptors: int) -> None:
    assert context.process.poll() is None
    assert context.crowd.peak_bytes <= memory * _MEGABYTE, str(context.crowd)
    assert context.crowd.peak_descriptors <= descriptors, str(context.crowd)


@then("an ordinary request is answered afterwards")
def check_answered(context: Context) -> None:
    context.fleet.wait_until(context.is_answered)


@then("an answer from all shards is given once none of them is slow")
def check_gathered(context: Context) -> None:
    fleet = context.fleet
    fleet.send_command(work_ms=5)
    fleet.wait_until(lambda: fleet.get("/all/1").headers.get("missing-parts") == "0")
