"""Steps for evacuated data centres."""

from bisect import bisect_left
from concurrent.futures import ThreadPoolExecutor
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random
from shutil import rmtree
from subprocess import run as run_process
from sys import executable
from time import monotonic, sleep as wait
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import TaskGroup, ignore_after, run, sleep
from curio.socket import AF_INET, SOCK_STREAM, socket
from expression import Error, Ok
from fakes.recording_waiter import RecordingWaiter
from fakes.replica_script import (
    ScriptedBehaviour,
    make_caller_request,
    make_dispatch_harness,
    make_notice,
)
from fakes.single_log import SingleLog
from fakes.virtual_time import run_in_virtual_time

from lovagetray import Address, SystemClock
from lovagetray._errors import QuorumLost
from lovagetray._routing_types import OneService, RetrySafety, Route
from lovagetray._violations import Violations
from lovagetray.commands.evacuation import order_evacuation
from lovagetray.commands.forwarding import forward
from lovagetray.platform._control_handler import ControlHandler
from lovagetray.platform._replica_codec import decode_reply
from lovagetray.platform._routing_document import decode_document
from lovagetray.replicated_log import (
    NamespaceProposer,
    ReplicatedState,
    StateNamespace,
)
from lovagetray.state import (
    EndEvacuation,
    Evacuations,
    Ledger,
    RoutingState,
    SettingsState,
    StartEvacuation,
)
from lovagetray.targets import ConnectionLimits, ConnectionPool, Exchange
from lovagetray.wire import HttpRequest, encode_evacuation_order

_REPOSITORY = Path(__file__).parent.parent.parent
_HOUR = timedelta(hours=1)
_DOCUMENT = b'{"Version": 7, "Routes": [], "Services": []}'
_OLD_PROGRAM = """
from datetime import timedelta
from sys import stdin, stdout
from structlog import configure, make_filtering_bound_logger
from lovagetray._violations import Violations
from lovagetray.platform._routing_document import decode_document
from lovagetray.replicated_log import ReplicatedState
from lovagetray.state import Ledger, RoutingState, SettingsState
configure(wrapper_class=make_filtering_bound_logger(50))
faults = Violations()
routing = RoutingState(decode_document)
ledger = Ledger(faults, timedelta(hours=1))
state = ReplicatedState(SettingsState(faults), ledger, routing)
state.restore(stdin.buffer.read())
stdout.buffer.write(b"%d:" % routing.version + state.snapshot())
"""


class _Instance:
    """The replicated state of one instance."""

    def __init__(self) -> None:
        faults = Violations()
        self.evacuations = Evacuations()
        self.routing = RoutingState(decode_document)
        ledger = Ledger(faults, _HOUR)
        self.state = ReplicatedState(
            SettingsState(faults), ledger, self.routing, self.evacuations
        )


class _Operator:
    """Control handler of instances that share one log."""

    def __init__(self, log: Any = None) -> None:
        self.instances = [_Instance() for _ in range(3)]
        self.applied: list[bytes] = []
        proposer = NamespaceProposer(
            log or SingleLog(self._apply), StateNamespace.EVACUATIONS
        )
        gateway = SimpleNamespace(
            order_evacuation=lambda order: order_evacuation(
                order, proposer, SystemClock()
            )
        )
        self._handler = ControlHandler(gateway)  # type: ignore

    def _apply(self, index: int, at: datetime, body: bytes) -> bytes:
        self.applied.append(body)
        outcomes = {
            instance.state.apply(index, at, body) for instance in self.instances
        }
        assert len(outcomes) == 1
        return outcomes.pop()

    async def order(self, name: str, action: str = "start") -> int:
        path = f"/-/evacuation/{name}/{action}"
        request = HttpRequest("POST", path, {}, {}, b"", "127.0.0.1")
        return (await self._handler.handle(request)).status


@when("start, start, end, end and start are ordered for a data centre, then 40 at once")
def order_in_turn(context: Context) -> None:
    operator = context.operator = _Operator()
    evacuations = operator.instances[0].evacuations

    async def main() -> None:
        for action in ("start", "start", "end", "end", "start"):
            context.statuses.append(await operator.order("z", action))
            assert ("z" in evacuations.names) is (action == "start")
        async with TaskGroup() as group:
            for number in range(40):
                await group.spawn(
                    operator.order, "z", Random(number).choice(("start", "end"))
                )
        context.statuses += group.results

    context.statuses = []
    run(main)


