"""Steps for the connections of callers, over loopback."""

from contextlib import suppress
from datetime import timedelta
from socket import SO_LINGER, SO_RCVBUF, SOL_SOCKET, create_connection, socket
from threading import Event, Thread
from time import monotonic, sleep as sleep_thread
from typing import Any

from behave import given, then, when
from behave.runner import Context
from fakes.caller_server import (
    LIMITS,
    POLL_SECONDS,
    CallerServerThread,
    caller_request,
)


@given("a server whose requests take {seconds:d} s")
def start_slow_server(context: Context, seconds: int) -> None:
    context.fleet = context.server = CallerServerThread(seconds)


@given("a server that echoes the path")
def start_echo_server(context: Context) -> None:
    context.fleet = context.server = CallerServerThread(0)


@given("a server that echoes the path and takes {limit}")
def start_limited_server(context: Context, limit: str) -> None:
    start_echo_server(context)
    _change_limit(context, limit)


@when(
    "a caller sends a request, the server takes {limit}, and the caller sends {request}"
)
def send_after_change(context: Context, limit: str, request: str) -> None:
    with _connect(context) as connection:
        connection.sendall(caller_request("/1"))
        connection.recv(1000)
        _change_limit(context, limit)
        if request == "a body of 2 KB":
            head = b"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"
            parts = [head + b"x" * 2000]
        else:
            # In two parts, because only an incomplete head is limited.
            parts = [b"GET /2 HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000, b"\r\n\r\n"]
        with suppress(ConnectionError):
            for part in parts:
                connection.sendall(part)
                sleep_thread(10 * POLL_SECONDS)
        connection.settimeout(5)
        context.received = connection.recv(1000)


@then("the second response has status {status:d}")
def check_second_status(context: Context, status: int) -> None:
    expected = f"HTTP/1.1 {status} ".encode()
    assert context.received.startswith(expected), context.received[:200]


@given("a server whose handler fails")
def start_failing_server(context: Context) -> None:
    context.fleet = context.server = CallerServerThread(0, handler_fails=True)


@given("a server with responses of {megabytes:d} MB")
def start_long_server(context: Context, megabytes: int) -> None:
    body = b"x" * (megabytes * 1_000_000)
    context.fleet = context.server = CallerServerThread(0, body=body)


@when("{count:d} callers close or reset their connections in the middle of a response")
def disconnect_in_response(context: Context, count: int) -> None:
    for number in range(count):
        with socket() as caller:
            # A small window, so that the server has to wait.
            caller.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
            address = context.server.address
            caller.connect((address.host, address.port))
            caller.sendall(caller_request("/1"))
            caller.recv(100)
            sleep_thread(POLL_SECONDS)
            if number % 2:
                caller.setsockopt(SOL_SOCKET, SO_LINGER, b"\x01\0\0\0\0\0\0\0")


@when("a caller sends a request and reads nothing for {seconds:d} s")
def read_nothing(context: Context, seconds: int) -> None:
    context.caller = socket()
    context.caller.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    address = context.server.address
    context.caller.connect((address.host, address.port))
    context.caller.sendall(caller_request("/1"))
    sleep_thread(seconds)


@then("its response was cut off by the server")
def check_cut_off(context: Context) -> None:
    received = 0
    with context.caller as caller, suppress(ConnectionError):
        caller.settimeout(10)
        while data := caller.recv(65536):
            received += len(data)
    assert received < 3_000_000, received


@given("a server whose handler returns a body, {length}")
def start_server_with_body(context: Context, length: str) -> None:
    stated = None if length == "and no length" else 41
    context.fleet = context.server = CallerServerThread(
        0, body=b"body", length_of_head=stated
    )


@when("a caller sends a HEAD request and another request on one connection")
def send_headcaller_request(context: Context) -> None:
    with _connect(context) as connection:
        connection.settimeout(5)
        connection.sendall(caller_request("/1").replace(b"GET", b"HEAD", 1))
        context.first = connection.recv(1000)
        connection.sendall(caller_request("/2"))
        context.second = connection.recv(1000)


@then("the first response states a length of {length:d} and has no body")
def check_head_response(context: Context, length: int) -> None:
    head, _, body = context.first.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), context.first
    lengths = [line for line in head.split(b"\r\n") if b"ontent-" in line]
    assert lengths == [b"Content-Length: %d" % length], context.first
    assert body == b"", context.first


@then("the second response has a body")
def check_body(context: Context) -> None:
    assert context.second.endswith(b"\r\n\r\nbody"), context.second


@when("a caller sends a request")
def sendcaller_request(context: Context) -> None:
    context.caller = _connect(context)
    context.caller.sendall(caller_request("/1"))


