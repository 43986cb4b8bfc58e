"""Steps for the connections of callers, over loopback."""

from contextlib import suppress
from datetime import timedelta
from errno import EMFILE
from socket import SO_LINGER, SO_RCVBUF, SOL_SOCKET, create_connection, socket
from threading import Event, Thread
from time import monotonic, sleep as sleep_thread
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import CancelledError, Kernel, sleep, spawn
from curio.io import Socket as CurioSocket
from fleet import free_ports

from lovagetray import Address, SystemClock
from lovagetray._routing_types import CallerLimits
from lovagetray.platform.formats import encode_caller_failure
from lovagetray.wire import CallerServer, RawRequest, RawResponse

_LIMITS = CallerLimits(
    request_time=timedelta(milliseconds=400), idle_time=timedelta(seconds=2)
)
_POLL_SECONDS = 0.01


class CallerServerThread:
    """A caller server that runs in its own thread."""

    def __init__(
        self,
        work_seconds: float,
        handler_fails: bool = False,
        body: bytes = b"",
        length_of_head: int | None = None,
        closed_before_start: bool = False,
    ) -> None:
        self._closed_before_start = closed_before_start
        self.limits = _LIMITS
        self._handler_fails = handler_fails
        self._body = body
        self._length_of_head = length_of_head
        self.waiting: list[socket] = []
        self.address = Address("127.0.0.1", free_ports(1)[0])
        self.requests: list[RawRequest] = []
        self.cancelled = Event()
        self.running_requests = 0
        self._work_seconds = work_seconds
        self._stop_requested = Event()
        self._commands: list[str] = []
        self._started = Event()
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()
        assert self._started.wait(5)

    def send_command(self, command: str) -> None:
        """Make the server drain or close, and wait until it has done so."""
        self._commands.append(command)
        while self._commands:
            self._stop_requested.wait(_POLL_SECONDS)

    def stop(self) -> None:
        """Stop the server and its thread."""
        self._stop_requested.set()
        self._thread.join(5)

    def _run(self) -> None:
        with Kernel() as kernel:
            kernel.run(self._serve)

    async def _serve(self) -> None:
        server = CallerServer(
            self._handle, encode_caller_failure, SystemClock(), lambda: self.limits
        )
        if self._closed_before_start:
            await server.close()
        task = await spawn(server.run, self.address)
        while not self._stop_requested.is_set():
            await sleep(_POLL_SECONDS)
            self._started.set()
            if self._commands:
                match self._commands[0]:
                    case "drain":
                        server.drain()
                    case "connect and close":
                        # Nothing else runs before the server closes.
                        self._connect_callers(20)
                        await server.close()
                    case "send and close":
                        # The server does not run before it closes.
                        for caller in self.waiting:
                            caller.sendall(_request("/kept"))
                        await server.close()
                    case "fail to accept":
                        self._fail_to_accept(server, 3)
                    case _:
                        await server.close()
                self.running_requests = server.running_requests
                self._commands.pop()
        await task.cancel()

    def _connect_callers(self, count: int) -> None:
        for number in range(count):
            caller = create_connection((self.address.host, self.address.port))
            caller.sendall(_request(f"/{number}"))
            self.waiting.append(caller)

    def _fail_to_accept(self, server: CallerServer, count: int) -> None:
        """Let the next attempts to accept a connection fail."""
        accept = CurioSocket.accept
        failures = iter(range(count))

        async def failing_accept(listener: Any) -> Any:
            accepted = await accept(listener)
            if next(failures, None) is None:
                CurioSocket.accept = accept
                return accepted
            await accepted[0].close()
            raise OSError(EMFILE, "too many open files")

        CurioSocket.accept = failing_accept

    async def _handle(self, request: RawRequest) -> RawResponse:
        self.requests.append(request)
        if self._handler_fails:
            raise OverflowError("a number is too large")
        try:
            await sleep(self._work_seconds)
        except CancelledError:
            self.cancelled.set()
            raise
        if request.method == b"HEAD" and self._length_of_head is not None:
            length = b"%d" % self._length_of_head
            return RawResponse(200, ((b"Content-Length", length),), b"")
        return RawResponse(200, (), self._body or request.target)


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
        connection.sendall(_request("/1"))
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
                sleep_thread(10 * _POLL_SECONDS)
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
            caller.sendall(_request("/1"))
            caller.recv(100)
            sleep_thread(_POLL_SECONDS)
            if number % 2:
                caller.setsockopt(SOL_SOCKET, SO_LINGER, b"\x01\0\0\0\0\0\0\0")


