"""Steps for the bounds of what a process holds for its callers."""

from contextlib import suppress
from datetime import timedelta
from random import Random
from socket import SHUT_WR, SO_LINGER, SO_RCVBUF, SOL_SOCKET, create_connection, socket
from struct import pack
from time import monotonic, sleep
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import run, run_in_thread, sleep as sleep_task, spawn
from fakes.caller_server import CallerServerThread
from fakes.dispatcher import make_dispatcher
from fleet import free_ports

from lovagetray import Address, SystemClock
from lovagetray._peer_messages import KnownInstances
from lovagetray._routing_errors import NoRoute, RequestNotRun
from lovagetray._routing_types import CallerRequest, OneService
from lovagetray._types import InstanceId
from lovagetray.gateway._bounds import process_bounds
from lovagetray.platform._control_handler import encode_control_failure
from lovagetray.queries.load_balancing import LatencyPlacement
from lovagetray.state import HeldBytes, HeldPart, ProcessorUse, ResponseMemory
from lovagetray.wire import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    PeerTransport,
)

_MEGABYTE = 1024 * 1024
_GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
_POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
_UNFINISHED_CALLS = {
    "send nothing": b"",
    "send half of a head": _GET[:10],
    "send half of a body": _POST + b"x" * 100,
    "do not read a response of 1 MB": _GET.replace(b"/", b"/long", 1),
}
_INPUTS = {
    "read one byte of the response": _GET,
    "send one byte of a request": b"G",
    "send nothing": b"",
    "send half of a body": _POST + b"x" * 100_000,
    "announce a body and send nothing of it": _POST,
    "pipeline 20 requests and read nothing": 20 * _GET,
    "end their side after the request": _GET,
    "reset in the middle of a response": _GET,
}


@given("a server that may hold 8 MB and has 40 connections, with responses of 1 MB")
def start_server(context: Context) -> None:
    context.held = HeldBytes(8 * _MEGABYTE)
    context.fleet = context.server = CallerServerThread(
        0, body=b"x" * _MEGABYTE, held=context.held, max_connections=40
    )


@when("{count:d} callers come that {behaviour}")
def send_crowd(context: Context, count: int, behaviour: str) -> None:
    address = (context.server.address.host, context.server.address.port)
    context.callers = []
    context.peaks = dict.fromkeys(HeldPart, 0)
    for _ in range(count):
        caller = socket()
        caller.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
        caller.settimeout(0.2)
        context.callers.append(caller)
        with suppress(OSError):
            caller.connect(address)
            caller.sendall(_INPUTS[behaviour])
            match behaviour:
                case "read one byte of the response":
                    caller.recv(1)
                case "end their side after the request":
                    caller.shutdown(SHUT_WR)
                case "reset in the middle of a response":
                    caller.recv(1)
                    caller.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
                    caller.close()
        for part in HeldPart:
            context.peaks[part] = max(context.peaks[part], context.held.held(part))


@then("the bytes held stayed within their bound")
def check_peaks(context: Context) -> None:
    for part, peak in context.peaks.items():
        assert peak <= context.held.limit(part), (part, peak)


@then("a caller that tries again if refused is answered")
def check_ordinary(context: Context) -> None:
    address = (context.server.address.host, context.server.address.port)
    end = monotonic() + 10
    while monotonic() < end:
        with suppress(OSError), create_connection(address, timeout=5) as caller:
            caller.sendall(_GET)
            if caller.recv(1000).startswith(b"HTTP/1.1 200"):
                return
        sleep(0.1)
    raise AssertionError("no answer")


@then("nothing is held after all have left")
def check_released(context: Context) -> None:
    for caller in context.callers:
        caller.close()
    end = monotonic() + 10
    while any(context.held.held(part) for part in HeldPart) and monotonic() < end:
        sleep(0.02)
    assert not any(context.held.held(part) for part in HeldPart)


@given("a gateway whose memory for responses is held by others")
def fill_memory(context: Context) -> None:
    context.held = HeldBytes(8 * _MEGABYTE)
    context.held.hold(HeldPart.RESPONSES, 8 * _MEGABYTE)
    route = SimpleNamespace(
        name="r", destination=OneService("s"), time_limit=timedelta(seconds=1)
    )
    table = SimpleNamespace(find=lambda host, path: route)
    context.balancer = SimpleNamespace(
        mode=LatencyPlacement(),
        count_reachable=lambda services: 0,
        refused_for=lambda *_: timedelta(0),
    )
    dependencies: Any = SimpleNamespace(
        clock=SystemClock(),
        balancer=context.balancer,
        answer_limit=SimpleNamespace(due_at=None),
    )
    routing: Any = SimpleNamespace(table=table, version=1)
    context.dispatcher = make_dispatcher(routing, dependencies, held=context.held)