@then("its connection is closed at once")
def check_closed_at_once(context: Context) -> None:
    with context.caller as caller:
        assert caller.recv(1000) == b""


@when("it closes while {count:d} connections wait in the queue with a request each")
def close_with_queue(context: Context, count: int) -> None:
    # Closing takes up to 320 ms, most of the 400 ms that a request may take elsewhere.
    context.server.limits = LIMITS._replace(request_time=timedelta(seconds=5))
    context.half = _connect(context)
    context.half.sendall(caller_request("/half")[:10])
    context.fresh = _connect(context)
    # The server accepts both and reads the half request.
    sleep_thread(20 * POLL_SECONDS)
    context.server.send_command("connect and close")
    assert len(context.server.waiting) == count


@when(
    "it closes right after {count:d} callers have sent a request on a kept connection"
)
def close_with_kept(context: Context, count: int) -> None:
    for _ in range(count):
        caller = _connect(context)
        caller.sendall(caller_request("/first"))
        assert caller.recv(1000).startswith(b"HTTP/1.1 200 ")
        context.server.waiting.append(caller)
    context.server.send_command("send and close")


@given("a server that was closed before it started")
def start_closed_server(context: Context) -> None:
    context.fleet = context.server = CallerServerThread(0, closed_before_start=True)


@when("a caller connects")
def connect_to_closed(context: Context) -> None:
    # The task of the server has run once its thread has started.
    sleep_thread(20 * POLL_SECONDS)
    context.refused = False
    try:
        _connect(context).close()
    except ConnectionRefusedError:
        context.refused = True


@then("the connection is refused")
def check_refused(context: Context) -> None:
    assert context.refused


@when("while half a request has arrived on one connection and none on another")
def complete_requests(context: Context) -> None:
    context.half.sendall(caller_request("/half")[10:])
    context.fresh.sendall(caller_request("/fresh"))
    context.server.waiting += [context.half, context.fresh]


@when(
    "it closes {milliseconds:d} ms after a caller has connected without sending a "
    "request"
)
def close_with_unused(context: Context, milliseconds: int) -> None:
    context.caller = _connect(context)
    sleep_thread(milliseconds / 1000)
    context.server.send_command("close")


@then("no request counts as running")
def check_none_running(context: Context) -> None:
    assert context.server.running_requests == 0


@then("the connection is closed")
def check_unused_closed(context: Context) -> None:
    with context.caller as caller:
        caller.settimeout(5)
        assert caller.recv(1000) == b""


@when("it closes while callers go on connecting")
def close_while_connecting(context: Context) -> None:
    stop = Event()

    def connect_often() -> None:
        while not stop.is_set():
            with suppress(OSError):
                _connect(context).close()
            # The server runs in a thread of the same process.
            sleep_thread(POLL_SECONDS / 5)

    threads = [Thread(target=connect_often, daemon=True) for _ in range(4)]
    for thread in threads:
        thread.start()
    # Callers connect for some time before the server closes.
    sleep_thread(20 * POLL_SECONDS)
    started_at = monotonic()
    closer = Thread(target=context.server.send_command, args=("close",), daemon=True)
    closer.start()
    closer.join(4)
    context.close_seconds = monotonic() - started_at
    stop.set()
    for thread in threads:
        thread.join(5)


@then("it has closed within {seconds:d} s")
def check_close_time(context: Context, seconds: int) -> None:
    assert context.close_seconds < seconds, context.close_seconds


@then("all {count:d} requests are answered once they are complete")
def check_all_answered(context: Context, count: int) -> None:
    assert len(context.server.waiting) == count
    for caller in context.server.waiting:
        with caller:
            caller.settimeout(5)
            response = caller.recv(1000)
            assert response.startswith(b"HTTP/1.1 200 "), response


@when("accepting a connection fails 3 times for want of a descriptor")
def fail_to_accept(context: Context) -> None:
    context.server.send_command("fail to accept")
    # The server already waits for this connection with the working call.
    check_next_answered(context)
    for _ in range(3):
        with _connect(context) as caller:
            assert caller.recv(1000) == b""


@then("the next caller is answered")
def check_next_answered(context: Context) -> None:
    with _connect(context) as caller:
        caller.sendall(caller_request("/1"))
        assert caller.recv(1000).startswith(b"HTTP/1.1 200 ")


@when("a caller sends a request and closes its connection")
def disconnect(context: Context) -> None:
    with _connect(context) as connection:
        connection.sendall(caller_request("/1"))
        give_up_at = monotonic() + 5
        while not context.server.requests and monotonic() < give_up_at:
            context.server.cancelled.wait(POLL_SECONDS)
        assert context.server.requests


