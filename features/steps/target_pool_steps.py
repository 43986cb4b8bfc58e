"""Steps for the pool of a replica, with a fake replica in virtual time."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import TaskGroup, sleep
from expression import Ok, Result
from fakes.replica import SNAPSHOT, FakeDialer, FakeReplica, make_announcement
from fakes.virtual_time import run_in_virtual_time

from lovagetray import SystemClock
from lovagetray._errors import ConnectFailed
from lovagetray._types import (
    ExecuteRequest,
    ReplicaQuota,
    SubReply,
    SubRequest,
    TargetState,
)
from lovagetray._violations import Violations
from lovagetray.state import Listing
from lovagetray.targets import (
    Execute,
    Job,
    PoolDependencies,
    PooledConnection,
    ReplicaPool,
    Search,
    UnlimitedRetryBudget,
    Work,
)

_SERVICE = "venture/portal"


class _ConstantWorkTime(Random):
    """A random source whose work times are all the mean."""

    def expovariate(self, lambd: float = 1.0) -> float:
        return 1 / lambd


class _JobOutcomes:
    """The outcome queue of one job, with the time to its last outcome."""

    def __init__(self, clock: SystemClock) -> None:
        self._clock = clock
        self._submitted_at = clock.monotonic_time()
        self.outcomes: list[Any] = []
        self.elapsed = timedelta(0)

    async def put(self, outcome: Any) -> None:
        self.outcomes.append(outcome)
        self.elapsed = self._clock.monotonic_time() - self._submitted_at

    @property
    def code(self) -> str:
        """Code of the outcome: ok, none, several or the code of the failure."""
        match [outcome.result for outcome in self.outcomes]:
            case []:
                return "none"
            case [Result(tag="ok")]:
                return "ok"
            case [Result(error=failure)]:
                return failure.code
        return "several"


class _PoolHarness:
    """A pool, its replica, the actions of a scenario and the outcomes of its jobs.

    Parameters
    ----------
    pool
        Class of the pool.
    """

    def __init__(self, slots: int, connections: int, pool: Any = ReplicaPool) -> None:
        self.clock = SystemClock()
        self.violations = Violations()
        self.announcement = make_announcement("portal-0", slots, connections)
        self.replica = FakeReplica(self.announcement, _ConstantWorkTime())
        self.dialer = FakeDialer({"portal-0": self.replica})
        self.just_started = False
        self.actions: list[Callable[[], Awaitable[None]]] = []
        self.jobs: list[_JobOutcomes] = []
        self.slots_in_use: list[int] = []
        self._pool_type = pool
        self.retry_budget: Any = UnlimitedRetryBudget()

    def finish(self) -> "_PoolHarness":
        """Run the actions if they have not run yet, and return the harness."""
        if self.actions:
            run_in_virtual_time(self._run)
            self.actions.clear()
        return self

    async def submit(self, seconds: float, idempotent: bool = True) -> None:
        """Submit a search or a non-idempotent execution with a time limit."""
        name, time_left = f"job-{len(self.jobs)}", timedelta(seconds=seconds)
        work: Work
        if idempotent:
            fields = (name, "query", _SERVICE, "portal-0")
            work = Search(SubRequest(*fields, 0, SNAPSHOT, time_left, "bed", 5))
        else:
            fields = (name, _SERVICE, "portal-0", name)
            work = Execute(ExecuteRequest(*fields, b"{}", time_left))
        self.jobs.append(_JobOutcomes(self.clock))
        await self.pool.submit(
            Job(work, self.clock.monotonic_time() + time_left, self.jobs[-1])
        )

    async def saturate(self, seconds: int) -> None:
        """Keep the queue full and record the peak of slots in use in each 100 ms."""
        self.replica.mean_work_time = 0.05
        for _ in range(seconds * 10):
            for _ in range(10):
                await self.submit(0.15)
            self.replica.peak_in_flight = 0
            await sleep(0.1)
            await self.pool.enforce_limits()
            self.slots_in_use.append(self.replica.peak_in_flight)

    async def _run(self) -> None:
        quota = ReplicaQuota(self.announcement.slots, self.announcement.connections)
        async with TaskGroup(wait=None) as group:
            dependencies = PoolDependencies(
                self.dialer, self.clock, self.violations, self.retry_budget
            )
            ready_at = self.clock.monotonic_time() if self.just_started else None
            listing = Listing(self.announcement, self.clock.monotonic_time(), ready_at)
            self.pool = self._pool_type(listing, lambda _: quota, dependencies, group)
            for action in self.actions:
                await action()
            self.closed = sum(
                not connection._open for connection in self.dialer.connections
            )


@given("a pool over a replica with {slots:d} slots and {connections:d} connections")
def create_pool(context: Context, slots: int, connections: int) -> None:
    context.harness = _PoolHarness(slots, connections)


@given("the replica has just started")
def set_just_started(context: Context) -> None:
    context.harness.just_started = True


class _ExhaustedRetryBudget:
    """A retry budget that has no attempt left."""

    def reserve(self, service: str) -> bool:
        return False

    def refund(self, service: str) -> None:
        raise AssertionError("no attempt was reserved")


@given("the retry budget is exhausted")
def exhaust_retry_budget(context: Context) -> None:
    context.harness.retry_budget = _ExhaustedRetryBudget()


@given("the target has already announced that it is leaving")
def set_leaving(context: Context) -> None:
    harness = context.harness
    harness.announcement = harness.announcement._replace(state=TargetState.LEAVING)


@when("{count:d} jobs of {work:d} ms are submitted with {left:d} ms left")
def submit_jobs(context: Context, count: int, work: int, left: int) -> None:
    harness = context.harness

    async def action() -> None:
        harness.replica.mean_work_time = work / 1000
        for _ in range(count):
            await harness.submit(left / 1000)

    harness.actions.append(action)


@when("an execution is submitted")
def submit_execution(context: Context) -> None:
    context.harness.actions.append(lambda: context.harness.submit(1, idempotent=False))


@when("{count:d} ms pass")
def pass_time(context: Context, count: int) -> None:
    context.harness.actions.append(lambda: sleep(count / 1000))


@when("job {number:d} is cancelled")
def cancel_job(context: Context, number: int) -> None:
    harness = context.harness
    harness.actions.append(lambda: harness.pool.cancel(f"job-{number}"))


@when("the pool is saturated for {seconds:d} s")
def saturate(context: Context, seconds: int) -> None:
    context.harness.actions.append(lambda: context.harness.saturate(seconds))


@when("the replica is {state:w}")
def set_replica_state(context: Context, state: str, value: bool = True) -> None:
    async def action() -> None:
        setattr(context.harness.replica, state, value)

    context.harness.actions.append(action)


@when("the replica is no longer {state:w}")
def clear_replica_state(context: Context, state: str) -> None:
    set_replica_state(context, state, False)


@when("the replica sends mismatched replies")
def start_mismatched_replies(context: Context) -> None:
    set_replica_state(context, "sends_mismatched_replies")


@when("the replica no longer sends mismatched replies")
def stop_mismatched_replies(context: Context) -> None:
    clear_replica_state(context, "sends_mismatched_replies")


@when("the target announces that it is leaving")
def announce_leaving(context: Context) -> None:
    harness = context.harness

    async def action() -> None:
        leaving = harness.announcement._replace(state=TargetState.LEAVING)
        harness.pool.update(Listing(leaving, harness.clock.monotonic_time()))

    harness.actions.append(action)


@when("the open connections go silent")
def silence_connections(context: Context) -> None:
    async def action() -> None:
        for connection in context.harness.dialer.connections:
            connection.silent = True

    context.harness.actions.append(action)


@when("the target closes the open connections")
def close_connections(context: Context) -> None:
    harness = context.harness

    async def action() -> None:
        for connection in harness.dialer.connections:
            connection.replica = FakeReplica(harness.announcement, Random())
            connection.replica.terminated = True

    harness.actions.append(action)


@when("the target restarts")
def restart_target(context: Context) -> None:
    harness = context.harness

    async def action() -> None:
        harness.replica.terminated = True
        announcement = harness.announcement._replace(incarnation=2)
        harness.dialer.replicas["portal-0"] = FakeReplica(announcement, Random())

    harness.actions.append(action)


@when("the pool closes")
def close_pool(context: Context) -> None:
    harness = context.harness
    harness.actions.append(lambda: harness.pool.close(ConnectFailed("portal-0")))


@then('the outcomes are "{codes}"')
def check_outcomes(context: Context, codes: str) -> None:
    job_codes = [job.code for job in context.harness.finish().jobs]
    assert job_codes == codes.split(), job_codes


@then('every job ended with one of "{codes}"')
def check_codes(context: Context, codes: str) -> None:
    job_codes = {job.code for job in context.harness.finish().jobs}
    assert job_codes == set(codes.split()), job_codes


@then('the jobs that ended with "{code}" were refused at once')
def check_refused_at_once(context: Context, code: str) -> None:
    elapsed = [job.elapsed for job in context.harness.finish().jobs if job.code == code]
    assert max(elapsed) == timedelta(0), elapsed


@then("the replica never exceeded its limits")
def check_limits(context: Context) -> None:
    harness = context.harness.finish()
    assert not harness.replica.problems, harness.replica.problems
    assert not harness.violations.found


@then("{count:d} connections of the replica were closed")
def check_closed(context: Context, count: int) -> None:
    assert context.harness.finish().closed == count, context.harness.closed


@then(
    "at most {initial:d} slots were in use in the first {seconds:d} s and "
    "{final:d} slots at the end"
)
def check_slots_in_use(
    context: Context, initial: int, seconds: int, final: int
) -> None:
    slots = context.harness.finish().slots_in_use
    assert max(slots[: seconds * 10 - 1]) <= initial, slots
    assert max(slots[-5:]) == final, slots


@then("the last outcome is {proof} that the request did not run")
def check_proof(context: Context, proof: str) -> None:
    harness = context.harness.finish()
    assert harness.jobs[-1].outcomes[0].not_run is (proof == "proof")
    assert len(harness.replica.executed) <= 1


class _UnlimitedPool(ReplicaPool):
    """A pool that starts every job at once, whatever the limit of slots."""

    def _has_free_slot(self, quota: ReplicaQuota) -> bool:
        return True


class _RepeatingConnection(PooledConnection):
    """A connection that repeats non-idempotent work after a failure."""

    def may_retry(self, work: Any) -> bool:
        return True


class _RepeatingPool(ReplicaPool):
    """A pool whose connections repeat non-idempotent work."""

    def _new_connection(self) -> PooledConnection:
        shared = (self._dependencies, self._latency, self._close_idle)
        return _RepeatingConnection(self.announcement, *shared)


async def _serve_mismatched(work: Any, had_time_to_learn: bool) -> Result[Any, Any]:
    """Return a reply to another request."""
    return Ok(SubReply("another", 0, SNAPSHOT, (), timedelta(0)))


@given('a pool that violates the invariant "{violation}"')
def create_defective_pool(context: Context, violation: str) -> None:
    pools = {"limit_exceeded": _UnlimitedPool, "sent_twice": _RepeatingPool}
    context.harness = _PoolHarness(2, 25, pools.get(violation, ReplicaPool))
    if violation == "foreign_reply":
        context.harness.replica.serve = _serve_mismatched


@then('the violation "{violation}" was reported')
def check_violation(context: Context, violation: str) -> None:
    codes = {found.code for found in context.harness.finish().violations.found}
    assert codes == {violation}, codes
