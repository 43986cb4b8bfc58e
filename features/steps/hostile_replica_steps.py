"""Steps for connections to replicas that send faulty or endless bytes, on loopback."""

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from random import Random
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from curio import Event, TaskGroup, ignore_after, run, sleep
from curio.socket import AF_INET, SO_LINGER, SOCK_STREAM, SOL_SOCKET, socket
from fakes.recording_waiter import RecordingWaiter
from fakes.replica_script import make_notice
from platform_stand_in.fleet import PlatformFleet

from lovagetray import Address, SystemClock
from lovagetray.platform.formats import decode_reply
from lovagetray.targets import ConnectionLimits, ConnectionPool, Exchange
from lovagetray.wire import HttpConnection

_BLOCK = 64 * 1024
_MEGABYTE = 1024 * 1024
# Long enough for a loaded machine; an exchange that ends at all takes milliseconds.
_PATIENCE_SECONDS = 30
_HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_FILLER = b"a" * _BLOCK
_ENDLESS = {
    "header lines": (_HEAD, (b"X: " + b"a" * 1021 + b"\r\n") * 64),
    "one header line": (_HEAD + b"X: ", _FILLER),
    "a body": (_HEAD + b"Content-Length: 999999999999\r\n\r\n", _FILLER),
    "chunks": (_CHUNKED, b"10000\r\n" + _FILLER + b"\r\n"),
    "a chunk extension": (_CHUNKED + b"4;x=", _FILLER),
    "trailer lines": (_CHUNKED + b"0\r\n", b"X: y\r\n" * 10_000),
    "informational responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000),
}
_EARLY_ENDS = {
    "half of a body with a length": _HEAD + b"Content-Length: 100\r\n\r\nhalf",
    "half of a chunk": _CHUNKED + b"64\r\nhalf",
    "half of a trailer": _CHUNKED + b"4\r\nhalf\r\n0\r\nX: y\r\n",
    "half of a status line": _HEAD[:12],
    "half of a head": _HEAD + b"Request-Id: r0\r\nContent-Len",
    "a head without its empty line": _HEAD + b"Request-Id: r0\r\n",
    "a 102 and half of a head": b"HTTP/1.1 102 Processing\r\n\r\n" + _HEAD,
    "half of a body and a reset": _HEAD + b"Connection: close\r\n\r\nhalf",
    "a switch of protocols": (
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
        b"Upgrade: x\r\n\r\nbytes"
    ),
    "bytes that are no response": b"\x00\x01\x02\r\n\r\n",
}
_HEAD_RESPONSES = {
    "a length": b"Content-Length: 41\r\n\r\n",
    "a length of 0": b"Content-Length: 0\r\n\r\n",
    "chunked encoding": b"Transfer-Encoding: chunked\r\n\r\n",
    "no length": b"\r\n",
    "a length and, by mistake, a body": b"Content-Length: 4\r\n\r\nbody",
    "a 102, then a length": b"Content-Length: 41\r\n\r\n",
}
_Serve = Callable[[Context, Any, int], Awaitable[None]]


@given("a replica whose bytes never end: {name}")
def send_without_end(context: Context, name: str) -> None:
    async def serve(context: Context, client: Any, number: int) -> None:
        start, block = _ENDLESS[name]
        await client.recv(_BLOCK)
        await client.sendall(start)
        while context.sent_bytes < 400 * _MEGABYTE:
            await client.sendall(block)
            context.sent_bytes += len(block)

    context.serve = serve


@given("a replica that sends {name}")
def send_bytes(context: Context, name: str) -> None:
    async def serve_once(context: Context, client: Any, number: int) -> None:
        await client.recv(_BLOCK)
        await client.sendall(_EARLY_ENDS[name])
        if "reset" in name:
            await sleep(0.05)
            client.setsockopt(SOL_SOCKET, SO_LINGER, b"\x01\0\0\0\0\0\0\0")

    async def serve_each(context: Context, client: Any, number: int) -> None:
        while request := await client.recv(_BLOCK):
            response = _response(request, with_id="without" not in name)
            if "twice" in name:
                response += response
            if "blanks" in name:
                response = response.replace(b": ", b": \t ").replace(
                    b"\r\n", b" \t\r\n", 3
                )
                response = response.replace(b" \t\r\n", b"\r\n", 1)
            if "start of another" in name:
                response += response[:20]
            await client.sendall(response)

    context.serve = serve_once if name in _EARLY_ENDS else serve_each


