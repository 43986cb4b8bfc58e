"""Replicas and callers in virtual time, to compare ways of placing requests.

Each instance has its own load balancer. A replica runs as many requests as it has slots
and queues the others; it does not run one whose caller has stopped waiting.
"""

from bisect import bisect
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random
from typing import Any, NamedTuple

from fakes.replica_script import make_notice

from lovagetray._gateway_settings import Placement
from lovagetray._routing_errors import RequestNotRun
from lovagetray._routing_types import (
    CallerLimits,
    CallerRequest,
    GatherShards,
    OneService,
    ReplicaLoad,
    ReplicaNotice,
    ReplicaReply,
    RetrySafety,
    Route,
    RoutingDocument,
    Workspace,
)
from lovagetray.queries.admission import Admission
from lovagetray.queries.load_balancing import (
    CostEstimator,
    ExpectedCostPlacement,
    ExpectedWork,
    LoadBalancer,
    RetryBudget,
    SentWork,
    blend,
)
from lovagetray.state import ReplicaDirectory, build_table
from lovagetray.targets import Availability

_ONE_HOUR = timedelta(hours=1)
_TAIL_SHARE, _TAIL_FACTOR = 0.01, 5.0
_LINK_SECONDS = 0.0005


class Kind(NamedTuple):
    """A kind of request: share, mean time in seconds at speed 1, and limits."""

    name: str
    share: float
    mean: float
    target: float = 0.3
    time_limit: float = 3.0
    priority: int = 1


@dataclass
class Load:
    """What callers and replicas do in a run.

    Parameters
    ----------
    rate
        Requests per second at all instances together.
    burst
        Factor on the rate in the middle third of the run.
    speeds
        Speeds of the replicas of each shard.
    slow
        Replica of each shard that is slower, by which factor, from and until when.
    pause
        Duration and interval of the pauses of each replica, in seconds.
    priorities
        Priorities of workspaces, in place of those of the kinds.
    reports
        Whether replicas report their load.
    distort
        Returns the factor by which an estimate is wrong.
    change
        When the mean times of kinds change, and by which factors.
    """

    kinds: tuple[Kind, ...]
    rate: float = 60.0
    burst: float = 1.0
    seconds: float = 20.0
    shards: int = 6
    instances: int = 6
    speeds: tuple[float, ...] = (0.8, 1.0, 1.3)
    slots: int = 4
    slow: tuple[int, float, float, float] | None = None
    pause: tuple[float, float] | None = None
    workspaces: int = 79
    hot: tuple[int, float] | None = None
    unusual: dict[int, float] = field(default_factory=dict)
    priorities: dict[int, int] = field(default_factory=dict)
    reports: bool = True
    distort: Callable[[Random], float] | None = None
    change: tuple[float, dict[str, float]] | None = None
    seed: int = 1


