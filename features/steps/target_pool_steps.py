"""Steps that run one pool over a fake replica in virtual time."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import TaskGroup, sleep
from expression import Error, Ok, Result
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
        self.sent_at = clock.elapsed()
        self.results: list[Any] = []
        self.not_run = False
        self.taken = timedelta(0)

    async def put(self, outcome: Any) -> None:
        self.results.append(outcome.result)
        self.not_run = getattr(outcome, "not_run", False)
        self.taken = self._clock.elapsed() - self.sent_at

    @property
    def code(self) -> str:
        match self.results:
            case [Result(tag="ok")]:
                return "ok"
            case [Result(error=failure)]:
                return failure.code
        return f"{len(self.results)} outcomes"


class _Bench:
    """A pool, its replica and the outcomes of its jobs."""

    def __init__(self, slots: int, connections: int, pool: Any = ReplicaPool) -> None:
        self.clock = SystemClock()
        self.violations = Violations()
        self.announcement = make_announcement("portal-0", slots, connections)
        self.replica = FakeReplica(self.announcement, _FixedWork())
        self.dialer = FakeDialer({"portal-0": self.replica})
        self.allowance = Allowance(slots, connections)
        self.cold = False
        self.jobs: list[_Recorder] = []
        self._pool_type = pool

    def run(self, script: Callable[[], Awaitable[None]]) -> None:
        """Run a script with the pool in virtual time."""
        run_virtual(self._run, script)

    async def search(self, budget: float = 1.0, name: str = "") -> _Recorder:
        request = SubRequest(
            name or f"job-{len(self.jobs)}",
            "query",
            _SERVICE,
            "portal-0",
            0,
            SNAPSHOT,
            timedelta(seconds=budget),
            "bed",
            5,
        )
        return await self._submit(Search(request), budget)

    async def execute(self, budget: float = 1.0) -> _Recorder:
        name = f"job-{len(self.jobs)}"
        request = ExecuteRequest(
            name, _SERVICE, "portal-0", name, b"{}", timedelta(seconds=budget)
        )
        return await self._submit(Execute(request), budget)

    async def saturate(self, seconds: float) -> list[int]:
        """Keep the queue full; return the most slots used in each 100 ms."""
        used = []
        self.replica.mean_work = 0.05
        for _ in range(int(seconds * 10)):
            for _ in range(10):
                await self.search(0.15)
            self.replica.peak = 0
            await sleep(0.1)
            await self.pool.keep()
            used.append(self.replica.peak)
        return used

    async def _run(self, script: Callable[[], Awaitable[None]]) -> None:
        async with TaskGroup(wait=None) as group:
            tools = PoolTools(self.dialer, self.clock, self.violations)
            ready_at = self.clock.elapsed() if self.cold else None
            listing = Listing(self.announcement, self.clock.elapsed(), ready_at)
            self.pool = self._pool_type(listing, lambda _: self.allowance, tools, group)
            await script()
            self.closed = sum(not one._open for one in self.dialer.connections)
            self.left_open = self.replica.connections

    async def _submit(self, work: Any, budget: float) -> _Recorder:
        recorder = _Recorder(self.clock)
        self.jobs.append(recorder)
        deadline = self.clock.elapsed() + timedelta(seconds=budget)
        await self.pool.submit(Job(work, deadline, recorder))
        return recorder


@given("a pool over a replica with {slots:d} slots and {connections:d} connections")
def make_pool(context: Context, slots: int, connections: int) -> None:
    context.bench = _Bench(slots, connections)


@given(
    "a pool over a replica with {slots:d} slots and {connections:d} connections "
    "that just started"
)
def make_cold_pool(context: Context, slots: int, connections: int) -> None:
    context.bench = _Bench(slots, connections)
    context.bench.cold = True


@when(
    "{count:d} jobs of {work:d} ms with {left:d} ms left are submitted "
    "after 2 warm ones"
)
def overload(context: Context, count: int, work: int, left: int) -> None:
    bench = context.bench
    bench.replica.mean_work = work / 1000

    async def script() -> None:
        for _ in range(2):
            await bench.search()
        await sleep(0.5)
        for _ in range(count):
            await bench.search(left / 1000)
        await sleep(2)

    bench.run(script)


@when("{count:d} jobs are submitted at once and a third of them is cancelled")
def cancel_third(context: Context, count: int) -> None:
    bench = context.bench

    async def script() -> None:
        for _ in range(count):
            await bench.search()
        await sleep(0.015)
        for number in range(0, count, 3):
            await bench.pool.cancel(f"job-{number}")
        context.early = [len(one.results) for one in bench.jobs]
        await sleep(2)

    bench.run(script)


@when("a job of 10 s is cancelled after 50 ms and another is submitted")
def cancel_running(context: Context) -> None:
    bench = context.bench
    bench.replica.mean_work = 10

    async def script() -> None:
        await bench.search(30)
        await sleep(0.05)
        await bench.pool.cancel("job-0")
        bench.replica.mean_work = 0.01
        await bench.search()
        await sleep(1)

    bench.run(script)


@when("it is saturated for {seconds:d} s")
def saturate(context: Context, seconds: int) -> None:
    async def script() -> None:
        context.used = await context.bench.saturate(seconds)

    context.bench.run(script)


@when("one job is shed and then the pool is saturated for {seconds:d} s")
def shed(context: Context, seconds: int) -> None:
    bench = context.bench

    async def script() -> None:
        bench.replica.shedding = True
        await bench.search()
        await sleep(0.05)
        bench.replica.shedding = False
        context.used = await bench.saturate(seconds)

    bench.run(script)


@when("the target says it is leaving while a job runs and one waits")
def leave(context: Context) -> None:
    bench = context.bench
    bench.replica.mean_work = 0.2

    async def script() -> None:
        for _ in range(3):
            await bench.search()
        await sleep(0.05)
        leaving = bench.announcement._replace(state=TargetState.LEAVING)
        bench.pool.update(Listing(leaving, bench.clock.elapsed()))
        await bench.search()
        await sleep(1)

    bench.run(script)


@when("{which} connections go silent and a job is submitted")
def go_silent(context: Context, which: str) -> None:
    bench = context.bench

    async def script() -> None:
        for _ in range(2):
            await bench.search()
        await sleep(0.5)
        for connection in bench.dialer.connections:
            connection.silent = True
        bench.replica.frozen = which == "all"
        await bench.search()
        await sleep(2)

    bench.run(script)


@when("the target closes the idle connection and 6 s later a job is submitted")
def close_idle(context: Context) -> None:
    bench = context.bench

    async def script() -> None:
        await bench.search()
        await sleep(0.5)
        bench.dialer.connections[0].replica = FakeReplica(bench.announcement, Random())
        bench.dialer.connections[0].replica.gone = True
        await sleep(6)
        await bench.search()
        await sleep(1)

    bench.run(script)


@when("an execution meets {fault}")
def execute(context: Context, fault: str) -> None:
    bench = context.bench

    async def refuse(announcement: Any, limit: timedelta) -> Any:
        return Error(ConnectFailed(announcement.target))

    async def script() -> None:
        match fault:
            case "a silent connection":
                await bench.search()
                await sleep(0.5)
                bench.dialer.connections[0].silent = True
            case "a refused connection":
                bench.dialer.open = refuse
            case "a shedding target":
                bench.replica.shedding = True
        await bench.execute()
        await sleep(2)

    bench.run(script)


@when("{count:d} jobs of 10 s are submitted and the pool closes")
def close_pool(context: Context, count: int) -> None:
    bench = context.bench
    bench.replica.mean_work = 10

    async def script() -> None:
        for _ in range(count):
            await bench.search(30)
        await sleep(0.05)
        await bench.pool.close(ConnectFailed("portal-0"))
        await sleep(0.05)

    bench.run(script)


@when("a reply names another request and two more jobs are submitted")
def cross(context: Context) -> None:
    bench = context.bench

    async def script() -> None:
        bench.replica.crossing = True
        await bench.search()
        await sleep(0.2)
        bench.replica.crossing = False
        for _ in range(2):
            await bench.search()
        await sleep(1)
        assert bench.jobs[0].code == "wrong_reply", bench.jobs[0].code

    bench.run(script)


@then("every job has one outcome")
@then("every job that was not cancelled has one outcome")
def check_outcomes(context: Context) -> None:
    early = getattr(context, "early", None)
    for number, job in enumerate(context.bench.jobs):
        cancelled = early is not None and number % 3 == 0
        expected = early[number] if cancelled else 1
        assert len(job.results) == expected, (number, job.results)


@then('some jobs failed with "{code}" within 1 ms')
def check_refused(context: Context, code: str) -> None:
    refused = [job for job in context.bench.jobs if job.code == code]
    assert refused
    assert all(job.taken < timedelta(milliseconds=1) for job in refused)


@then('no job failed with "{code}"')
def check_no_code(context: Context, code: str) -> None:
    assert code not in [job.code for job in context.bench.jobs]


@then("the replica never saw more than its limits")
def check_limits(context: Context) -> None:
    assert not context.bench.replica.problems, context.bench.replica.problems
    assert not context.bench.violations.found


@then("only the other job has an outcome, and it succeeded")
def check_other(context: Context) -> None:
    assert [job.code for job in context.bench.jobs] == ["0 outcomes", "ok"]


@then("{count:d} connections of the replica were closed")
def check_closed(context: Context, count: int) -> None:
    assert context.bench.closed == count, context.bench.closed


@then(
    "it used at most {few:d} slots in the first {seconds:d} s and {many:d} slots "
    "at the end"
)
def check_share(context: Context, few: int, seconds: int, many: int) -> None:
    assert max(context.used[: seconds * 10 - 1]) <= few, context.used
    assert max(context.used[-5:]) == many, context.used


@then('the running job succeeded and later ones failed with "draining"')
def check_drained(context: Context) -> None:
    codes = [job.code for job in context.bench.jobs]
    assert codes == ["ok", "ok", "refused_by_target", "refused_by_target"], codes


@then("the replica has no open connection")
def check_no_connection(context: Context) -> None:
    assert context.bench.left_open == 0, context.bench.left_open


@then('the last job ended with "{code}"')
def check_last(context: Context, code: str) -> None:
    assert context.bench.jobs[-1].code == code, context.bench.jobs[-1].code


@then('its outcome is "{code}" and {proof} that it did not run')
def check_execution(context: Context, code: str, proof: str) -> None:
    job = context.bench.jobs[-1]
    assert job.code == code, job.code
    assert job.not_run is (proof == "proof")
    assert len(context.bench.replica.executed) <= 1


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
        return _Repeating(
            self.announcement, self._tools, self._latency, self._close_idle
        )


async def _foreign(work: Any, knows: bool) -> Result[Any, Any]:
    return Ok(SubReply("another", 0, SNAPSHOT, (), timedelta(0)))


@given('a pool that breaks the rule "{rule}"')
def make_broken_pool(context: Context, rule: str) -> None:
    pools = {"limit_exceeded": _Unlimited, "sent_twice": _RepeatingPool}
    context.bench = _Bench(2, 25, pools.get(rule, ReplicaPool))
    if rule == "foreign_reply":
        context.bench.replica.serve = _foreign


@when("it runs 6 jobs")
def run_six(context: Context) -> None:
    bench = context.bench

    async def script() -> None:
        for _ in range(6):
            await bench.search()
        await sleep(1)
        for connection in bench.dialer.connections:
            connection.silent = True
        await bench.execute()
        await sleep(2)

    bench.run(script)


@then('the violation "{rule}" was reported')
def check_violation(context: Context, rule: str) -> None:
    codes = {one.code for one in context.bench.violations.found}
    assert codes == {rule}, codes