@given("a replica that answers with status {status}")
def answer_status(context: Context, status: str) -> None:
    async def serve(context: Context, client: Any, number: int) -> None:
        while request := await client.recv(_BLOCK):
            response = _response(request, with_id=True)
            await client.sendall(response.replace(b" 200 ", f" {status} ".encode(), 1))

    context.serve = serve


@given("gateways with a service of 2 replicas")
def start_gateways(context: Context) -> None:
    fleet = context.fleet = PlatformFleet(context.folder)
    fleet.start()
    fleet.start_replicas(("s",), replicas=2)
    document = fleet.next_configuration(("s",), ("s",))
    fleet.wait_until(lambda: fleet.put_configuration(document).status == 200)
    fleet.wait_replicas_known()
    fleet.wait_until(lambda: fleet.get("/s/1").status == 200)


@when(
    "one or both replicas answer with a status of 000, 099, 600, 999, 20, 2000 or abc"
)
def call_with_statuses(context: Context) -> None:
    fleet = context.fleet
    context.statuses = {}
    for status in ("000", "099", "600", "999", "20", "2000", "abc"):
        for names in (["s-0"], ["s-0", "s-1"]):
            fleet.send_command(mode="ok")
            fleet.send_command(names=names, mode=f"status {status}")
            context.statuses[status, len(names)] = {
                fleet.get(path).status for path in ("/s/1", "/all/q") for _ in range(6)
            }


@then("callers get answers with status 200, 502 or 503, and no others")
def check_caller_statuses(context: Context) -> None:
    for (status, count), found in context.statuses.items():
        # 503 only if no replica is reachable after the failures that went before.
        allowed = {200, 502, 503} if count == 1 else {502, 503}
        assert found <= allowed, (status, count, found)


@given("a replica that answers HEAD requests with {name}")
def answer_head(context: Context, name: str) -> None:
    async def serve(context: Context, client: Any, number: int) -> None:
        informational = b"HTTP/1.1 102 Processing\r\n\r\n" if "102" in name else b""
        while request := await client.recv(_BLOCK):
            request_id = request.split(b"Request-Id: ")[1].split(b"\r\n")[0]
            head = _HEAD + b"Request-Id: " + request_id + b"\r\n"
            await client.sendall(informational + head + _HEAD_RESPONSES[name])

    context.serve = serve


@given("a replica whose bytes are random")
def send_random(context: Context) -> None:
    pieces = [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 102 x\r\n\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Server-Load: 9999999999999999999999,1,1\r\n",
        b"Retry-After: 1e400\r\n",
        b"Keep-Alive: timeout=" + b"9" * 5000 + b"\r\n",
        b"Request-Id: other\r\n",
        b"\r\n",
        b"5\r\nhello\r\n0\r\n\r\n",
        b"hello",
    ]

    async def serve(context: Context, client: Any, number: int) -> None:
        random = Random(number)
        await client.recv(_BLOCK)
        parts = [random.choice(pieces) for _ in range(random.randint(0, 12))]
        parts.insert(
            random.randint(0, len(parts)), random.randbytes(random.randint(0, 9))
        )
        await client.sendall(b"".join(parts))

    context.serve = serve


@given("a replica that repeats its last response before the next one")
def repeat_last(context: Context) -> None:
    async def serve(context: Context, client: Any, number: int) -> None:
        last = b""
        while request := await client.recv(_BLOCK):
            response = _response(request, with_id=True)
            await client.sendall(last + response)
            last = response

    context.serve = serve


@given("a replica that accepts 1 connection and answers nothing")
def answer_nothing(context: Context) -> None:
    async def serve(context: Context, client: Any, number: int) -> None:
        while await client.recv(_BLOCK):
            pass

    context.serve = serve


@when("a request is sent to it")
def send_one(context: Context) -> None:
    _run(context, lambda pool, notice: _exchange(context, pool, notice, 1))


@when("an entry instance sends a request to it")
def send_from_entry(context: Context) -> None:
    async def work(pool: ConnectionPool, notice: Any) -> None:
        limit = timedelta(seconds=_PATIENCE_SECONDS)
        opened = await HttpConnection.open("r", notice.address, SystemClock(), limit)
        connection = opened.ok
        result = await connection.exchange("GET", "/", {}, b"", limit)
        await connection.close()
        context.outcomes = [result.error if result.is_error() else result.ok]

    _run(context, work)