@then("each is acknowledged and all instances agree with the last one applied")
def check_agreement(context: Context) -> None:
    assert context.statuses == [200] * 45, context.statuses
    last = context.operator.applied[-1]
    is_started = last.endswith(encode_evacuation_order(StartEvacuation("z")))
    for instance in context.operator.instances:
        assert ("z" in instance.evacuations.names) is is_started


@when("{count:d} data centres are evacuated")
def evacuate_many(context: Context, count: int) -> None:
    context.operator = _Operator()
    for number in range(count):
        assert run(context.operator.order, f"z{number}") == 200


@then("one more is refused with 400, and one of the 1000 is accepted again")
def check_most(context: Context) -> None:
    assert run(context.operator.order, "more") == 400
    assert run(context.operator.order, "z7") == 200
    assert len(context.operator.instances[0].evacuations.names) == 1000


@when('an evacuation of "{name}" is ordered, {times:d} times the name')
def order_by_name(context: Context, name: str, times: int) -> None:
    context.status = run(_Operator().order, name * times)


@then("the response has status {status:d}")
def check_status(context: Context, status: int) -> None:
    assert context.status == status, context.status


@when("the replicated log does not confirm an order, and a leader ignores one")
def fail_orders(context: Context) -> None:
    context.statuses = []
    for outcome in (Error(QuorumLost()), Ok(b"")):

        async def propose(_: object, outcome: Any = outcome) -> Any:
            return outcome

        operator = _Operator(SimpleNamespace(propose=propose))
        context.statuses.append(run(operator.order, "z"))


@then("both are answered with 503")
def check_unconfirmed(context: Context) -> None:
    assert context.statuses == [503, 503], context.statuses


@given("a state with a routing document and two evacuated data centres")
def create_state(context: Context) -> None:
    instance = context.instance = _Instance()
    orders = [StartEvacuation("a"), StartEvacuation("b"), EndEvacuation("c")]
    bodies = [b"R" + _DOCUMENT]
    bodies += [b"E" + encode_evacuation_order(order) for order in orders]
    for index, body in enumerate(bodies, 1):
        instance.state.apply(index, datetime.now(UTC), body)


@then("its snapshot restores both, and a later one without evacuations ends them")
def check_restored(context: Context) -> None:
    other = _Instance()
    other.state.restore(context.instance.state.snapshot())
    assert other.evacuations.names == {"a", "b"} and other.routing.version == 7
    other.state.restore(_Instance().state.snapshot())
    assert not other.evacuations.names


@then("version {version} restores the routing document from it")
def check_old_version(context: Context, version: str) -> None:
    sources = context.folder / "old"
    sources.mkdir()
    command = ["git", "archive", version, "src"]
    archive = run_process(command, cwd=_REPOSITORY, capture_output=True, check=True)
    run_process(["tar", "-x", "-C", sources], input=archive.stdout, check=True)
    output = run_process(
        [executable, "-c", _OLD_PROGRAM],
        input=context.instance.state.snapshot(),
        capture_output=True,
        check=True,
        env={"PYTHONPATH": str(sources / "src")},
    ).stdout
    routing_version, _, context.old_snapshot = output.partition(b":")
    assert routing_version == b"7", output[:100]


@then("the snapshot of version {version} restores the document and no evacuations")
def check_old_snapshot(context: Context, version: str) -> None:
    context.instance.state.restore(context.old_snapshot)
    assert context.instance.routing.version == 7
    assert not context.instance.evacuations.names


@given(
    "a service with {here:d} replicas here and {there:d} in an evacuated data centre"
)
def create_service(context: Context, here: int, there: int) -> None:
    context.here, context.there = here, there


