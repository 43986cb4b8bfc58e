"""Steps for the placement by expected cost, in virtual time and without a network."""

from collections import Counter
from datetime import timedelta
from math import sqrt
from random import Random
from statistics import mean, stdev

from behave import given, then, when
from behave.runner import Context
from fakes.placement_run import Kind, Load, Run, SimulatedClock
from fakes.replica_script import make_notice

from lovagetray._gateway_settings import Placement
from lovagetray._routing_types import (
    OneService,
    ReplicaLoad,
    ReplicaReply,
    RetrySafety,
    Route,
    TrafficSplit,
    WeightedService,
)
from lovagetray.queries.load_balancing import (
    ExpectedCostPlacement,
    LoadBalancer,
    RetryBudget,
)
from lovagetray.state import ReplicaDirectory
from lovagetray.targets import Availability

_KINDS = (
    Kind("light", 0.8, 0.0138, target=0.1),
    Kind("usual", 0.15, 0.042, target=0.3),
    Kind("heavy", 0.05, 0.22, target=0.8, time_limit=8.0),
)
_ALIKE = (Kind("usual", 1.0, 0.0283, target=0.3),)
_SEEDS = range(1, 5)
# Difference in standard errors that chance gives in fewer than 1 of 100 scenarios: the
# one-sided quantile of Student's distribution with 3 degrees of freedom.
_NOISE_ERRORS = 4.54
_BASE = Load(_KINDS, rate=200, seconds=16, shards=3)
_CONDITIONS = {
    "replicas of 0.8, 1.0 and 1.3 of the speed": {},
    "a replica that turns 8 times slower for 6 s": {
        "rate": 150,
        "slow": (2, 8.0, 6.0, 12.0),
    },
    "pauses of 200 ms every 4.5 s": {"pause": (0.2, 4.5)},
    "pauses of 250 ms every 6 s": {"pause": (0.25, 6.0)},
    "78 instances that read the same load": {"instances": 78},
    "a burst of 1.7": {"rate": 140, "burst": 1.7},
    "a workspace whose requests cost 8 times as much": {
        "rate": 120,
        "unusual": {3: 8.0},
    },
    "estimates that are 10 times too high": {"distort": lambda random: 10.0},
    "estimates that are 10 times too low": {"distort": lambda random: 0.1},
    "estimates that are 10 times too high or too low": {
        "distort": lambda random: random.choice((0.1, 10.0))
    },
    "no load reports": {"reports": False},
    "costs that change by a factor of 3 in mid-run": {
        "rate": 150,
        "change": (9.0, {"light": 3.0, "heavy": 1 / 3}),
    },
    "a third of the rate": {"rate": 67},
    "requests of one kind only": {"kinds": _ALIKE},
}
_ROUTE = Route(
    "r",
    "h",
    "/",
    RetrySafety.IDEMPOTENT,
    timedelta(seconds=3),
    timedelta(milliseconds=800),
    1,
    3,
    OneService("s"),
)
_REPLY = ReplicaReply(200, (), b"", "", "stamp", False, False, None)


@given("heavy and light requests at 200 a second, with {condition}")
def set_load(context: Context, condition: str) -> None:
    context.load = replace_load(_BASE, **_CONDITIONS[condition])


@when("the load runs with both ways of placement")
def run_both(context: Context) -> None:
    context.runs = {
        placement: [
            Run(replace_load(context.load, seed=seed), placement).run()
            for seed in _SEEDS
        ]
        for placement in Placement
    }


@then("callers wait no longer than with the choice by latency, but for the noise")
def check_no_worse(context: Context) -> None:
    present, expected = _stretches(context)
    differences = [new - old for new, old in zip(expected, present)]
    noise = _NOISE_ERRORS * stdev(differences) / sqrt(len(differences))
    assert mean(differences) <= noise, (present, expected)


@then("callers wait less than with the choice by latency")
def check_better(context: Context) -> None:
    present, expected = _stretches(context)
    assert mean(expected) < mean(present), (present, expected)


@then("no more sub-requests are sent")
def check_sent(context: Context) -> None:
    sent = [
        sum(run.sub_requests for run in context.runs[placement])
        for placement in (Placement.LATENCY, Placement.EXPECTED_COST)
    ]
    assert sent[1] <= sent[0], sent