@when("two HEAD requests are sent to it, one after the other")
def send_two_heads(context: Context) -> None:
    _run(context, lambda pool, notice: _exchange(context, pool, notice, 2, "HEAD"))


@when("two requests are sent to it, one after the other")
def send_two(context: Context) -> None:
    _run(context, lambda pool, notice: _exchange(context, pool, notice, 2))


@when("{count:d} requests are sent to it")
def send_many(context: Context, count: int) -> None:
    _run(context, lambda pool, notice: _exchange(context, pool, notice, count))


@when("requests are sent to it while other connections hold all bytes")
def send_with_held_bytes(context: Context) -> None:
    async def work(pool: ConnectionPool, notice: Any) -> None:
        pool._buffered.hold(32 * _MEGABYTE)
        await _exchange(context, pool, notice, 1)

    _run(context, work)


@when("a request is sent to it and the decoder fails")
def send_with_failing_decoder(context: Context) -> None:
    def decode(*_: Any) -> Any:
        raise OverflowError("a number is too large")

    _run(context, lambda pool, notice: _exchange(context, pool, notice, 1), decode)


class _FailingWaiter(RecordingWaiter):
    """Receiver that fails for replies, but not for failures."""

    async def deliver(self, exchange: Exchange, outcome: Any) -> None:
        """Record a failure."""
        if hasattr(outcome, "status"):
            raise OverflowError("a number is too large")
        await super().deliver(exchange, outcome)


@when("a request is sent to it and the receiver of its reply fails")
def send_with_failing_receiver(context: Context) -> None:
    async def work(pool: ConnectionPool, notice: Any) -> None:
        waiter = _FailingWaiter()
        assert await pool.start(_make_exchange(notice, 0, waiter))
        await ignore_after(_PATIENCE_SECONDS, waiter.done.wait())
        context.outcomes = waiter.outcomes

    _run(context, work)


@when("a second request waits and the replica announces another address")
def move_replica(context: Context) -> None:
    async def work(pool: ConnectionPool, notice: Any) -> None:
        waiters = [RecordingWaiter(), RecordingWaiter()]
        for number, waiter in enumerate(waiters):
            await pool.start(_make_exchange(notice, number, waiter))
        context.moved = True
        moved = notice._replace(address=Address("127.0.0.1", 1), sequence=2)
        await pool.start(_make_exchange(moved, 2, RecordingWaiter()))
        await ignore_after(_PATIENCE_SECONDS, waiters[1].done.wait())
        context.outcomes = waiters[1].outcomes

    context.moved = False
    _run(context, work)


@then("the exchange fails with {code}")
@then("the second request fails with {code}")
def check_failure(context: Context, code: str) -> None:
    codes = [getattr(outcome, "code", None) for outcome in context.outcomes]
    assert codes == [code], context.outcomes


@then("the replica could send at most {megabytes:d} MB")
def check_sent(context: Context, megabytes: int) -> None:
    # Socket buffers of the system hold some megabytes that nobody has read.
    assert context.sent_bytes <= megabytes * _MEGABYTE, context.sent_bytes


@then("each gets its own response")
def check_own_responses(context: Context) -> None:
    bodies = [getattr(outcome, "body", None) for outcome in context.outcomes]
    assert bodies == [b"body of r0", b"body of r1"], context.outcomes


@then("each gets a response with status 200 and no body")
def check_bodiless(context: Context) -> None:
    found = [
        (getattr(outcome, "status", None), getattr(outcome, "body", None))
        for outcome in context.outcomes
    ]
    assert found == [(200, b"")] * 2, context.outcomes


@then("no header of a response has blanks around its value")
def check_headers(context: Context) -> None:
    for reply in context.outcomes:
        values = [value for _, value in reply.headers]
        assert values == [value.strip() for value in values], values


@then("each gets its own response or none")
def check_no_foreign_response(context: Context) -> None:
    assert len(context.outcomes) == 2, context.outcomes
    for number, outcome in enumerate(context.outcomes):
        body = getattr(outcome, "body", None)
        assert body in (None, b"body of r%d" % number), context.outcomes


@then("{count:d} connections were opened")
def check_connections(context: Context, count: int) -> None:
    assert context.connections == count, context.connections


@then("each has exactly one outcome")
def check_outcomes(context: Context) -> None:
    counts = [len(outcomes) for outcomes in context.outcomes_of_each]
    assert counts == [1] * len(counts), counts


@then("the task group of the connections is empty")
def check_group(context: Context) -> None:
    assert context.tasks_kept <= 1, context.tasks_kept


