"""Fake connection pool with scripted replicas, in virtual time."""

from collections.abc import Callable
from datetime import timedelta
from random import Random
from re import fullmatch
from typing import Any, NamedTuple

from curio import spawn

from lovagetray import Address, SystemClock
from lovagetray._routing_types import (
    CallerRequest,
    ReplicaLoad,
    ReplicaNotice,
    ReplicaReply,
    ReplicaRun,
    ReplicaState,
)
from lovagetray._target_errors import ConnectFailed, ConnectionLost, ResponseNotHeld
from lovagetray.queries.dispatch import DispatchDependencies, RequestEncoder
from lovagetray.queries.load_balancing import LoadBalancer, RetryBudget
from lovagetray.state import AnswerLimit, Evacuations, ReplicaDirectory
from lovagetray.targets import Availability, Exchange

_LIFETIME = timedelta(hours=1)


class ScriptedBehaviour(NamedTuple):
    """Behaviour of a replica towards the requests that it gets from now on.

    Parameters
    ----------
    action
        answer, fail, shed, reset, refuse or silence; or "an encoding" or "no
        identifier", which is what is wrong with its answers.
    leaving, refuses_for
        What the replica states in its replies.
    delay
        Time from a request to its outcome.
    body
        Body of an answer; if empty, it is made from the name of the replica.
    status
        Status of the reply for the action fail.
    """

    action: str = "answer"
    delay: timedelta = timedelta(milliseconds=10)
    body: bytes = b""
    status: int = 500
    leaving: bool = False
    refuses_for: timedelta | None = None


class ScriptedConnectionPool:
    """Connection pool whose replicas follow their `behaviours`; the default answers."""

    def __init__(self) -> None:
        self.behaviours: dict[str, ScriptedBehaviour] = {}
        self.received_requests: list[tuple[str, str]] = []
        self.payloads: list[bytes] = []
        self.abandoned: list[Exchange] = []

    async def start(self, exchange: Exchange) -> bool:
        exchange.sent_at = SystemClock().monotonic_time()
        self.payloads.append(exchange.head + exchange.body)
        await spawn(self._run, exchange, daemon=True)
        return True

    def availability(self, notice: ReplicaNotice, now: timedelta) -> Availability:
        return Availability.IDLE

    async def abandon(self, exchanges: Any) -> None:
        self.abandoned += list(exchanges)

    async def _run(self, exchange: Exchange) -> None:
        replica = exchange.notice.replica
        behaviour = self.behaviours.get(replica, ScriptedBehaviour())
        if behaviour.action != "refuse":
            self.received_requests.append((exchange.notice.service, replica))
        if behaviour.action == "silence":
            return
        await SystemClock().sleep(behaviour.delay)
        match behaviour.action:
            case "answer":
                response_id = f"stamp-{replica}-{len(self.received_requests)}"
                body = behaviour.body or replica.encode().ljust(16, b".")[:16]
                outcome: Any = _reply(200, response_id, body, False)
            case "an encoding":
                outcome = _reply(200, f"stamp-{replica}", b"spoiled", False)
                outcome = outcome._replace(encoded=True)
            case "no identifier":
                outcome = _reply(200, "", b"spoiled", False)
            case "fail":
                outcome = _reply(behaviour.status, f"stamp-{replica}", b"broken", False)
            case "shed":
                outcome = _reply(503, "", b"", True)
            case "refuse":
                outcome = ConnectFailed(replica)
            case "no memory":
                outcome = ResponseNotHeld(replica)
            case _:
                outcome = ConnectionLost(replica)
        if isinstance(outcome, ReplicaReply):
            outcome = outcome._replace(
                leaving=behaviour.leaving, refuses_for=behaviour.refuses_for
            )
        await exchange.waiter.deliver(exchange, outcome)


class DispatchHarness(NamedTuple):
    """Dependencies of a dispatch to scripted replicas."""

    directory: ReplicaDirectory
    connection_pool: ScriptedConnectionPool
    dependencies: DispatchDependencies
    balancer: LoadBalancer


def make_dispatch_harness(
    services: dict[str, int],
    ratio: float = 1.0,
    fixed: int = 100,
    instances: Callable[[], int] = lambda: 1,
    evacuations: Evacuations | None = None,
) -> DispatchHarness:
    """Return a harness in which each service has a number of ready replicas.

    Parameters
    ----------
    services
        Number of replicas by service.
    ratio, fixed, instances
        Parameters of the retry budget.
    evacuations
        Data centres that get no requests.
    """
    clock = SystemClock()
    directory = ReplicaDirectory(_LIFETIME, _LIFETIME)
    for service, count in services.items():
        for number in range(1, count + 1):
            directory.accept(
                make_notice(f"{service}-{number}", service), clock.monotonic_time()
            )
    retry_budget = RetryBudget(ratio, fixed, timedelta(seconds=10), clock, instances)
    balancer = LoadBalancer(
        directory, retry_budget, clock, Random(1), "here", evacuations
    )
    connection_pool = ScriptedConnectionPool()
    encoder = RequestEncoder(
        lambda request: (request.target, request.body),
        lambda common, replica, time_left: (
            common[0] + b" " + replica.encode(),
            common[1],
        ),
    )

    async def report_leaving(notice: ReplicaNotice) -> None:
        directory.mark_leaving(ReplicaRun(notice.replica, notice.born))

    dependencies = DispatchDependencies(
        balancer,
        connection_pool,  # type: ignore
        encoder,
        clock,
        report_leaving,
        AnswerLimit(),
    )
    return DispatchHarness(directory, connection_pool, dependencies, balancer)


_PORTS: dict[str, int] = {}


def make_notice(
    replica: str,
    service: str = "s",
    state: ReplicaState = ReplicaState.READY,
    born: int = 1000,
    sequence: int = 1,
    port: int | None = None,
) -> ReplicaNotice:
    """Return a notice of a replica, by default with a port that no other name has."""
    address = Address("127.0.0.1", port or _PORTS.setdefault(replica, len(_PORTS) + 1))
    return ReplicaNotice(
        replica, service, address, "here", state, born, sequence, 4, timedelta(0)
    )


def parse_notice(text: str) -> ReplicaNotice:
    """Return the notice that a text such as "r1 ready born 10 sequence 5" describes."""
    match = fullmatch(r"(\w+) (\w+) born (\d+) sequence (\d+)(?: port (\d+))?", text)
    assert match is not None, text
    replica, state, born, sequence, port = match.groups()
    return make_notice(
        replica,
        state=ReplicaState(state),
        born=int(born),
        sequence=int(sequence),
        port=int(port) if port else None,
    )


def make_caller_request(
    time_left: timedelta | None = timedelta(seconds=2), body: bytes = b""
) -> CallerRequest:
    """Return a GET request of a caller."""
    return CallerRequest(
        "request-1", b"GET", b"/search/1?q=a", "host.example", (), body, time_left
    )


def _reply(status: int, response_id: str, body: bytes, not_run: bool) -> ReplicaReply:
    headers = ((b"Content-Type", b"text/plain"),)
    load = ReplicaLoad(1, 0, 4)
    return ReplicaReply(
        status, headers, body, "request-1", response_id, not_run, False, load
    )