@then("the request is cancelled within {milliseconds:d} ms")
def check_cancelled(context: Context, milliseconds: int) -> None:
    # The platform allows half a second; the remainder is left for the network.
    assert context.server.cancelled.wait(milliseconds / 1000)


@when("a caller sends {count:d} requests on one connection")
def reuse_connection(context: Context, count: int) -> None:
    context.responses = []
    with _connect(context) as connection:
        for number in range(count):
            connection.sendall(caller_request(f"/{number}"))
            context.responses.append(_receive(connection))


@then("each response echoes the path of its own request")
def check_echo(context: Context) -> None:
    for number, response in enumerate(context.responses):
        assert response.endswith(f"\r\n\r\n/{number}".encode()), response


@when("a caller pipelines {count:d} requests")
def pipeline(context: Context, count: int) -> None:
    with _connect(context) as connection:
        connection.sendall(
            b"".join(caller_request(f"/{number}") for number in range(count))
        )
        received = b""
        while received.count(b"HTTP/1.1 200") < count or not received.endswith(
            f"/{count - 1}".encode()
        ):
            received += connection.recv(65536)
        context.received = received


@then("the responses arrive in the order of the requests")
def check_order(context: Context) -> None:
    positions = [
        context.received.index(f"\r\n\r\n/{number}".encode()) for number in range(3)
    ]
    assert positions == sorted(positions)


@when("a caller sends invalid input: {name}")
def send_malformed(context: Context, name: str) -> None:
    data = {
        "two Content-Length headers": b"POST / HTTP/1.1\r\nHost: h\r\n"
        b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "a Content-Length header and a chunked body": b"POST / HTTP/1.1\r\n"
        b"Host: h\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
        "bytes that are not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
        "a head of 20 KB": b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 20_000,
        "a body of 300 KB": b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000"
        b"\r\n\r\n" + b"x" * 300_000,
        "half a head": b"GET / HTTP/1.1\r\nHo",
    }[name]
    with _connect(context) as connection:
        with suppress(ConnectionError):
            # The server may respond and close before it has received everything.
            connection.sendall(data)
        context.received = _receive_all(connection)


@then("the response has status {status:d} and the connection is closed")
def check_status(context: Context, status: int) -> None:
    assert context.received.startswith(
        f"HTTP/1.1 {status} ".encode()
    ), context.received[:200]
    assert not context.server.requests


@when("a caller sends a body of which the server takes only a part, without end")
def send_without_end(context: Context) -> None:
    context.sent_bytes = 0
    block = b"x" * 65536
    with _connect(context) as connection, suppress(ConnectionError):
        connection.settimeout(10)
        connection.sendall(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n"
        )
        while context.sent_bytes < 2_000_000_000:
            connection.sendall(block)
            context.sent_bytes += len(block)


@then("it could send at most {megabytes:d} MB")
def check_sent_at_most(context: Context, megabytes: int) -> None:
    # Socket buffers of the system hold some megabytes that nobody has read.
    assert context.sent_bytes <= megabytes * 1_000_000, context.sent_bytes


@when("a caller sends a chunked body")
def send_chunked_body(context: Context) -> None:
    with _connect(context) as connection:
        connection.sendall(
            b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n"
        )
        _receive(connection)


@then("the request has the decoded body")
def check_body(context: Context) -> None:
    assert context.server.requests[0].body == b"abcdefg"


@when("the server drains and a caller sends a request")
def drain(context: Context) -> None:
    context.server.send_command("drain")
    with _connect(context) as connection:
        connection.sendall(caller_request("/1"))
        context.received = _receive_all(connection)


@then("the response asks to close the connection")
def check_close_requested(context: Context) -> None:
    assert b"connection: close" in context.received.lower(), context.received


@when("the server closes")
def close(context: Context) -> None:
    context.server.send_command("close")


@then("new connections are refused")
def check_refused(context: Context) -> None:
    try:
        _connect(context).close()
    except ConnectionRefusedError:
        return
    raise AssertionError("the server still accepts connections")


def _connect(context: Context) -> socket:
    address: Any = context.server.address
    connection = create_connection((address.host, address.port), 5)
    connection.settimeout(5)
    return connection


def _receive(connection: socket) -> bytes:
    received = b""
    while b"\r\n\r\n/" not in received:
        received += connection.recv(65536)
    return received


def _receive_all(connection: socket) -> bytes:
    received = b""
    with suppress(ConnectionResetError):
        # A server that closes with unread input resets the connection.
        while data := connection.recv(65536):
            received += data
    return received


def _change_limit(context: Context, limit: str) -> None:
    kind, _, size, _ = limit.replace(",", "").split()
    field = {"bodies": "body_bytes", "heads": "head_bytes"}[kind]
    context.server.limits = LIMITS._replace(**{field: int(size)})
