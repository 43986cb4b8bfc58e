"""Steps for instances that share replicas, and for the target directory."""

from datetime import timedelta
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import Queue, TaskGroup, sleep
from fakes.instances import FakeInstance, FakeNetwork
from fakes.ownership_run import run_ownership_seed
from fakes.replica import SNAPSHOT, FakeDialer, FakeReplica, make_announcement
from fakes.virtual_time import run_in_virtual_time

from lovagetray import SystemClock
from lovagetray._peer_messages import (
    AgedAnnouncement,
    Announced,
    CancelSubRequests,
    ClaimReplicas,
    Envelope,
    ReplicaClaim,
    RunSubRequests,
)
from lovagetray._telemetry import RELAYED_ANNOUNCEMENTS_REFUSED
from lovagetray._types import ExecuteRequest, ReplicaKey, ReplicaQuota, SubRequest
from lovagetray._violations import Violations
from lovagetray.commands.membership import (
    OwnershipTransfer,
    accept_relayed_announcements,
)
from lovagetray.queries.membership import owner_of
from lovagetray.state import TargetDirectory
from lovagetray.targets import Execute, Job, PoolDependencies, ReplicaPools
from lovagetray.wire._peers import coalesce_messages

_SERVICE = "venture/portal"
_START = timedelta(seconds=1000)


def _seconds(count: float) -> timedelta:
    return timedelta(seconds=count)


class _LeaseIgnoringTransfer(OwnershipTransfer):
    """A defective transfer that uses the full quota without a valid lease."""

    def _holds_lease(self, now: timedelta) -> bool:
        return True


@when("the ownership simulation runs with seed {seed:d} and {seconds:d} s of faults")
def run_simulation(context: Context, seed: int, seconds: int) -> None:
    context.report = run_ownership_seed(seed, fault_time=seconds)


@when("up to {count:d} seeds run with isolated instances that ignore their lease")
def run_defect(context: Context, count: int) -> None:
    for seed in range(4, 4 + count):
        context.report = run_ownership_seed(
            seed,
            instances=2,
            fault_time=15,
            fault_kinds="isolate",
            transfer=_LeaseIgnoringTransfer,
        )
        if context.report.problems:
            return


@then("no invariant is violated and {count:d} requests were answered")
def check_invariants(context: Context, count: int) -> None:
    report = context.report
    assert not report.problems, (report.seed, report.problems[:10])
    assert report.counts["answered"] >= count, report


@then("more slots in use than a replica allows are reported")
def check_detected(context: Context) -> None:
    problems = context.report.problems
    assert any("slots" in problem for problem in problems), problems[:10]


async def _cancel_through_peer() -> tuple[list[Any], int]:
    names, network, outcome_queue = ["entry-0", "entry-1"], FakeNetwork(), Queue()
    announcement = make_announcement("portal-0", 2, 25)
    replica = FakeReplica(announcement, Random(1))
    async with TaskGroup(wait=None) as group:
        for name in names:
            instance = FakeInstance(name, 1, names, network, {"portal-0": replica})
            network.instances[name] = instance
            await group.spawn(instance.run)
        await group.spawn(network.publish_live_instances)
        await sleep(1)
        await network.instances["entry-0"].announce(announcement)
        await sleep(1)
        instances = network.instances.values()
        [peer] = [
            instance
            for instance in instances
            if not instance.targets._ownership.claim_count()
        ]
        for name in ("slow", "quick"):
            replica.mean_work_time = 0.01 if name == "quick" else 1e6
            fields = (name, "query", _SERVICE, "portal-0", 0, SNAPSHOT)
            request = SubRequest(*fields, _seconds(1), "bed", 5)
            await peer.targets.router.send([request], outcome_queue)
            await sleep(0.05)
        await peer.targets.router.cancel(["slow"])
        await sleep(0.2)
        outcomes = [await outcome_queue.get() for _ in range(outcome_queue.qsize())]
        return outcomes, replica.in_flight


@when("an instance that is not the owner sends two searches and cancels one of them")
def cancel_through_peer(context: Context) -> None:
    context.outcomes, context.in_flight = run_in_virtual_time(_cancel_through_peer)


@then("the other search succeeded and no slot remains in use")
def check_cancelled(context: Context) -> None:
    results = [
        (outcome.request_id, outcome.result.is_ok()) for outcome in context.outcomes
    ]
    assert results == [("quick", True)], results
    assert context.in_flight == 0


@then("a cancellation coalesced with its search is sent after it")
def check_order(context: Context) -> None:
    cancel, run = CancelSubRequests(("one",)), RunSubRequests(())
    messages = coalesce_messages([run, cancel])
    assert messages == [run, cancel], messages