class SimulatedClock:
    """A clock whose time is set by the run."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def monotonic_time(self) -> timedelta:
        return timedelta(seconds=self.seconds)


class Request:
    """A request of a caller, at one instance."""

    def __init__(self, at: float, kind: Kind, workspace: int, instance: int) -> None:
        self.at = at
        self.kind = kind
        self.workspace = workspace
        self.instance = instance
        self.deadline = at + kind.time_limit
        self.missing: set[int] = set()
        self.tried: dict[int, list[str]] = {}
        self.latency: float | None = None
        self.refused_at: float | None = None


class Attempt(NamedTuple):
    """An exchange with a replica."""

    number: int
    request: Request
    shard: int
    notice: ReplicaNotice
    sent_at: float


class SimulatedReplica:
    """A replica with slots, a queue, a speed and pauses."""

    def __init__(self, load: Load, index: int, phase: float) -> None:
        self._load = load
        self._index = index
        self._phase = phase
        self.running = 0
        self.queue: deque[tuple[Attempt, float]] = deque()
        self.peak = 0

    def end_of(self, cost: float, now: float) -> float:
        """Return when work that starts now ends."""
        speed = self._load.speeds[self._index]
        match self._load.slow:
            case (index, factor, start, end) if index == self._index:
                if start <= now - 1000 < end:
                    speed /= factor
        left, time = cost / speed, now
        if self._load.pause is None:
            return time + left
        pause, interval = self._load.pause
        while True:
            offset = (time + self._phase) % interval
            if offset < pause:
                time += pause - offset
                offset = pause
            if left <= interval - offset:
                return time + left
            left -= interval - offset
            time += interval - offset


class Run:
    """One run of a load with one way of placing requests."""

    def __init__(
        self, load: Load, placement: Placement, admission: bool = False
    ) -> None:
        self.load = load
        self.clock = SimulatedClock()
        self.done: list[Request] = []
        self.refusals: list[tuple[float, float]] = []
        self.sub_requests = 0
        self.hedges = 0
        self._random = Random(load.seed)
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._sent: dict[int, SentWork | None] = {}
        self._expected: dict[Request, list[ExpectedWork | None]] = {}
        services = tuple(f"s{shard}" for shard in range(load.shards))
        self._services = services
        destination = (
            OneService(services[0])
            if load.shards == 1
            else GatherShards(services, 10, 1.0)
        )
        self.routes = {
            kind.name: Route(
                kind.name,
                "h",
                f"/{kind.name}",
                RetrySafety.IDEMPOTENT,
                timedelta(seconds=kind.time_limit),
                timedelta(seconds=kind.target),
                kind.priority,
                3,
                destination,
            )
            for kind in load.kinds
        }
        self.replicas: dict[str, SimulatedReplica] = {}
        directory = ReplicaDirectory(_ONE_HOUR, _ONE_HOUR)
        for service in services:
            for index in range(len(load.speeds)):
                name = f"{service}-{index}"
                notice = make_notice(name, service)._replace(slots=load.slots)
                directory.accept(notice, self.clock.monotonic_time())
                phase = self._random.uniform(0, 6)
                self.replicas[name] = SimulatedReplica(load, index, phase)
        self.balancers = [
            LoadBalancer(
                directory,
                RetryBudget(
                    0.2, 60, timedelta(seconds=10), self.clock, lambda: load.instances
                ),
                self.clock,
                Random(load.seed * 1000 + number),
                "here",
                placement=placement,
            )
            for number in range(load.instances)
        ]
        for balancer in self.balancers:
            match balancer.mode:
                case ExpectedCostPlacement(costs=costs) if load.distort:
                    _distort(costs, load.distort, self._random)
        self._admit = [
            _admit_by(balancer, self.clock, load) if admission else None
            for balancer in self.balancers
        ]

    def run(self) -> "Run":
        """Run until all callers have got what they get."""
        for request in self._arrivals():
            self._at(request.at, self._arrive, request)
        while self._events:
            self.clock.seconds, _, action, argument = heappop(self._events)
            action(argument)
        return self

    def latencies(self, kind: str = "", after: float = 5.0) -> list[float]:
        """Return the sorted latencies; infinite for requests without an answer."""
        return sorted(
            float("inf") if request.latency is None else request.latency
            for request in self.done
            if request.kind.name in (kind or request.kind.name)
            and request.at >= 1000 + after
        )

    def _arrivals(self) -> Iterator[Request]:
        load, random = self.load, Random(self.load.seed + 7)
        weights = [1 / rank**1.2 for rank in range(1, load.workspaces + 1)]
        if load.hot is not None:
            weights[load.hot[0]] *= load.hot[1]
        total = list(accumulate(weights))
        kinds = [kind.share for kind in load.kinds]
        at = 0.0
        while at < load.seconds:
            burst = load.seconds / 3 <= at < load.seconds * 2 / 3
            at += random.expovariate(load.rate * (load.burst if burst else 1.0))
            workspace = bisect(total, random.random() * total[-1])
            kind = random.choices(load.kinds, kinds)[0]
            yield Request(1000 + at, kind, workspace, random.randrange(load.instances))

    def _at(self, time: float, action: Callable[..., None], argument: Any) -> None:
        heappush(self._events, (time, next(self._numbers), action, argument))

    def _arrive(self, request: Request) -> None:
        balancer = self.balancers[request.instance]
        route = self.routes[request.kind.name]
        admit = self._admit[request.instance]
        if admit is not None:
            refusal = admit(_caller_request(request, self.clock.seconds), route)
            if refusal is not None:
                self._refuse(request, refusal.retry_after.total_seconds())
                return
        self.done.append(request)
        expected = list(balancer.expect(route, self._services, f"w{request.workspace}"))
        self._expected[request] = expected
        balancer.budget.record_requests(self._services)
        for shard in range(self.load.shards):
            request.missing.add(shard)
            self._send(request, shard)
        delay = balancer.hedge_delay(route, None, expected)
        self._at(self.clock.seconds + delay.total_seconds(), self._hedge, request)

    def _refuse(self, request: Request, retry_after: float) -> None:
        """Let the caller return after the stated time, if it then still has time."""
        self.refusals.append((self.clock.seconds, retry_after))
        back_at = self.clock.seconds + retry_after
        if back_at + request.kind.mean < request.deadline:
            self._at(back_at, self._arrive, request)
        else:
            request.refused_at = self.clock.seconds
            self.done.append(request)

    def _hedge(self, request: Request) -> None:
        for shard in sorted(request.missing):
            self._send(request, shard, hedge=True)

    def _send(self, request: Request, shard: int, hedge: bool = False) -> None:
        balancer = self.balancers[request.instance]
        service = self._services[shard]
        expected = self._expected[request][shard]
        tried = request.tried.setdefault(shard, [])
        notice = balancer.choose(
            self.routes[request.kind.name],
            service,
            tried,
            lambda notice, now: Availability.IDLE,
            expected,
        )
        if notice is None or (hedge and not balancer.budget.spend(service, True)):
            return
        self.hedges += hedge
        self.sub_requests += 1
        tried.append(notice.replica)
        attempt = Attempt(
            next(self._numbers), request, shard, notice, self.clock.seconds
        )
        now = self.clock.monotonic_time()
        balancer.record_sent(notice.replica, attempt.number, now, expected)
        self._at(self.clock.seconds + _LINK_SECONDS, self._reach, attempt)

    def _reach(self, attempt: Attempt) -> None:
        replica = self.replicas[attempt.notice.replica]
        mean = attempt.request.kind.mean
        mean *= self.load.unusual.get(attempt.request.workspace, 1.0)
        if self.load.change and self.clock.seconds - 1000 >= self.load.change[0]:
            mean *= self.load.change[1].get(attempt.request.kind.name, 1.0)
        cost = mean / (1 + _TAIL_SHARE * (_TAIL_FACTOR - 1))
        if self._random.random() < _TAIL_SHARE:
            cost *= _TAIL_FACTOR
        replica.queue.append((attempt, cost * self._random.uniform(0.6, 1.4)))
        self._start(replica)
        replica.peak = max(replica.peak, replica.running + len(replica.queue))

    def _start(self, replica: SimulatedReplica) -> None:
        while replica.queue and replica.running < self.load.slots:
            attempt, cost = replica.queue.popleft()
            if self.clock.seconds > attempt.request.deadline:
                self._at(self.clock.seconds, self._expire, attempt)
                continue
            replica.running += 1
            self._at(replica.end_of(cost, self.clock.seconds), self._end, attempt)

    def _end(self, attempt: Attempt) -> None:
        replica = self.replicas[attempt.notice.replica]
        load = ReplicaLoad(replica.running, len(replica.queue), self.load.slots)
        replica.running -= 1
        self._start(replica)
        reply = ReplicaReply(200, (), b"", "", "stamp", False, False, load)
        if not self.load.reports:
            reply = reply._replace(load=None)
        self._at(self.clock.seconds + _LINK_SECONDS, self._answer, (attempt, reply))

    def _expire(self, attempt: Attempt) -> None:
        balancer = self.balancers[attempt.request.instance]
        now = self.clock.monotonic_time()
        balancer.record_ended(attempt.notice.replica, attempt.number, now)

    def _answer(self, answer: tuple[Attempt, ReplicaReply]) -> None:
        attempt, reply = answer
        request, replica = attempt.request, attempt.notice.replica
        balancer, now = self.balancers[request.instance], self.clock.monotonic_time()
        sent = balancer.sent_work(replica, attempt.number)
        latency = balancer.record_ended(replica, attempt.number, now)
        route = self.routes[request.kind.name]
        balancer.record_reply(route, replica, reply, latency, now, sent)
        if attempt.shard in request.missing:
            request.missing.discard(attempt.shard)
            if not request.missing and self.clock.seconds <= request.deadline:
                request.latency = self.clock.seconds - request.at


def _admit_by(
    balancer: LoadBalancer, clock: Any, load: Load
) -> Callable[[CallerRequest, Route], RequestNotRun | None]:
    """Return the admission decision of one instance."""
    admission = Admission(balancer, clock, Random(load.seed))
    workspaces = tuple(
        Workspace(f"w{number}", (), priority=priority)
        for number, priority in load.priorities.items()
    )
    table = build_table(RoutingDocument(1, (), (), CallerLimits(), b"", workspaces))
    return lambda request, route: admission.refusal(request, route, table)


def _caller_request(request: Request, now: float) -> CallerRequest:
    left = timedelta(seconds=request.deadline - now)
    workspace = f"w{request.workspace}"
    return CallerRequest("", b"GET", b"/", "h", (), b"", left, workspace=workspace)


def _distort(
    costs: CostEstimator, wrong_by: Callable[[Random], float], random: Random
) -> None:
    """Make the estimates wrong, by one factor for all services of a request."""
    expect = costs.expect

    def distorted(*arguments: Any) -> list[ExpectedWork]:
        factor = wrong_by(random)
        works = []
        for work in expect(*arguments):
            model = work.model * factor
            cost = blend(model, work.usual, costs.reliance)
            overdue_after = work.overdue_after * cost / work.cost
            works.append(
                work._replace(model=model, cost=cost, overdue_after=overdue_after)
            )
        return works

    costs.expect = distorted  # type: ignore