@when("it gets a request")
def send_request(context: Context) -> None:
    request = CallerRequest("id", b"GET", b"/", "h", (), b"", None)
    context.failure = run(context.dispatcher.answer, request).error


@then("the request is refused as not run, with a time to try again")
def check_refused(context: Context) -> None:
    assert isinstance(context.failure, RequestNotRun), context.failure
    assert "held" in context.failure.reason
    assert context.failure.retry_after > timedelta(0)


@when("the others have read their responses")
def release_memory(context: Context) -> None:
    context.held.release(HeldPart.RESPONSES, 8 * _MEGABYTE)


@then("the request is not refused for memory")
def check_not_refused(context: Context) -> None:
    assert "held" not in str(context.failure), context.failure
    assert not isinstance(context.failure, NoRoute)
    assert context.held.held(HeldPart.RESPONSES) == 0


@given("a server for calls with 8 connections")
def limit_connections(context: Context) -> None:
    context.held = HeldBytes()
    context.limits = HttpLimits(connections=8)


@given("a peer transport")
def make_transport(context: Context) -> None:
    context.address = Address("127.0.0.1", free_ports(1)[0])
    context.transport = PeerTransport(
        InstanceId("i", "1"),
        context.address,
        SystemClock(),
        lambda: KnownInstances(()),
        lambda name: timedelta(0),
        timedelta(seconds=1),
    )


@when("20 callers connect to it and send nothing")
def connect_to_peer_port(context: Context) -> None:
    def wait_closed() -> int:
        address = (context.address.host, context.address.port)
        callers = [create_connection(address) for _ in range(20)]
        end = monotonic() + 6
        closed = 0
        for caller in callers:
            caller.settimeout(max(0.01, end - monotonic()))
            # The transport sends its greeting and then waits for one.
            with suppress(TimeoutError, ConnectionError):
                while caller.recv(1000):
                    pass
                closed += 1
            caller.close()
        return closed

    async def main() -> None:
        task = await spawn(context.transport.run, {}, ignore_message)
        await sleep_task(0.1)
        context.closed = await run_in_thread(wait_closed)
        await task.cancel()

    async def ignore_message(envelope: object) -> None:
        pass

    run(main)


@then("their connections are closed within 6 s")
def check_closed(context: Context) -> None:
    assert context.closed == 20, context.closed


@given("a server for calls that holds as many bytes as it may")
def fill_calls(context: Context) -> None:
    context.held = HeldBytes()
    context.held.hold(HeldPart.CONTROL, context.held.limit(HeldPart.CONTROL))
    context.limits = HttpLimits()


@when("30 callers connect to it and {behaviour}")
def connect_others(context: Context, behaviour: str) -> None:
    def work(address: tuple[str, int]) -> list[bytes]:
        others = []
        for _ in range(30):
            others.append(create_connection(address))
            with suppress(OSError):
                # Those whose connection was closed for another one cannot send.
                others[-1].sendall(_UNFINISHED_CALLS[behaviour])
        # By then the others have been sending or reading for longer than a caller of
        # usual speed.
        sleep(0.3)
        answers = _call(address, 1)
        for caller in others:
            caller.close()
        return [answers]

    _serve_calls(context, work)


@when("a call with a body of 1 KB and one with a body of 100 KB arrive")
def send_bodies(context: Context) -> None:
    _serve_calls(context, lambda address: [_call(address, 1000), _call(address, 10**5)])


@then("the next call is answered")
def check_answered(context: Context) -> None:
    assert context.answers[0].startswith(b"HTTP/1.1 200"), context.answers


@then("the first is answered and the second is refused with 503 and Retry-After")
def check_second_refused(context: Context) -> None:
    check_answered(context)
    assert context.answers[1].startswith(b"HTTP/1.1 503"), context.answers
    assert b"retry-after" in context.answers[1], context.answers