@when("20 requests are sent to replicas that {action}")
def send_requests(context: Context, action: str) -> None:
    kind, _, delay = action.partition(" in ")
    milliseconds = int(delay.split()[0]) if delay else 10
    behaviour = ScriptedBehaviour(kind, timedelta(milliseconds=milliseconds))
    route = Route(
        "r",
        "h",
        "/",
        RetrySafety.IDEMPOTENT,
        timedelta(seconds=2),
        timedelta(milliseconds=300),
        1,
        4,
        OneService("s"),
    )

    async def main() -> None:
        evacuations = Evacuations()
        evacuations.apply(StartEvacuation("gone"))
        harness = make_dispatch_harness({"s": context.here}, evacuations=evacuations)
        now = SystemClock().monotonic_time()
        for number in range(context.there):
            notice = make_notice(f"gone-{number}")._replace(data_centre="gone")
            harness.directory.accept(notice, now)
        pool = harness.connection_pool
        for notice in harness.directory.usable("s"):
            pool.behaviours[notice.replica] = behaviour
        for _ in range(20):
            started_at = SystemClock().monotonic_time()
            request = make_caller_request()
            result = await forward(harness.dependencies, request, route, "s")
            took = SystemClock().monotonic_time() - started_at
            context.outcomes.add("answered" if result.is_ok() else result.error.code)
            if not context.here:
                # A refusal comes within a quarter of the target latency.
                assert took <= route.target_latency / 4, took
        context.received = [replica for _, replica in pool.received_requests]

    context.outcomes = set()
    run_in_virtual_time(main)


@then("no replica there got a request, and the outcome is {outcome}")
def check_avoided(context: Context, outcome: str) -> None:
    assert context.outcomes == {outcome}, context.outcomes
    assert not [name for name in context.received if name.startswith("gone")]


@given("a replica with one connection, in use by a request of 600 ms, and 3 queued")
def describe_queue(context: Context) -> None:
    context.seconds = 0.6


@when("its data centre is evacuated")
def evacuate_with_queue(context: Context) -> None:
    async def main() -> None:
        listener = socket(AF_INET, SOCK_STREAM)
        listener.bind(("127.0.0.1", 0))
        listener.listen(4)
        harness = make_dispatch_harness({}, evacuations=(evacuations := Evacuations()))
        clock = SystemClock()
        notice = make_notice("r")._replace(address=Address(*listener.getsockname()))
        harness.directory.accept(notice, clock.monotonic_time())
        waiters = [RecordingWaiter() for _ in range(4)]
        async with TaskGroup(wait=None) as group:
            await group.spawn(_answer_slowly, listener, context.seconds)
            pool = ConnectionPool(
                clock,
                decode_reply,
                group,
                lambda _: ConnectionLimits(1, 1),
                harness.balancer.accepts,
            )
            await group.spawn(pool.run, lambda _: False)
            deadline = clock.monotonic_time() + timedelta(seconds=10)
            for waiter in waiters:
                payload = b"GET / HTTP/1.1\r\n\r\n"
                await pool.start(Exchange(notice, "r", payload, waiter, deadline))
            await sleep(0.1)
            evacuations.apply(StartEvacuation("here"))
            await sleep(0.4)
            context.early = [list(waiter.outcomes) for waiter in waiters]
            await ignore_after(5, waiters[0].done.wait())
            await sleep(0.1)
            context.late = [list(waiter.outcomes) for waiter in waiters]
        await listener.close()

    run(main)


@then("the 3 fail as not sent within 400 ms, and the first is answered")
def check_moved(context: Context) -> None:
    names = [[type(outcome).__name__ for outcome in part] for part in context.early]
    assert names == [[], ["NotSent"], ["NotSent"], ["NotSent"]], names
    names = [[type(outcome).__name__ for outcome in part] for part in context.late]
    assert names[0] == ["ReplicaReply"] and names[1:] == [["NotSent"]] * 3, names


async def _answer_slowly(listener: Any, seconds: float) -> None:
    client, _ = await listener.accept()
    async with client:
        while await client.recv(1000):
            await sleep(seconds)
            response = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 0\r\n"
            await client.sendall(response + b"Server-Stamp: s\r\n\r\n")


@when("the evacuation of {zone} is ordered")
def order_start(context: Context, zone: str) -> None:
    _order(context, zone, "start", 1)


@when("the end of the evacuation is ordered")
def order_end(context: Context) -> None:
    _order(context, "zone-2", "end", 2)


