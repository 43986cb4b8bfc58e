"""Steps that run one pool over a fake replica in virtual time."""

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


class _FixedWork(Random):
    """Makes every job take the mean time."""

    def expovariate(self, lambd: float = 1.0) -> float:
        return 1 / lambd


class _Recorder:
    """The inbox of one job."""

    def __init__(self, clock: SystemClock) -> None:
        self._clock = clock
        self._sent_at = clock.monotonic_time()
        self.outcomes: list[Any] = []
        self.taken = timedelta(0)

    async def put(self, outcome: Any) -> None:
        self.outcomes.append(outcome)
        self.taken = self._clock.monotonic_time() - self._sent_at

    @property
    def code(self) -> str:
        match [outcome.result for outcome in self.outcomes]:
            case []:
                return "none"
            case [Result(tag="ok")]:
                return "ok"
            case [Result(error=failure)]:
                return failure.code
        return "several"


class _Bench:
    """A pool, its replica, the actions of a scenario and the outcomes of its jobs."""

    def __init__(self, slots: int, connections: int, pool: Any = ReplicaPool) -> None:
        self.clock = SystemClock()
        self.violations = Violations()
        self.announcement = make_announcement("portal-0", slots, connections)
        self.replica = FakeReplica(self.announcement, _FixedWork())
        self.dialer = FakeDialer({"portal-0": self.replica})
        self.cold = False
        self.actions: list[Callable[[], Awaitable[None]]] = []
        self.jobs: list[_Recorder] = []
        self.used: list[int] = []
        self._pool_type = pool
        self.retry_budget: Any = UnlimitedRetryBudget()

    def finish(self) -> "_Bench":
        """Run the actions once, and return what they left."""
        if self.actions:
            run_in_virtual_time(self._run)
            self.actions.clear()
        return self

    async def submit(self, seconds: float, idempotent: bool = True) -> None:
        name, budget = f"job-{len(self.jobs)}", timedelta(seconds=seconds)
        work: Work
        if idempotent:
            names = (name, "query", _SERVICE, "portal-0")
            work = Search(SubRequest(*names, 0, SNAPSHOT, budget, "bed", 5))
        else:
            names = (name, _SERVICE, "portal-0", name)
            work = Execute(ExecuteRequest(*names, b"{}", budget))
        self.jobs.append(_Recorder(self.clock))
        await self.pool.submit(
            Job(work, self.clock.monotonic_time() + budget, self.jobs[-1])
        )

    async def saturate(self, seconds: int) -> None:
        """Keep the queue full and note the most slots used in each 100 ms."""
        self.replica.mean_work_time = 0.05
        for _ in range(seconds * 10):
            for _ in range(10):
                await self.submit(0.15)
            self.replica.peak_in_flight = 0
            await sleep(0.1)
            await self.pool.enforce_limits()
            self.used.append(self.replica.peak_in_flight)

    async def _run(self) -> None:
        allowance = ReplicaQuota(self.announcement.slots, self.announcement.connections)
        async with TaskGroup(wait=None) as group:
            dependencies = PoolDependencies(
                self.dialer, self.clock, self.violations, self.retry_budget
            )
            ready_at = self.clock.monotonic_time() if self.cold else None
            listing = Listing(self.announcement, self.clock.monotonic_time(), ready_at)
            self.pool = self._pool_type(
                listing, lambda _: allowance, dependencies, group
            )
            for action in self.actions:
                await action()
            self.closed = sum(not one._open for one in self.dialer.connections)


@given("a pool over a replica with {slots:d} slots and {connections:d} connections")
def make_pool(context: Context, slots: int, connections: int) -> None:
    context.harness = _Bench(slots, connections)


@given("the replica has just started")
def make_cold(context: Context) -> None:
    context.harness.cold = True


class _NoAttempts:
    """A budget of second attempts that is used up."""

    def reserve(self, service: str) -> bool:
        return False

    def refund(self, service: str) -> None:
        raise AssertionError("nothing was set aside")


@given("the budget of second attempts is used up")
def use_up_budget(context: Context) -> None:
    context.harness.retry_budget = _NoAttempts()


@given("the target said that it is leaving before")
def make_leaving(context: Context) -> None:
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
def cancel(context: Context, number: int) -> None:
    harness = context.harness
    harness.actions.append(lambda: harness.pool.cancel(f"job-{number}"))


