"""Steps that run several instances over shared replicas, and directory rules."""

from datetime import timedelta
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import Queue, TaskGroup, sleep
from fakes.ownership_run import run_seed
from fakes.replica import FakeDialer, FakeReplica, make_announcement
from fakes.virtual_time import run_virtual

from lovagetray import SystemClock
from lovagetray._peer_messages import AgedAnnouncement, Announced
from lovagetray._telemetry import RELAYS_REFUSED
from lovagetray._types import Allowance, ExecuteRequest, ReplicaKey
from lovagetray._violations import Violations
from lovagetray.commands.membership import OwnershipTransfer, accept_relayed
from lovagetray.state import Directory
from lovagetray.targets import Execute, Job, PoolTools, ReplicaPools

_SERVICE = "venture/portal"
_START = timedelta(seconds=1000)


def _seconds(count: float) -> timedelta:
    return timedelta(seconds=count)


class _WithoutLease(OwnershipTransfer):
    """Acts as full owner whatever the lease says."""

    def _holds_lease(self, now: timedelta) -> bool:
        return True


@when("seed {seed:d} runs with {seconds:d} s of faults")
def run(context: Context, seed: int, seconds: int) -> None:
    context.report = run_seed(seed, fault_time=seconds)


@when(
    "seed {seed:d} runs with {seconds:d} s of faults and owners that ignore their lease"
)
def run_broken(context: Context, seed: int, seconds: int) -> None:
    context.report = run_seed(seed, fault_time=seconds, transfer=_WithoutLease)


@then("no rule is broken and {count:d} requests were answered")
def check_rules(context: Context, count: int) -> None:
    report = context.report
    assert not report.problems, (report.seed, report.problems[:10])
    assert report.counts["answered"] >= count, report


@then("slots above the limit of a replica are reported")
def check_noticed(context: Context) -> None:
    problems = context.report.problems
    assert any("slots" in problem for problem in problems), problems[:10]


async def _release_during_job() -> list[Any]:
    clock, inbox = SystemClock(), Queue()
    directory = Directory(_seconds(60))
    announcement = make_announcement("portal-0", 2, 25)
    directory.accept(announcement, clock.elapsed())
    dialer = FakeDialer({"portal-0": FakeReplica(announcement, Random(1))})
    async with TaskGroup(wait=None) as group:
        pools = ReplicaPools(
            directory,
            lambda _: Allowance(2, 25),
            PoolTools(dialer, clock, Violations()),
            group,
        )
        for name in ("first", "second"):
            request = ExecuteRequest(
                name, _SERVICE, "portal-0", name, b"{}", _seconds(1)
            )
            deadline = clock.elapsed() + _seconds(1)
            await pools.submit(Job(Execute(request), deadline, inbox))
            await pools.release(ReplicaKey(_SERVICE, "portal-0"))
            await sleep(1)
    return [(await inbox.get()).result for _ in range(2)]


@when("a replica is released during a job and gets another job later")
def release_and_own(context: Context) -> None:
    context.results = run_virtual(_release_during_job)


@then("both jobs succeeded")
def check_both(context: Context) -> None:
    assert all(result.is_ok() for result in context.results), context.results


def _directory() -> Any:
    directory = Directory(_seconds(3))
    directory.accept(make_announcement("portal-0", 2, 25), _START)
    return directory


def _usable(context: Context, now: timedelta) -> bool:
    listing = context.directory.listing(_SERVICE, "portal-0")
    usable: bool = context.directory.usable(listing, now)
    return usable


@given("a directory that heard of a ready target 4 s ago")
def hear(context: Context) -> None:
    context.directory = _directory()


@then("the target is not usable")
def check_not_usable(context: Context) -> None:
    assert not _usable(context, _START + _seconds(4))


@then("it is usable after an exchange 1 s ago succeeded")
def check_contacted(context: Context) -> None:
    context.directory.contacted(_SERVICE, "portal-0", _START + _seconds(3))
    assert _usable(context, _START + _seconds(4))


@given("a directory that heard of a ready target before a pause of 30 s")
def pause(context: Context) -> None:
    context.directory = _directory()
    context.directory.note_round(_START + _seconds(1))
    assert _usable(context, _START + _seconds(31)), "before the round after the pause"
    context.directory.note_round(_START + _seconds(31))


@then("the target is usable for 3 s after the pause")
def check_grace(context: Context) -> None:
    for second in (31, 32, 33):
        context.directory.note_round(_START + _seconds(second))
        assert _usable(context, _START + _seconds(second + 0.9)), second


@then("the target is not usable 4 s after the pause")
def check_grace_ends(context: Context) -> None:
    context.directory.note_round(_START + _seconds(34))
    assert not _usable(context, _START + _seconds(35))


@when("an announcement is relayed twice")
def relay(context: Context) -> None:
    counter = RELAYS_REFUSED.labels("stale_announcement")
    context.before = counter._value.get()
    directory = Directory(_seconds(3))
    item = AgedAnnouncement(make_announcement("portal-0", 2, 25), _seconds(0))
    for _ in range(2):
        accept_relayed(directory, Announced((item,)), SystemClock())


@then("one stale relay was counted")
def check_counted(context: Context) -> None:
    counter = RELAYS_REFUSED.labels("stale_announcement")
    assert counter._value.get() == context.before + 1
