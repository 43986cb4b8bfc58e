"""Steps for the limit of the requests to replicas that warm up."""

from bisect import bisect_left
from datetime import timedelta
from random import Random

from behave import given, then, when
from behave.runner import Context
from curio import sleep
from fakes.directory_fleet import fleet_notice
from fakes.replica_script import make_notice

from lovagetray import SystemClock
from lovagetray._gateway_settings import ColdLimits
from lovagetray._routing_types import OneService, ReplicaNotice, RetrySafety, Route
from lovagetray.queries.load_balancing import (
    ColdLimit,
    LoadBalancer,
    RetryBudget,
    cold_share,
)
from lovagetray.state import ReplicaDirectory
from lovagetray.targets import Availability

_SECOND = timedelta(seconds=1)
_DAY = timedelta(days=1)
_START = timedelta(seconds=1000)
_LIMITS = ColdLimits(1.5, 5)
_NOTICE_LIFETIME = timedelta(milliseconds=1500)
_ROUTE = Route(
    "r", "h", "/", RetrySafety.IDEMPOTENT, _DAY, _SECOND, 1, 4, OneService("s")
)


class _Clock:
    """A clock whose time is set by the test."""

    def __init__(self) -> None:
        self.time = _START

    def monotonic_time(self) -> timedelta:
        return self.time


class _View:
    """What one instance knows of the list, and when the majority confirmed it."""

    def __init__(
        self, name: str, rate: float, lists: list[tuple[timedelta, tuple[str, ...]]]
    ) -> None:
        self.name = name
        self.lists = lists
        self.now = _START
        self.cut_off_at: timedelta | None = None
        self.limit = ColdLimit(
            name,
            _LIMITS,
            lambda _: rate,
            self._listed,
            lambda _: _START + _DAY,
            lambda: min(self.now, self.cut_off_at or self.now),
        )

    def _listed(self) -> tuple[str, ...]:
        return [names for at, names in self.lists if at <= self.now][-1]


@given(
    "{count:d} instances that share {rate:d} requests a second, up to 1.5 times and 5"
)
def create_instances(context: Context, count: int, rate: int) -> None:
    context.rate = rate
    context.names = tuple(sorted(f"i{number}" for number in range(count)))
    lists = [(timedelta(0), context.names)]
    context.views = [_View(name, rate, list(lists)) for name in context.names]


