"""Steps for requests that a replica does not take in at once, on loopback."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import timedelta
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import TaskGroup, ignore_after, run, sleep, spawn
from curio.socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_LINGER,
    SO_RCVBUF,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_MAXSEG,
    socket,
)
from fakes.recording_waiter import RecordingWaiter
from fakes.replica_script import make_notice

from lovagetray import Address, SystemClock
from lovagetray.platform.formats import decode_reply
from lovagetray.targets import ConnectionLimits, ConnectionPool, Exchange
from lovagetray.wire import connect

_LONG_BODY = b"x" * 250_000
# Long enough for a loaded machine; what ends at all takes less than a second.
_PATIENCE_SECONDS = 30
_SECOND = timedelta(seconds=1)
_RESET = b"\x01\0\0\0\0\0\0\0"


class _Replica:
    """A replica on loopback with small windows, so that a long request blocks."""

    def __init__(self, name: str, work_seconds: float) -> None:
        self.clients: list[Any] = []
        self.start_tasks: list[Any] = []
        self._work_seconds = work_seconds
        self._listener = socket(AF_INET, SOCK_STREAM)
        # The operating system takes in some 70 KB that the replica does not read.
        self._listener.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
        self._listener.setsockopt(IPPROTO_TCP, TCP_MAXSEG, 1400)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        address = Address(*self._listener.getsockname())
        self.notice = make_notice(name)._replace(address=address)

    async def run(self) -> None:
        async with self._listener:
            while True:
                client, _ = await self._listener.accept()
                await spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Any) -> None:
        try:
            while (head := await client.recv(200)) and head.startswith(b"GET"):
                await sleep(self._work_seconds)
                await client.sendall(_response(head))
        except OSError:
            return
        if head:
            # A long request: nothing more is read.
            self.clients.append((client, head))


@given("a replica that reads nothing of long requests")
def use_blocking_replica(context: Context) -> None:
    context.work_seconds = 0.0


@given("a sound replica that works for {milliseconds:d} ms")
def use_sound_replica(context: Context, milliseconds: int) -> None:
    context.work_seconds = milliseconds / 1000


@when(
    "{long:d} long requests are being sent to the first one and {short:d} short ones "
    "run at the other"
)
def set_counts(context: Context, long: int, short: int) -> None:
    context.long, context.short = long, short


@when("the first replica {end}")
def send_all(context: Context, end: str) -> None:
    async def work(pool: ConnectionPool, first: _Replica, other: _Replica) -> None:
        # Connections that are idle when the long requests begin.
        await _exchange_all(pool, first, context.long, b"GET")
        long = await _start(pool, first, context.long, b"POST", _LONG_BODY)
        short = await _start(pool, other, context.short, b"GET")
        for _ in range(context.short):
            await spawn(_connect_often, other, daemon=True)
        while len(first.clients) < context.long:
            await sleep(0.01)
        await _end_connections(first, end)
        more = await _start(pool, other, context.long, b"GET")
        await _wait(long + short + more)
        # A second outcome would follow the first one.
        await sleep(0.1)
        context.long_outcomes = [waiter.outcomes for waiter in long]
        context.short_outcomes = [waiter.outcomes for waiter in short + more]

    _run(context, work)


@then("each long request has exactly one outcome")
def check_long(context: Context) -> None:
    for outcomes in context.long_outcomes:
        assert len(outcomes) == 1, context.long_outcomes
        # A complete answer may come before the connection ends.
        code = getattr(outcomes[0], "code", None)
        status = getattr(outcomes[0], "status", None)
        assert code == "connection_lost" or status == 200, outcomes


@then("each short request is answered")
def check_answered(context: Context) -> None:
    for outcomes in context.short_outcomes:
        assert [outcome.status for outcome in outcomes] == [200], outcomes


@when("{count:d} long requests with {milliseconds:d} ms left are sent to it")
def send_without_reader(context: Context, count: int, milliseconds: int) -> None:
    time_left = timedelta(milliseconds=milliseconds)

    async def work(pool: ConnectionPool, first: _Replica, other: _Replica) -> None:
        clock = SystemClock()
        await _exchange_all(pool, first, count, b"GET")
        started_at = clock.monotonic_time()
        long = await _start(pool, first, count, b"POST", _LONG_BODY, time_left)
        while len(first.clients) < count:
            await sleep(0.01)
        context.start_tasks_running = [
            task for task in first.start_tasks if not task.terminated
        ]
        await _wait(long)
        context.waited = clock.monotonic_time() - started_at
        context.outcomes = [waiter.outcomes for waiter in long]
        await sleep(0.1)
        context.open_count = pool.open_count

    context.time_left = time_left
    _run(context, work)


@then("none of them waits for the replica to read")
def check_started(context: Context) -> None:
    assert not context.start_tasks_running, context.start_tasks_running


@then("each ends with connection_lost once its time has passed")
def check_timed_out(context: Context) -> None:
    for outcomes in context.outcomes:
        assert [outcome.code for outcome in outcomes] == ["connection_lost"], outcomes
    assert context.waited >= context.time_left, context.waited


@then("the replica's connections are closed")
def check_closed(context: Context) -> None:
    assert context.open_count == 0, context.open_count


def _run(
    context: Context,
    work: Callable[[ConnectionPool, _Replica, _Replica], Awaitable[None]],
) -> None:
    async def main() -> None:
        first = _Replica("first", 0.0)
        other = _Replica("other", context.work_seconds)
        async with TaskGroup(wait=None) as group:
            pool = ConnectionPool(
                SystemClock(),
                decode_reply,
                group,
                lambda _: ConnectionLimits(32, 32),
                lambda _: True,
            )
            for replica in (first, other):
                await group.spawn(replica.run)
            await group.spawn(pool.run, lambda _: False)
            await work(pool, first, other)

    run(main)


async def _start(
    pool: ConnectionPool,
    replica: _Replica,
    count: int,
    method: bytes,
    body: bytes = b"",
    time_left: timedelta = _PATIENCE_SECONDS * _SECOND,
) -> list[RecordingWaiter]:
    """Start exchanges, each in a task of its own, as requests do."""
    waiters = [RecordingWaiter() for _ in range(count)]
    deadline = SystemClock().monotonic_time() + time_left
    for number, waiter in enumerate(waiters):
        request_id = f"{method.decode()}-{number}"
        payload = method + b" / HTTP/1.1\r\nRequest-Id: " + request_id.encode()
        payload += b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        exchange = Exchange(replica.notice, request_id, payload, waiter, deadline)
        task = await spawn(pool.start, exchange, daemon=True)
        replica.start_tasks.append(task)
    return waiters


async def _exchange_all(
    pool: ConnectionPool, replica: _Replica, count: int, method: bytes
) -> None:
    await _wait(await _start(pool, replica, count, method))


async def _wait(waiters: list[RecordingWaiter]) -> None:
    for waiter in waiters:
        await ignore_after(_PATIENCE_SECONDS, waiter.done.wait())


async def _connect_often(replica: _Replica) -> None:
    """Open and close connections, which get the numbers of sockets that are closed."""
    with suppress(OSError):
        while True:
            async with await connect(replica.notice.address) as connection:
                await connection.sendall(b"GET / HTTP/1.1\r\nRequest-Id: c\r\n\r\n")
                await ignore_after(0.02, connection.recv(1000))


async def _end_connections(replica: _Replica, end: str) -> None:
    for client, head in replica.clients:
        if "answers" in end:
            await client.sendall(_response(head))
        if "resets" in end:
            client.setsockopt(SOL_SOCKET, SO_LINGER, _RESET)
        if "closes" in end or "resets" in end:
            await client.close()
        await sleep(0.005)


def _response(head: bytes) -> bytes:
    request_id = head.split(b"Request-Id: ")[1].split(b"\r\n")[0]
    return (
        b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "
        + request_id
        + b"\r\nContent-Length: 2\r\n\r\nok"
    )