@when("the pool is saturated for {seconds:d} s")
def saturate(context: Context, seconds: int) -> None:
    context.harness.actions.append(lambda: context.harness.saturate(seconds))


@when("the replica is {state:w}")
def start_state(context: Context, state: str, value: bool = True) -> None:
    async def action() -> None:
        setattr(context.harness.replica, state, value)

    context.harness.actions.append(action)


@when("the replica is no longer {state:w}")
def end_state(context: Context, state: str) -> None:
    start_state(context, state, False)


@when("the target says that it is leaving")
def leave(context: Context) -> None:
    harness = context.harness

    async def action() -> None:
        leaving = harness.announcement._replace(state=TargetState.LEAVING)
        harness.pool.update(Listing(leaving, harness.clock.monotonic_time()))

    harness.actions.append(action)


@when("the open connections go silent")
def go_silent(context: Context) -> None:
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
            connection.replica.gone = True

    harness.actions.append(action)


@when("the target restarts")
def restart(context: Context) -> None:
    harness = context.harness

    async def action() -> None:
        harness.replica.gone = True
        changed = harness.announcement._replace(incarnation=2)
        harness.dialer.replicas["portal-0"] = FakeReplica(changed, Random())

    harness.actions.append(action)


@when("the pool closes")
def close_pool(context: Context) -> None:
    harness = context.harness
    harness.actions.append(lambda: harness.pool.close(ConnectFailed("portal-0")))


@then('the outcomes are "{codes}"')
def check_outcomes(context: Context, codes: str) -> None:
    found = [job.code for job in context.harness.finish().jobs]
    assert found == codes.split(), found


@then('every job ended with one of "{codes}"')
def check_codes(context: Context, codes: str) -> None:
    found = {job.code for job in context.harness.finish().jobs}
    assert found == set(codes.split()), found


@then('the jobs that ended with "{code}" took no time')
def check_refused(context: Context, code: str) -> None:
    taken = [job.taken for job in context.harness.finish().jobs if job.code == code]
    assert max(taken) == timedelta(0), taken


@then("the replica never saw more than its limits")
def check_limits(context: Context) -> None:
    harness = context.harness.finish()
    assert not harness.replica.problems, harness.replica.problems
    assert not harness.violations.found


@then("{count:d} connections of the replica were closed")
def check_closed(context: Context, count: int) -> None:
    assert context.harness.finish().closed == count, context.harness.closed


@then(
    "it used at most {few:d} slots in the first {seconds:d} s and {many:d} slots "
    "at the end"
)
def check_share(context: Context, few: int, seconds: int, many: int) -> None:
    used = context.harness.finish().used
    assert max(used[: seconds * 10 - 1]) <= few, used
    assert max(used[-5:]) == many, used


@then("the last outcome is {proof} that it did not run")
def check_proof(context: Context, proof: str) -> None:
    harness = context.harness.finish()
    assert harness.jobs[-1].outcomes[0].not_run is (proof == "proof")
    assert len(harness.replica.executed) <= 1


class _Unlimited(ReplicaPool):
    """Starts every job at once."""

    def _has_free_slot(self, allowance: ReplicaQuota) -> bool:
        return True


class _Repeating(PooledConnection):
    """Repeats non-idempotent work."""

    def may_retry(self, work: Any) -> bool:
        return True


class _RepeatingPool(ReplicaPool):
    """Uses connections that repeat non-idempotent work."""

    def _new_connection(self) -> PooledConnection:
        shared = (self._dependencies, self._latency, self._close_idle)
        return _Repeating(self.announcement, *shared)


async def _foreign(work: Any, knows: bool) -> Result[Any, Any]:
    return Ok(SubReply("another", 0, SNAPSHOT, (), timedelta(0)))


@given('a pool that breaks the rule "{rule}"')
def make_broken_pool(context: Context, rule: str) -> None:
    pools = {"limit_exceeded": _Unlimited, "sent_twice": _RepeatingPool}
    context.harness = _Bench(2, 25, pools.get(rule, ReplicaPool))
    if rule == "foreign_reply":
        context.harness.replica.serve = _foreign


@then('the violation "{rule}" was reported')
def check_violation(context: Context, rule: str) -> None:
    codes = {one.code for one in context.harness.finish().violations.found}
    assert codes == {rule}, codes