@when("a caller sends a request and reads nothing for {seconds:d} s")
def read_nothing(context: Context, seconds: int) -> None:
    context.caller = socket()
    context.caller.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    address = context.server.address
    context.caller.connect((address.host, address.port))
    context.caller.sendall(_request("/1"))
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
def send_head_request(context: Context) -> None:
    with _connect(context) as connection:
        connection.settimeout(5)
        connection.sendall(_request("/1").replace(b"GET", b"HEAD", 1))
        context.first = connection.recv(1000)
        connection.sendall(_request("/2"))
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
def send_request(context: Context) -> None:
    context.caller = _connect(context)
    context.caller.sendall(_request("/1"))


@then("its connection is closed at once")
def check_closed_at_once(context: Context) -> None:
    with context.caller as caller:
        assert caller.recv(1000) == b""


@when("it closes while {count:d} connections wait in the queue with a request each")
def close_with_queue(context: Context, count: int) -> None:
    context.half = _connect(context)
    context.half.sendall(_request("/half")[:10])
    context.fresh = _connect(context)
    # The server accepts both and reads the half request.
    sleep_thread(20 * _POLL_SECONDS)
    context.server.send_command("connect and close")
    assert len(context.server.waiting) == count


@when(
    "it closes right after {count:d} callers have sent a request on a kept connection"
)
def close_with_kept(context: Context, count: int) -> None:
    for _ in range(count):
        caller = _connect(context)
        caller.sendall(_request("/first"))
        assert caller.recv(1000).startswith(b"HTTP/1.1 200 ")
        context.server.waiting.append(caller)
    context.server.send_command("send and close")


@given("a server that was closed before it started")
def start_closed_server(context: Context) -> None:
    context.fleet = context.server = CallerServerThread(0, closed_before_start=True)


@when("a caller connects")
def connect_to_closed(context: Context) -> None:
    # The task of the server has run once its thread has started.
    sleep_thread(20 * _POLL_SECONDS)
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
    context.half.sendall(_request("/half")[10:])
    context.fresh.sendall(_request("/fresh"))
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
            sleep_thread(_POLL_SECONDS / 5)

    threads = [Thread(target=connect_often, daemon=True) for _ in range(4)]
    for thread in threads:
        thread.start()
    # Callers connect for some time before the server closes.
    sleep_thread(20 * _POLL_SECONDS)
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
        caller.sendall(_request("/1"))
        assert caller.recv(1000).startswith(b"HTTP/1.1 200 ")


@when("a caller sends a request and closes its connection")
def disconnect(context: Context) -> None:
    with _connect(context) as connection:
        connection.sendall(_request("/1"))
        give_up_at = monotonic() + 5
        while not context.server.requests and monotonic() < give_up_at:
            context.server.cancelled.wait(_POLL_SECONDS)
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
            connection.sendall(_request(f"/{number}"))
            context.responses.append(_receive(connection))


@then("each response echoes the path of its own request")
def check_echo(context: Context) -> None:
    for number, response in enumerate(context.responses):
        assert response.endswith(f"\r\n\r\n/{number}".encode()), response


@when("a caller pipelines {count:d} requests")
def pipeline(context: Context, count: int) -> None:
    with _connect(context) as connection:
        connection.sendall(b"".join(_request(f"/{number}") for number in range(count)))
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
        connection.sendall(_request("/1"))
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


def _request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


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
    context.server.limits = _LIMITS._replace(**{field: int(size)})