@given("two replicas, the first with 3 heavy requests and the second with 3 light ones")
def create_two(context: Context) -> None:
    _create(context, replicas=2)
    balancer = context.balancers[0]
    for replica, seconds in (("p1", 0.2), ("p2", 0.01)):
        for number in range(3):
            (work,) = balancer.expect(_ROUTE, ["s"], None)
            work = work._replace(cost=seconds, overdue_after=1.0)
            now = context.clock.monotonic_time()
            balancer.record_sent(replica, number, now, work)


@given("two replicas, the first of another data centre")
def create_remote(context: Context) -> None:
    _create(context, replicas=2)
    remote = make_notice("p1", sequence=2)._replace(data_centre="elsewhere")
    context.directory.accept(remote, context.clock.monotonic_time())


@then("50 light requests all avoid the first")
def check_heavy_avoided(context: Context) -> None:
    balancer = context.balancers[0]
    (work,) = balancer.expect(_ROUTE, ["s"], None)
    work = work._replace(cost=0.01)
    assert {_choose(balancer, work) for _ in range(50)} == {"p2"}


@given(
    "{count:d} instances that have read the same report {age:d} ms ago, "
    "of one idle replica of 3"
)
def create_many(context: Context, count: int, age: int) -> None:
    _create(context, replicas=3, instances=count)
    for balancer in context.balancers:
        for replica, running in (("p1", 0), ("p2", 2), ("p3", 2)):
            _respond(context, balancer, replica, 0.02, ReplicaLoad(running, 0, 4))
    context.clock.seconds += age / 1000


@when("each of them places one request")
def place_each(context: Context) -> None:
    context.counts = Counter()
    for balancer in context.balancers:
        (work,) = balancer.expect(_ROUTE, ["s"], None)
        context.counts[_choose(balancer, work)] += 1


@then("each replica gets some of the requests")
def check_spread(context: Context) -> None:
    assert len(context.counts) == 3, context.counts


@given("a route that has learned from {count:d} responses of {milliseconds:d} ms")
def learn(context: Context, count: int, milliseconds: int) -> None:
    _create(context)
    for _ in range(count):
        _respond(context, context.balancers[0], "p1", milliseconds / 1000)
    context.before = _cost(context)


@given(
    "a route that has learned from {count:d} responses with a mean of {usual:d} ms, a "
    "tail of 1% at 5 times that and pauses of {pause:d} ms every {interval:d} s"
)
def learn_with_pauses(
    context: Context, count: int, usual: int, pause: int, interval: int
) -> None:
    _create(context)
    random = Random(1)
    for _ in range(count):
        seconds = usual / 1000 * (5 if random.random() < 0.01 else 1)
        offset = random.random() * interval
        if offset < pause / 1000:
            seconds += pause / 1000 - offset
        _respond(context, context.balancers[0], "p1", seconds)


@given(
    "a route that has learned from {count:d} responses, a third of them of a workspace "
    "whose requests take {factor:d} times as long as {milliseconds:d} ms"
)
def learn_unusual(context: Context, count: int, factor: int, milliseconds: int) -> None:
    _create(context)
    for number in range(count):
        unusual = number % 3 == 0
        seconds = milliseconds / 1000 * (factor if unusual else 1)
        workspace = "unusual" if unusual else f"w{number % 7}"
        replica = f"p{Random(number).randrange(3) + 1}"
        _respond(context, context.balancers[0], replica, seconds, None, workspace)


@when("it has learned from {count:d} responses of {milliseconds:d} ms")
def learn_more(context: Context, count: int, milliseconds: int) -> None:
    for _ in range(count):
        _respond(context, context.balancers[0], "p1", milliseconds / 1000)


@then("the longest latency expected is {milliseconds:d} ms")
def check_longest(context: Context, milliseconds: int) -> None:
    longest = context.balancers[0].longest_latency(_ROUTE, ["s"], None)
    assert longest == timedelta(milliseconds=milliseconds), longest


@when("{count:d} requests fail after {milliseconds:d} ms")
def fail_many(context: Context, count: int, milliseconds: int) -> None:
    failure = _REPLY._replace(status=503, not_run=True)
    for _ in range(count):
        _respond(
            context, context.balancers[0], "p1", milliseconds / 1000, reply=failure
        )


@when("a new document has the same route")
def renew_route(context: Context) -> None:
    context.route = _ROUTE._replace(destination=OneService("s"))


@when("a new document sends the route to another service")
def move_route(context: Context) -> None:
    context.route = _ROUTE._replace(destination=OneService("t"))


