"""Steps for the choice of replicas and the retry budget."""

from collections import Counter
from datetime import timedelta
from heapq import heappop, heappush
from random import Random

from behave import given, then, when
from behave.runner import Context
from fakes.replica_script import make_notice

from lovagetray._routing_types import (
    OneService,
    ReplicaNotice,
    ReplicaReply,
    RetrySafety,
    Route,
)
from lovagetray.queries.load_balancing import (
    LoadBalancer,
    RetryBudget,
    connection_limits,
)
from lovagetray.state import ReplicaDirectory
from lovagetray.targets import Availability

_ONE_HOUR = timedelta(hours=1)
_TARGET_LATENCY = timedelta(milliseconds=100)
_ROUTE = Route(
    "r",
    "h",
    "/",
    RetrySafety.IDEMPOTENT,
    _ONE_HOUR,
    _TARGET_LATENCY,
    1,
    2,
    OneService("s"),
)
_BUDGET_WINDOW = timedelta(seconds=10)
_REPLY = ReplicaReply(200, (), b"", "", "stamp", False, False, None)


class ManualClock:
    """A clock whose time is set by the test."""

    def __init__(self) -> None:
        self.time = timedelta(seconds=1000)

    def monotonic_time(self) -> timedelta:
        return self.time


@given(
    "a route whose answers take {mean:d} ms in the mean "
    "and {upper:d} ms at the quantile"
)
def set_route_latency(context: Context, mean: int, upper: int) -> None:
    create_replicas(context, 10, 10, 10)
    stats = context.balancer.route_stats(_ROUTE)
    stats.mean, stats.upper_quantile = mean / 1000, upper / 1000


@then("a query whose answer is due in {due:d} ms is hedged after {delay:d} ms")
def check_hedge_delay(context: Context, due: int, delay: int) -> None:
    hedge_delay = context.balancer.hedge_delay(_ROUTE, timedelta(milliseconds=due))
    assert hedge_delay == timedelta(milliseconds=delay), hedge_delay


@given("replicas that answer in {first:d}, {second:d} and {third:d} ms")
def create_replicas(context: Context, first: int, second: int, third: int) -> None:
    context.clock = ManualClock()
    directory = context.directory = ReplicaDirectory(_ONE_HOUR, _ONE_HOUR)
    context.latency = {}
    for number, latency in enumerate((first, second, third), 1):
        directory.accept(make_notice(f"p{number}"), context.clock.monotonic_time())
        context.latency[f"p{number}"] = timedelta(milliseconds=latency)
    budget = RetryBudget(0.2, 10, _BUDGET_WINDOW, context.clock, lambda: 1)
    context.balancer = LoadBalancer(directory, budget, context.clock, Random(1), "here")
    context.full = set()


@given("only the first is in the local data centre")
def move_others(context: Context) -> None:
    for replica in ("p2", "p3"):
        remote_notice = make_notice(replica, sequence=2)._replace(
            data_centre="elsewhere"
        )
        context.directory.accept(remote_notice, context.clock.monotonic_time())


@when("{count:d} requests are sent, {concurrency:d} at a time")
def send_requests(context: Context, count: int, concurrency: int) -> None:
    context.counts = Counter()
    in_flight: list[tuple[timedelta, int, str]] = []
    for number in range(count):
        if len(in_flight) == concurrency:
            _finish(context, *heappop(in_flight))
        replica = _choose(context)
        context.counts[replica] += 1
        context.balancer.record_sent(replica, number, context.clock.time)
        ends_at = context.clock.time + context.latency[replica]
        heappush(in_flight, (ends_at, number, replica))


@then("the fastest replica gets the most and the slowest the fewest")
def check_order(context: Context) -> None:
    counts = [context.counts[f"p{number}"] for number in (1, 2, 3)]
    assert counts == sorted(counts, reverse=True) and counts[2] < counts[0], counts


@when("a request to the first has been in flight for {milliseconds:d} ms")
def stall(context: Context, milliseconds: int) -> None:
    context.balancer.record_sent("p1", "stalled", context.clock.time)
    context.clock.time += timedelta(milliseconds=milliseconds)


@when("the first answers {factor:d} times as slowly as the others, {count:d} times")
def slow_down(context: Context, factor: int, count: int) -> None:
    for number in range(200):
        replica = f"p{number % 2 + 2}"
        context.balancer.record_sent(replica, number, context.clock.time)
        _finish(context, context.clock.time + context.latency[replica], number, replica)
    for number in range(count):
        context.balancer.record_sent("p1", number, context.clock.time)
        ends_at = context.clock.time + factor * context.latency["p1"]
        _finish(context, ends_at, number, "p1")


@then("it gets less than 1 of {share:d} requests for {seconds:d} seconds")
def check_share(context: Context, share: int, seconds: int) -> None:
    counts: Counter[str] = Counter()
    for _ in range(20 * seconds):
        context.clock.time += timedelta(milliseconds=50)
        counts[_choose(context)] += 1
    assert counts["p1"] * share < counts.total(), counts


