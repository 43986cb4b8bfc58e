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
from fakes.virtual_time import run_virtual

from lovagetray import SystemClock
from lovagetray._errors import ConnectFailed
from lovagetray._types import (
    Allowance,
    ExecuteRequest,
    SubReply,
    SubRequest,
    TargetState,
)
from lovagetray._violations import Violations
from lovagetray.state import Listing
from lovagetray.targets import (
    Execute,
    Job,
    PooledConnection,
    PoolTools,
    ReplicaPool,
    Search,
    UnlimitedAttempts,
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
        self._sent_at = clock.elapsed()
        self.outcomes: list[Any] = []
        self.taken = timedelta(0)

    async def put(self, outcome: Any) -> None:
        self.outcomes.append(outcome)
        self.taken = self._clock.elapsed() - self._sent_at

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
        self.extra: Any = UnlimitedAttempts()

    def finish(self) -> "_Bench":
        """Run the actions once, and return what they left."""
        if self.actions:
            run_virtual(self._run)
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
        await self.pool.submit(Job(work, self.clock.elapsed() + budget, self.jobs[-1]))

    async def saturate(self, seconds: int) -> None:
        """Keep the queue full and note the most slots used in each 100 ms."""
        self.replica.mean_work = 0.05
        for _ in range(seconds * 10):
            for _ in range(10):
                await self.submit(0.15)
            self.replica.peak = 0
            await sleep(0.1)
            await self.pool.keep()
            self.used.append(self.replica.peak)

    async def _run(self) -> None:
        allowance = Allowance(self.announcement.slots, self.announcement.connections)
        async with TaskGroup(wait=None) as group:
            tools = PoolTools(self.dialer, self.clock, self.violations, self.extra)
            ready_at = self.clock.elapsed() if self.cold else None
            listing = Listing(self.announcement, self.clock.elapsed(), ready_at)
            self.pool = self._pool_type(listing, lambda _: allowance, tools, group)
            for action in self.actions:
                await action()
            self.closed = sum(not one._open for one in self.dialer.connections)


@given("a pool over a replica with {slots:d} slots and {connections:d} connections")
def make_pool(context: Context, slots: int, connections: int) -> None:
    context.bench = _Bench(slots, connections)


@given("the replica has just started")
def make_cold(context: Context) -> None:
    context.bench.cold = True


class _NoAttempts:
    """A budget of second attempts that is used up."""

    def reserve(self, service: str) -> bool:
        return False

    def give_back(self, service: str) -> None:
        raise AssertionError("nothing was set aside")


@given("the budget of second attempts is used up")
def use_up_budget(context: Context) -> None:
    context.bench.extra = _NoAttempts()


@given("the target said that it is leaving before")
def make_leaving(context: Context) -> None:
    bench = context.bench
    bench.announcement = bench.announcement._replace(state=TargetState.LEAVING)


@when("{count:d} jobs of {work:d} ms are submitted with {left:d} ms left")
def submit_jobs(context: Context, count: int, work: int, left: int) -> None:
    bench = context.bench

    async def action() -> None:
        bench.replica.mean_work = work / 1000
        for _ in range(count):
            await bench.submit(left / 1000)

    bench.actions.append(action)


@when("an execution is submitted")
def submit_execution(context: Context) -> None:
    context.bench.actions.append(lambda: context.bench.submit(1, idempotent=False))


@when("{count:d} ms pass")
def pass_time(context: Context, count: int) -> None:
    context.bench.actions.append(lambda: sleep(count / 1000))


@when("job {number:d} is cancelled")
def cancel(context: Context, number: int) -> None:
    bench = context.bench
    bench.actions.append(lambda: bench.pool.cancel(f"job-{number}"))


@when("the pool is saturated for {seconds:d} s")
def saturate(context: Context, seconds: int) -> None:
    context.bench.actions.append(lambda: context.bench.saturate(seconds))


@when("the replica is {state:w}")
def start_state(context: Context, state: str, value: bool = True) -> None:
    async def action() -> None:
        setattr(context.bench.replica, state, value)

    context.bench.actions.append(action)


@when("the replica is no longer {state:w}")
def end_state(context: Context, state: str) -> None:
    start_state(context, state, False)


@when("the target says that it is leaving")
def leave(context: Context) -> None:
    bench = context.bench

    async def action() -> None:
        leaving = bench.announcement._replace(state=TargetState.LEAVING)
        bench.pool.update(Listing(leaving, bench.clock.elapsed()))

    bench.actions.append(action)


@when("the open connections go silent")
def go_silent(context: Context) -> None:
    async def action() -> None:
        for connection in context.bench.dialer.connections:
            connection.silent = True

    context.bench.actions.append(action)


@when("the target closes the open connections")
def close_connections(context: Context) -> None:
    bench = context.bench

    async def action() -> None:
        for connection in bench.dialer.connections:
            connection.replica = FakeReplica(bench.announcement, Random())
            connection.replica.gone = True

    bench.actions.append(action)


@when("the target restarts")
def restart(context: Context) -> None:
    bench = context.bench

    async def action() -> None:
        bench.replica.gone = True
        changed = bench.announcement._replace(incarnation=2)
        bench.dialer.replicas["portal-0"] = FakeReplica(changed, Random())

    bench.actions.append(action)


@when("the pool closes")
def close_pool(context: Context) -> None:
    bench = context.bench
    bench.actions.append(lambda: bench.pool.close(ConnectFailed("portal-0")))


@then('the outcomes are "{codes}"')
def check_outcomes(context: Context, codes: str) -> None:
    found = [job.code for job in context.bench.finish().jobs]
    assert found == codes.split(), found


@then('every job ended with one of "{codes}"')
def check_codes(context: Context, codes: str) -> None:
    found = {job.code for job in context.bench.finish().jobs}
    assert found == set(codes.split()), found


@then('the jobs that ended with "{code}" took no time')
def check_refused(context: Context, code: str) -> None:
    taken = [job.taken for job in context.bench.finish().jobs if job.code == code]
    assert max(taken) == timedelta(0), taken


@then("the replica never saw more than its limits")
def check_limits(context: Context) -> None:
    bench = context.bench.finish()
    assert not bench.replica.problems, bench.replica.problems
    assert not bench.violations.found


@then("{count:d} connections of the replica were closed")
def check_closed(context: Context, count: int) -> None:
    assert context.bench.finish().closed == count, context.bench.closed


@then(
    "it used at most {few:d} slots in the first {seconds:d} s and {many:d} slots "
    "at the end"
)
def check_share(context: Context, few: int, seconds: int, many: int) -> None:
    used = context.bench.finish().used
    assert max(used[: seconds * 10 - 1]) <= few, used
    assert max(used[-5:]) == many, used


@then("the last outcome is {proof} that it did not run")
def check_proof(context: Context, proof: str) -> None:
    bench = context.bench.finish()
    assert bench.jobs[-1].outcomes[0].not_run is (proof == "proof")
    assert len(bench.replica.executed) <= 1


class _Unlimited(ReplicaPool):
    """Starts every job at once."""

    def _has_free_slot(self, allowance: Allowance) -> bool:
        return True


class _Repeating(PooledConnection):
    """Repeats non-idempotent work."""

    def may_repeat(self, work: Any) -> bool:
        return True


class _RepeatingPool(ReplicaPool):
    """Uses connections that repeat non-idempotent work."""

    def _new_connection(self) -> PooledConnection:
        shared = (self._tools, self._latency, self._close_idle)
        return _Repeating(self.announcement, *shared)


async def _foreign(work: Any, knows: bool) -> Result[Any, Any]:
    return Ok(SubReply("another", 0, SNAPSHOT, (), timedelta(0)))


@given('a pool that breaks the rule "{rule}"')
def make_broken_pool(context: Context, rule: str) -> None:
    pools = {"limit_exceeded": _Unlimited, "sent_twice": _RepeatingPool}
    context.bench = _Bench(2, 25, pools.get(rule, ReplicaPool))
    if rule == "foreign_reply":
        context.bench.replica.serve = _foreign


@then('the violation "{rule}" was reported')
def check_violation(context: Context, rule: str) -> None:
    codes = {one.code for one in context.bench.finish().violations.found}
    assert codes == {rule}, codes