@then("after 5 s no request, and no connection, reaches a replica of {zone}")
def check_unconnected(context: Context, zone: str) -> None:
    check_silent(context, zone)
    assert _count(context, zone, "connections") == 0


@then("after 5 s no request, and no new connection, reaches a replica of {zone}")
def check_silent(context: Context, zone: str) -> None:
    wait(max(0.0, context.ordered_at + 5 - monotonic()))
    before = _arrived(context, zone)
    connections = _count(context, zone, "connections")
    _send_many(context)
    assert _arrived(context, zone) == before
    assert _count(context, zone, "connections") <= connections
    line = "lovagetray_evacuated_data_centres 1.0"
    assert all(line in context.fleet.metrics(number) for number in range(3))


@when("all gateways are killed and one loses its disk, and they start again")
def restart_without_disk(context: Context) -> None:
    fleet = context.fleet
    for number in range(3):
        fleet.kill(number)
    rmtree(context.folder / "entry-2")
    for number in range(3):
        fleet.start_gateway(number, disk=True, first_start=False)
    context.ordered_at = monotonic()
    fleet.wait_serving(4)


@then("replicas of {zone} get requests again")
def check_used_again(context: Context, zone: str) -> None:
    before = _arrived(context, zone)
    wait(max(0.0, context.ordered_at + 5 - monotonic()))
    _send_many(context)
    assert _arrived(context, zone) > before


@given(
    "a replica that bears 2 requests a second warms up for {seconds:d} s, "
    "and the others shed"
)
def warm_up(context: Context, seconds: int) -> None:
    fleet = context.fleet
    document = context.document | {"Version": 8}
    for service in document["Services"]:
        service["WarmupPerS"] = 2
    assert fleet.put_configuration(document).status == 200
    fleet.send_command(names=["archive-1"], warm_up_ms=seconds * 1000, tell="heartbeat")
    fleet.send_command(names=["archive-0", "archive-2"], mode="shed")
    line = "lovagetray_cold_replicas 1.0"
    fleet.wait_until(lambda: all(line in fleet.metrics(number) for number in range(3)))
    context.events_before = len(_events(context, "archive-1"))


@when("600 requests are sent to the service through all gateways in 10 s")
def send_to_service(context: Context) -> None:
    started_at = monotonic()
    with ThreadPoolExecutor(12) as pool:
        for number in range(600):
            wait(max(0.0, started_at + number / 60 - monotonic()))
            headers = {"Request-Id": f"c{number}"}
            pool.submit(context.fleet.get, "/archive/1", number % 3, **headers)


@then("it gets some of them, and at most {most:d} in any second")
def check_spared(context: Context, most: int) -> None:
    events = _events(context, "archive-1")[context.events_before :]
    arrived = [at for kind, _, at, _ in events if kind == "arrived"]
    assert len(arrived) > most, arrived
    counts = [bisect_left(arrived, at + 1) - index for index, at in enumerate(arrived)]
    assert max(counts) <= most, counts


def _order(context: Context, zone: str, action: str, number: int) -> None:
    fleet = context.fleet
    port = fleet.gateways[number].control_port
    path = f"/-/evacuation/{zone}/{action}"
    assert fleet.call(number, port, "POST", path).status == 200
    context.ordered_at = monotonic()


def _send_many(context: Context) -> None:
    for number in range(30):
        headers = {"Request-Id": f"q{monotonic()}", "Deadline": "2000"}
        answer = context.fleet.get("/all/q", number % 3, **headers)
        assert answer.status == 200 and answer.headers["missing-parts"] == "0", answer
        answer = context.fleet.get("/archive/1", number % 3, **headers)
        assert answer.status == 200, answer


def _events(context: Context, name: str) -> Any:
    return context.fleet.send_command(names=[name])["replicas"][name]["events"]


def _arrived(context: Context, zone: str) -> int:
    return _count(context, zone, "arrived")


def _count(context: Context, zone: str, field: str) -> int:
    """Return the sum over the replicas of a zone, of which each service has one."""
    replicas = context.fleet.send_command()["replicas"]
    number = int(zone.removeprefix("zone-")) - 1
    values = [
        replica[field]
        for name, replica in replicas.items()
        if name.endswith(f"-{number}")
    ]
    return sum(len(value) if isinstance(value, list) else value for value in values)