def _run(
    context: Context,
    work: Callable[[ConnectionPool, Any], Awaitable[None]],
    decode: Any = decode_reply,
) -> None:
    context.sent_bytes = context.connections = 0
    context.outcomes = []

    async def main() -> None:
        listener = socket(AF_INET, SOCK_STREAM)
        listener.bind(("127.0.0.1", 0))
        listener.listen(16)
        notice = make_notice("r")._replace(address=Address(*listener.getsockname()))
        clock = SystemClock()
        async with TaskGroup(wait=None) as servers:
            await servers.spawn(_accept, context, listener, servers)
            async with TaskGroup(wait=None) as group:
                pool = ConnectionPool(
                    clock,
                    decode,
                    group,
                    lambda _: ConnectionLimits(1, 1),
                    lambda _: True,
                )
                await group.spawn(pool.run, lambda used: _has_moved(context, used))
                await work(pool, notice)
                await sleep(0.05)
                context.tasks_kept = len(group.tasks)
        await listener.close()

    run(main)


class _ResetConnection:
    """A connection whose reset is reported to the task that sends, and only to it."""

    def __init__(self, received: bytes) -> None:
        self._received = [received]
        self._reset = Event()

    async def __aenter__(self) -> "_ResetConnection":
        return self

    async def __aexit__(self, *details: object) -> None:
        pass

    def send_available(self, parts: Sequence[bytes]) -> int:
        return 1

    async def sendall(self, data: bytes) -> None:
        await self._reset.set()
        raise ConnectionResetError

    async def recv(self, size: int) -> bytes:
        if self._received:
            return self._received.pop()
        await self._reset.wait()
        return b""


@given(
    "a replica that resets its connection in the middle of a response without a length"
)
def reset_without_length(context: Context) -> None:
    context.connection = _ResetConnection(_HEAD + b"Connection: close\r\n\r\nhalf")


@when("a request is sent to it whose rest meets the reset first")
def send_until_reset(context: Context) -> None:
    async def connect(address: Address) -> _ResetConnection:
        return context.connection

    async def main() -> None:
        notice = make_notice("r-1")
        async with TaskGroup(wait=None) as group:
            pool = ConnectionPool(
                SystemClock(),
                decode_reply,
                group,
                lambda _: ConnectionLimits(1, 1),
                lambda _: True,
            )
            with patch("lovagetray.targets._channel.connect", connect):
                await _exchange(context, pool, notice, 1)

    run(main)


def _has_moved(context: Context, notice: Any) -> bool:
    return bool(getattr(context, "moved", False)) and notice.sequence == 1


async def _accept(context: Context, listener: Any, group: TaskGroup) -> None:
    while True:
        client, _ = await listener.accept()
        context.connections += 1
        await group.spawn(_serve, context, client, context.connections, daemon=True)


async def _serve(context: Context, client: Any, number: int) -> None:
    async with client:
        try:
            await context.serve(context, client, number)
        except OSError:
            # The connection was closed by the other side.
            pass


async def _exchange(
    context: Context, pool: ConnectionPool, notice: Any, count: int, method: str = "GET"
) -> None:
    waiters = []
    for number in range(count):
        waiter = RecordingWaiter()
        waiters.append(waiter)
        assert await pool.start(_make_exchange(notice, number, waiter, method))
        await ignore_after(_PATIENCE_SECONDS, waiter.done.wait())
        # Bytes that follow a response arrive before the next request is sent.
        await sleep(0.02)
    context.outcomes_of_each = [waiter.outcomes for waiter in waiters]
    context.outcomes = [
        outcome for outcomes in context.outcomes_of_each for outcome in outcomes
    ]


def _make_exchange(
    notice: Any, number: int, waiter: RecordingWaiter, method: str = "GET"
) -> Exchange:
    payload = f"{method} /{number} HTTP/1.1\r\nRequest-Id: r{number}\r\n\r\n".encode()
    deadline = SystemClock().monotonic_time() + timedelta(seconds=_PATIENCE_SECONDS)
    bodiless = method == "HEAD"
    return Exchange(notice, f"r{number}", payload, waiter, deadline, bodiless=bodiless)


def _response(request: bytes, with_id: bool) -> bytes:
    request_id = request.split(b"Request-Id: ")[1].split(b"\r\n")[0]
    head = _HEAD
    if with_id:
        head += b"Request-Id: " + request_id + b"\r\n"
    body = b"body of " + request_id
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