@given("instances leave, return and are cut off, which others learn up to 2 s later")
def change_list(context: Context) -> None:
    """Change the list every 3 s; a third of the instances is cut off after 9 s.

    An instance that leaves the list stays alive and sends on until it learns of it.
    """
    random = Random(len(context.names))
    names = context.names
    cut_off_at = _START + 9 * _SECOND
    cut_off = names[-len(names) // 3 :]
    for step in range(1, 10):
        changed_at = _START + step * 3 * _SECOND
        away = set(random.sample(names, len(names) // 2))
        if step >= 4:
            away |= set(cut_off)
        listed = tuple(name for name in names if name not in away)
        for view in context.views:
            delay = timedelta(seconds=random.uniform(0, 2))
            if view.name not in cut_off or step < 3:
                view.lists.append((changed_at + delay, listed))
    others = tuple(name for name in names if name not in cut_off)
    for view in context.views:
        if view.name in cut_off:
            view.cut_off_at = cut_off_at
        # Both sides drop each other after a silence of 0.95 s.
        remaining = cut_off if view.name in cut_off else others
        view.lists.append((cut_off_at + 0.95 * _SECOND, remaining))
        view.lists.sort(key=lambda change: change[0])


@when("they get {load:d} requests a second with skewed load for {seconds:d} seconds")
def send_load(context: Context, load: int, seconds: int) -> None:
    random = Random(load)
    notice = make_notice("cold")._replace(warm_up=_DAY)
    views: list[_View] = context.views
    weights = [1 / (1 + number) ** 1.2 for number in range(len(views))]
    context.sent_at = []
    time = 0.0
    ticks = 0
    while time < seconds:
        time += random.expovariate(load)
        now = _START + timedelta(seconds=time)
        if int(time * 2) > ticks:
            ticks = int(time * 2)
            for view in views:
                view.now = now
                view.limit.follow_list(now)
        view = random.choices(views, weights)[0]
        view.now = now
        if view.limit.is_limited(notice, now) and view.limit.allows(notice, now):
            view.limit.record_sent(notice.replica, now)
            context.sent_at.append(now)


@then(
    "no second has more requests to the cold replica than allowed, and {least:d} in all"
)
def check_rate(context: Context, least: int) -> None:
    allowed = context.rate * _LIMITS.overshoot + _LIMITS.slack
    sent_at = context.sent_at
    most = max(
        bisect_left(sent_at, at + _SECOND) - index for index, at in enumerate(sent_at)
    )
    assert most <= allowed, (most, allowed)
    assert len(sent_at) >= least, len(sent_at)


@then("the holders of each limit keep to it")
def check_shares(context: Context) -> None:
    for rate in (0.1, 1, 2.5, 7, 10.3, 400):
        for limits in (ColdLimits(), ColdLimits(1.1, 0.5), ColdLimits(3, 2), _LIMITS):
            share = cold_share(rate, limits)
            most = share.holders * -(-_SECOND // share.interval)
            # At least one request must be possible.
            assert most <= max(1, rate * limits.overshoot + limits.slack), (
                rate,
                limits,
            )


@given("the only instance and a service with a cold replica")
def create_service(context: Context) -> None:
    context.clock = _Clock()
    context.rate = 2.0
    directory = context.directory = ReplicaDirectory(_NOTICE_LIFETIME, _DAY)
    context.limit = ColdLimit(
        "own",
        _LIMITS,
        lambda _: context.rate,
        lambda: ("own",),
        directory.cold_until,
        lambda: context.clock.time,
    )
    context.limit.follow_list(_START - _DAY)
    budget = RetryBudget(1, 100, _SECOND, context.clock, lambda: 1)
    context.balancer = LoadBalancer(
        directory, budget, context.clock, Random(1), "here", cold_limit=context.limit
    )
    context.notice = make_notice("cold")


@given("the routing document states no rate")
def remove_rate(context: Context) -> None:
    context.rate = 0.0


@when("its notice says that it warms up for {milliseconds:d} ms")
def send_notice(context: Context, milliseconds: int) -> None:
    context.noticed_at = context.clock.time
    warm_up = timedelta(milliseconds=milliseconds)
    notice = context.notice
    context.notice = notice._replace(sequence=notice.sequence + 1, warm_up=warm_up)
    context.told = context.directory.accept(context.notice, context.noticed_at)


@when("it starts again and its notice says that it warms up for {milliseconds:d} ms")
def start_again(context: Context, milliseconds: int) -> None:
    context.notice = context.notice._replace(born=context.notice.born + 1, sequence=0)
    send_notice(context, milliseconds)


@then("a retry and a hedge are not sent to it right after a request")
def check_attempts(context: Context) -> None:
    notice = _choose(context)
    assert notice is not None
    context.balancer.record_sent(notice.replica, "first", context.clock.time)
    assert _choose(context) is None
    assert not context.balancer.count_reachable(("s",))
    assert not context.balancer.accepts(notice)


@then("an older notice that arrives {milliseconds:d} ms later changes nothing")
def check_older(context: Context, milliseconds: int) -> None:
    context.clock.time += timedelta(milliseconds=milliseconds)
    older = context.notice._replace(sequence=1, warm_up=_DAY)
    assert not context.directory.accept(older, context.clock.time)


@then("it is limited until {milliseconds:d} ms after its notice, not longer")
def check_limited(context: Context, milliseconds: int) -> None:
    end = context.noticed_at + timedelta(milliseconds=milliseconds)
    _check_limited_until(context, end)


@when("{milliseconds:d} ms later a short notice repeats that it still warms up")
def repeat_notice(context: Context, milliseconds: int) -> None:
    context.clock.time += timedelta(milliseconds=milliseconds)
    repeated = context.directory.repeated_notice("cold")
    repeated = repeated._replace(sequence=repeated.sequence + 1)
    context.notice = context.notice._replace(sequence=repeated.sequence)
    assert context.directory.accept_repeated(repeated, context.clock.time)


@then("it is limited until 3 notice intervals after that")
def check_repeated(context: Context) -> None:
    _check_limited_until(context, context.clock.time + _NOTICE_LIFETIME)


@then("a longer warm-up is told to the other instances in full")
def check_told(context: Context) -> None:
    send_notice(context, 3000)
    revision = context.directory.revision
    send_notice(context, 2900)
    assert not context.told and context.directory.revision == revision
    send_notice(context, 9000)
    assert context.told and context.directory.revision > revision


@when("a replica warms up for {first:d} s, and after 10 s for {second:d} s again")
def warm_up_behind_relays(context: Context, first: int, second: int) -> None:
    fleet = context.fleet_of_relays

    async def main() -> None:
        start = SystemClock().monotonic_time()
        for sequence in range(1, 14):
            now = SystemClock().monotonic_time()
            context.warm_at = start + timedelta(seconds=first)
            if sequence > 10:
                context.warm_at = start + timedelta(seconds=10 + second)
            receiver = list(fleet.instances.values())[sequence % 2 * 20]
            notice = fleet_notice(1, sequence=sequence, warm_up=context.warm_at - now)
            await receiver.gossip.accept(notice)
            await sleep(1)

    context.kernel.run(main)


@then("each instance counts it as cold until it is warm, and at most {most:d} s longer")
def check_cold_everywhere(context: Context, most: int) -> None:
    for instance in context.fleet_of_relays.instances.values():
        longer = instance.directory.cold_until("r1") - context.warm_at
        assert timedelta(0) <= longer <= most * _SECOND, (instance.name, longer)


@given("no service states the rate that its cold replicas bear")
def limit_no_rates(context: Context) -> None:
    context.fleet_of_relays.limits_cold_replicas = False


@then("instances behind relays count it as cold for {first:d} s")
def check_first_end(context: Context, first: int) -> None:
    # The second warm-up ends 10 s + 60 s after the start.
    first_end = context.warm_at - (70 - first) * _SECOND
    instances = list(context.fleet_of_relays.instances.values())
    # The notices came to the instances 0 and 20 themselves.
    for instance in instances[1:20] + instances[21:]:
        if not instance.relays.is_relay:
            end = instance.directory.cold_until("r1")
            assert abs(end - first_end) <= _SECOND, (instance.name, end, first_end)


@then("it is not limited")
def check_unlimited(context: Context) -> None:
    for number in range(20):
        assert _choose(context) is not None
        context.balancer.record_sent("cold", number, context.clock.time)


def _check_limited_until(context: Context, end: timedelta) -> None:
    for milliseconds, is_limited in ((-1, True), (0, False)):
        context.clock.time = end + timedelta(milliseconds=milliseconds)
        assert (
            context.limit.is_limited(context.notice, context.clock.time) is is_limited
        )


def _choose(context: Context) -> ReplicaNotice | None:
    notice: ReplicaNotice | None = context.balancer.choose(
        _ROUTE, "s", (), lambda notice, now: Availability.IDLE
    )
    return notice