@when("a new document splits the route between its service and another one")
def split_route(context: Context) -> None:
    parts = WeightedService("s", 9.0), WeightedService("t", 1.0)
    context.route = _ROUTE._replace(destination=TrafficSplit(parts))


@then("its expected cost is within a quarter of {milliseconds:d} ms")
def check_cost(context: Context, milliseconds: int) -> None:
    assert abs(_cost(context) * 1000 - milliseconds) <= milliseconds / 4, _cost(context)


@then("its expected cost is {milliseconds:d} ms as before")
def check_same_cost(context: Context, milliseconds: int) -> None:
    assert _cost(context) == context.before, (_cost(context), context.before)
    check_cost(context, milliseconds)


@then("its expected cost is that of a new route")
def check_new_cost(context: Context) -> None:
    moved = context.balancers[0].expect(context.route, ["t"], None)[0].usual
    _create(context)
    assert moved == context.balancers[0].expect(_ROUTE, ["s"], None)[0].usual


@then("the expected cost of another workspace is within a quarter of {usual:d} ms")
def check_other_workspace(context: Context, usual: int) -> None:
    context.other = _cost(context, "w1")
    assert abs(context.other * 1000 - usual) <= usual / 4, context.other


@then("that of the unusual workspace is at least {factor:d} times as high")
def check_unusual(context: Context, factor: int) -> None:
    unusual = _cost(context, "unusual")
    assert unusual >= factor * context.other, (unusual, context.other)


@then("a request of the unusual workspace is hedged later than another one")
def check_hedges(context: Context) -> None:
    balancer = context.balancers[0]
    unusual, other = (
        balancer.hedge_delay(_ROUTE, None, balancer.expect(_ROUTE, ["s"], workspace))
        for workspace in ("unusual", "w1")
    )
    assert unusual > 2 * other, (unusual, other)


def replace_load(load: Load, **changes: object) -> Load:
    """Return a load with some properties changed."""
    return Load(**{**vars(load), **changes})  # type: ignore


def mean_stretch(run: Run) -> float:
    """Return the mean of latency by mean time of the kind; late ones count in full."""
    return mean(
        min(request.latency or kind.time_limit, kind.time_limit) / kind.mean
        for request in run.done
        for kind in (request.kind,)
        if request.at >= 1005
    )


def _stretches(context: Context) -> tuple[list[float], list[float]]:
    present, expected = (
        [mean_stretch(run) for run in context.runs[placement]]
        for placement in (Placement.LATENCY, Placement.EXPECTED_COST)
    )
    return present, expected


def _create(context: Context, replicas: int = 3, instances: int = 1) -> None:
    context.clock = SimulatedClock()
    context.route = _ROUTE
    hour = timedelta(hours=1)
    directory = context.directory = ReplicaDirectory(hour, hour)
    for number in range(1, replicas + 1):
        directory.accept(make_notice(f"p{number}"), context.clock.monotonic_time())
    budget = RetryBudget(0.2, 10, timedelta(seconds=10), context.clock, lambda: 1)
    context.balancers = [
        LoadBalancer(
            directory,
            budget,
            context.clock,
            Random(number),
            "here",
            placement=Placement.EXPECTED_COST,
        )
        for number in range(instances)
    ]


def _respond(
    context: Context,
    balancer: LoadBalancer,
    replica: str,
    seconds: float,
    load: ReplicaLoad | None = None,
    workspace: str | None = None,
    reply: ReplicaReply = _REPLY,
) -> None:
    """Let a replica respond to one request."""
    (work,) = balancer.expect(_ROUTE, ["s"], workspace)
    balancer.record_sent(replica, "token", context.clock.monotonic_time(), work)
    context.clock.seconds += seconds
    now = context.clock.monotonic_time()
    sent = balancer.sent_work(replica, "token")
    latency = balancer.record_ended(replica, "token", now)
    balancer.record_reply(
        _ROUTE, replica, reply._replace(load=load), latency, now, sent
    )
    if len(context.balancers) > 1:
        # The instances read their reports at the same time.
        context.clock.seconds -= seconds


def _cost(context: Context, workspace: str | None = None) -> float:
    match context.balancers[0].mode:
        case ExpectedCostPlacement(costs=costs):
            return costs.expect(context.route, ["s"], workspace)[0].cost
    raise AssertionError


def _choose(balancer: LoadBalancer, work: object) -> str:
    notice = balancer.choose(
        _ROUTE, "s", (), lambda candidate, now: Availability.IDLE, work
    )
    assert notice is not None
    return str(notice.replica)