@when("the first accepts no connection")
def refuse_connection(context: Context) -> None:
    context.balancer.record_connect_failed("p1")


@when("all connections of the first are in use")
def use_all_connections(context: Context) -> None:
    context.full = {"p1"}


@then("the next {count:d} requests avoid the first")
def check_avoided(context: Context, count: int) -> None:
    assert "p1" not in {_choose(context) for _ in range(count)}


@then("after {seconds:d} seconds it gets requests again")
def check_tried_again(context: Context, seconds: int) -> None:
    context.clock.time += timedelta(seconds=seconds)
    for replica in ("p2", "p3"):
        context.balancer.record_sent(replica, "busy", context.clock.time)
    assert "p1" in {_choose(context) for _ in range(50)}


@given(
    "{count:d} instances that share a ratio of {ratio:g} and {fixed:d} fixed attempts"
)
def share_budget(context: Context, count: int, ratio: float, fixed: int) -> None:
    context.clock = ManualClock()
    context.ratio, context.fixed = ratio, fixed
    context.budgets = [
        RetryBudget(ratio, fixed, _BUDGET_WINDOW, context.clock, lambda: count)
        for _ in range(count)
    ]


@when("each gets {rate:d} requests a second and asks for a hedge or a retry of each")
def spend_budget(context: Context, rate: int) -> None:
    context.request_times, context.second_attempt_times = [], []
    for _ in range(40 * rate):
        context.clock.time += timedelta(seconds=1 / rate)
        for budget in context.budgets:
            budget.record_requests(["s"])
            context.request_times.append(context.clock.time)
            if budget.spend("s", hedge=True):
                context.second_attempt_times.append(context.clock.time)
            elif budget.spend("s"):
                context.second_attempt_times.append(context.clock.time)


@then(
    "no 10 seconds have more retries and hedges than the ratio and the fixed part allow"
)
def check_budget(context: Context) -> None:
    assert context.second_attempt_times
    for end in sorted(set(context.second_attempt_times)):
        attempts = sum(
            end - _BUDGET_WINDOW < time <= end for time in context.second_attempt_times
        )
        requests = sum(
            end - _BUDGET_WINDOW < time <= end for time in context.request_times
        )
        assert attempts <= context.ratio * requests + context.fixed, (end, attempts)


@when("{count:d} requests are hedged as often as allowed")
def hedge_all(context: Context, count: int) -> None:
    (budget,) = context.budgets
    for _ in range(count):
        budget.record_requests(["s"])
        budget.spend("s", hedge=True)


@then("a failed request may still be retried")
def check_retry_allowed(context: Context) -> None:
    (budget,) = context.budgets
    assert not budget.spend("s", hedge=True)
    assert budget.spend("s")


def _choose(context: Context) -> str:
    def availability_of(candidate: ReplicaNotice, now: timedelta) -> Availability:
        return (
            Availability.FULL
            if candidate.replica in context.full
            else Availability.IDLE
        )

    chosen = context.balancer.choose(_ROUTE, "s", (), availability_of)
    assert chosen is not None
    return str(chosen.replica)


def _finish(context: Context, ends_at: timedelta, number: int, replica: str) -> None:
    context.clock.time = max(context.clock.time, ends_at)
    latency = context.balancer.record_ended(replica, number, context.clock.time)
    context.balancer.record_reply(_ROUTE, replica, _REPLY, latency, context.clock.time)


@given(
    "{count:d} instances in 4 data centres and 3 replicas of {limit:d} connections "
    "in 3 of them"
)
def create_instances(context: Context, count: int, limit: int) -> None:
    context.limit = limit
    context.instances = [
        (f"10.{number % 4}.0.{number}:7000", f"d{number % 4}")
        for number in range(count)
    ]
    context.replicas = [
        make_notice(f"r{number}")._replace(data_centre=f"d{number}")
        for number in range(3)
    ]


@when("each instance opens connections up to its soft limit")
def open_connections(context: Context) -> None:
    context.opened = {
        name: [
            replica
            for replica in context.replicas
            for _ in range(
                connection_limits(
                    replica,
                    lambda: context.replicas,
                    context.limit,
                    len(context.instances),
                    name,
                    data_centre,
                ).soft_limit
            )
        ]
        for name, data_centre in context.instances
    }


@then("each replica has at most half of its connections in use")
def check_connections(context: Context) -> None:
    used = Counter(
        replica.replica for opened in context.opened.values() for replica in opened
    )
    assert max(used.values()) <= context.limit / 2, used


@then("no instance is without a replica")
def check_all_served(context: Context) -> None:
    assert all(context.opened.values()), context.opened


@then("an instance in a data centre with a replica uses that one")
def check_local(context: Context) -> None:
    for name, data_centre in context.instances:
        opened = {replica.data_centre for replica in context.opened[name]}
        assert data_centre == "d3" or opened == {data_centre}, (name, opened)