async def _release_to_claimer() -> list[int]:
    names, network, slots = ["entry-0", "entry-1"], FakeNetwork(), []
    announcement = make_announcement("portal-0", 2, 25)
    instances = [FakeInstance(name, 1, names, network, {}) for name in names]
    records = [instance.members.own_record for instance in instances]
    preferred = owner_of(announcement, records)
    claimer, owner = sorted(
        instances, key=lambda instance: instance.members.own_record != preferred
    )
    claim = ReplicaClaim(_SERVICE, "portal-0", 1)
    envelope = Envelope(claimer.members.own_record.instance, ClaimReplicas((claim,)))
    async with TaskGroup(wait=None) as group:
        await group.spawn(owner.run)
        await sleep(0)
        await owner.announce(announcement)
        owner.members.update_record(
            claimer.members.own_record, owner.clock.monotonic_time()
        )
        for tick in range(50):
            owner.lease.update(frozenset([owner.name]), owner.clock.monotonic_time())
            await sleep(0.1)
            if tick == 30:
                await owner.targets.handle(envelope)
            slots.append(owner.targets._ownership.quota(announcement).slots)
    return slots


@when("an owner releases a replica to a claimer that is not on its live list")
def release_to_claimer(context: Context) -> None:
    context.slots = run_in_virtual_time(_release_to_claimer)


@then("the owner uses no slot of the replica for the rest of its lease")
def check_no_slots(context: Context) -> None:
    assert context.slots[29] == 1, "the owner used no slot before the release"
    assert not any(context.slots[31:]), context.slots


async def _release_during_job() -> list[Any]:
    clock, outcome_queue = SystemClock(), Queue()
    directory = TargetDirectory(_seconds(60))
    announcement = make_announcement("portal-0", 2, 25)
    directory.accept(announcement, clock.monotonic_time())
    dialer = FakeDialer({"portal-0": FakeReplica(announcement, Random(1))})
    async with TaskGroup(wait=None) as group:
        pools = ReplicaPools(
            directory,
            lambda _: ReplicaQuota(2, 25),
            PoolDependencies(dialer, clock, Violations()),
            group,
        )
        for name in ("first", "second"):
            request = ExecuteRequest(
                name, _SERVICE, "portal-0", name, b"{}", _seconds(1)
            )
            deadline = clock.monotonic_time() + _seconds(1)
            await pools.submit(Job(Execute(request), deadline, outcome_queue))
            await pools.release(ReplicaKey(_SERVICE, "portal-0"))
            await sleep(1)
    return [(await outcome_queue.get()).result for _ in range(2)]


@when("a replica is released during a job and gets another job later")
def release_during_job(context: Context) -> None:
    context.results = run_in_virtual_time(_release_during_job)


@then("both jobs succeeded")
def check_both_succeeded(context: Context) -> None:
    assert all(result.is_ok() for result in context.results), context.results


def _directory_with_target() -> Any:
    directory = TargetDirectory(_seconds(3))
    directory.accept(make_announcement("portal-0", 2, 25), _START)
    return directory


def _usable(context: Context, now: timedelta) -> bool:
    listing = context.directory.listing(_SERVICE, "portal-0")
    usable: bool = context.directory.usable(listing, now)
    return usable


@given("a directory with a ready target that announced itself 4 s ago")
def receive_announcement(context: Context) -> None:
    context.directory = _directory_with_target()


@then("the target is not usable")
def check_not_usable(context: Context) -> None:
    assert not _usable(context, _START + _seconds(4))


@then("it is usable if an exchange succeeded 1 s ago")
def check_usable_after_exchange(context: Context) -> None:
    context.directory.record_contact(_SERVICE, "portal-0", _START + _seconds(3))
    assert _usable(context, _START + _seconds(4))


@given("a directory with a ready target that announced itself before a pause of 30 s")
def pause_after_announcement(context: Context) -> None:
    context.directory = _directory_with_target()
    context.directory.record_tick(_START + _seconds(1))
    assert _usable(context, _START + _seconds(31)), "before the tick after the pause"
    context.directory.record_tick(_START + _seconds(31))


@then("the target is usable for 3 s after the pause")
def check_grace_period(context: Context) -> None:
    for second in (31, 32, 33):
        context.directory.record_tick(_START + _seconds(second))
        assert _usable(context, _START + _seconds(second + 0.9)), second


@then("the target is not usable 4 s after the pause")
def check_grace_period_end(context: Context) -> None:
    context.directory.record_tick(_START + _seconds(34))
    assert not _usable(context, _START + _seconds(35))


@when("an announcement is relayed twice")
def relay_twice(context: Context) -> None:
    counter = RELAYED_ANNOUNCEMENTS_REFUSED.labels("stale_announcement")
    context.previous_count = counter._value.get()
    directory = TargetDirectory(_seconds(3))
    announcement = AgedAnnouncement(make_announcement("portal-0", 2, 25), _seconds(0))
    for _ in range(2):
        accept_relayed_announcements(
            directory, Announced((announcement,)), SystemClock()
        )


@then("one stale relayed announcement was counted")
def check_stale_counted(context: Context) -> None:
    counter = RELAYED_ANNOUNCEMENTS_REFUSED.labels("stale_announcement")
    assert counter._value.get() == context.previous_count + 1