@then(
    "a machine of {memory:d} MB may hold {held:d} MB and {connections:d} connections "
    "of callers"
)
def check_bounds(context: Context, memory: int, held: int, connections: int) -> None:
    settings: Any = SimpleNamespace(
        memory_bytes=memory * _MEGABYTE, max_descriptors=4_100
    )
    bounds = process_bounds(settings)
    total = sum(bounds.held.limit(part) for part in HeldPart)
    assert 0 <= held * _MEGABYTE - total < len(HeldPart), total
    assert bounds.caller_connections == connections


@given("an account with room for {size} bytes of responses")
def make_account(context: Context, size: str) -> None:
    # Responses have half of the account.
    context.held = HeldBytes(2 * int(size.replace(",", "")))
    context.routes = ("a", "b")


@when("2,000 requests of seed {seed:d} take, keep and give back memory in any order")
def run_requests(context: Context, seed: int) -> None:
    random = Random(seed)
    held = context.held
    limit = held.limit(HeldPart.RESPONSES)
    context.excess = []
    running: list[tuple[ResponseMemory, list[int]]] = []
    for _ in range(2_000):
        memory = held.reserve(random.choice(context.routes))
        if memory is not None:
            running.append((memory, []))
        for memory, taken in running:
            size = random.randrange(1, limit // 3)
            match random.choice(("take", "give back", "keep", "wait")):
                case "take" if memory.take(size):
                    taken.append(size)
                case "give back" if taken:
                    memory.give_back(taken.pop())
                case "keep" if taken:
                    size = taken.pop()
                    memory.keep(size)
                    memory.give_back(size)
        if held.held(HeldPart.RESPONSES) > limit:
            context.excess.append(len(running))
        if running and random.random() < 0.6:
            memory, taken = running.pop(random.randrange(len(running)))
            memory.end(random.choice((None, 100, limit)))
            for size in taken:
                # A response of an exchange that was abandoned.
                memory.keep(size)
                memory.give_back(size)
    for memory, taken in running:
        memory.end(None)
        for size in taken:
            memory.give_back(size)


@then("the bytes held stayed within their bound, except for one response alone")
def check_excess(context: Context) -> None:
    assert set(context.excess) <= {1}, context.excess


@then("nothing is held after all have ended")
def check_all_ended(context: Context) -> None:
    assert context.held.held(HeldPart.RESPONSES) == 0


@when("the first of a route states {size} bytes")
def state_length(context: Context, size: str) -> None:
    context.memory = context.held.reserve("a")
    assert context.memory.take(int(size.replace(",", "")))


@then("a further request of the route is refused until it has ended")
def check_refused_until_end(context: Context) -> None:
    assert context.held.reserve("a") is None
    context.memory.give_back(900_000)
    context.memory.end(900_000)
    assert context.held.reserve("a") is not None


@given("a connection with a share of 5% of a processor")
def make_use(context: Context) -> None:
    context.use = ProcessorUse(0.05)


@then("it may use 5 ms at once, and then 5 ms in 100 ms")
def check_share(context: Context) -> None:
    now = timedelta(seconds=100)
    context.use.record(timedelta(milliseconds=5), now)
    assert not context.use.exceeds_share(now)
    for _ in range(50):
        context.use.record(timedelta(milliseconds=5), now)
        assert context.use.exceeds_share(now)
        now += timedelta(milliseconds=100)
        assert not context.use.exceeds_share(now)


@then("after any use it may use its share again within 1 s")
def check_forgotten(context: Context) -> None:
    now = timedelta(seconds=200)
    context.use.record(timedelta(seconds=5), now)
    assert context.use.exceeds_share(now)
    assert not context.use.exceeds_share(now + timedelta(seconds=1))


def _call(address: tuple[str, int], size: int) -> bytes:
    with create_connection(address, timeout=5) as caller:
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
        caller.sendall(head.encode() + b"x" * size)
        return caller.recv(1000)


def _serve_calls(context: Context, work: Any) -> None:
    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, {}, b"ok" if request.path == "/" else b"x" * _MEGABYTE)

    async def main() -> None:
        server = HttpServer(
            handle,
            encode_control_failure,
            SystemClock(),
            context.limits,
            held=context.held,
        )
        address = Address("127.0.0.1", free_ports(1)[0])
        task = await spawn(server.run, server.listen(address))
        await sleep_task(0.05)
        context.answers = await run_in_thread(work, (address.host, address.port))
        await task.cancel()

    run(main)
