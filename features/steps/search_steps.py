"""Steps for the entry's side of a search, in virtual time."""

from collections import Counter
from datetime import timedelta
from random import Random
from typing import Any

from behave import then
from behave.runner import Context
from curio import TaskGroup
from expression import Error
from fakes.replica_fleet import Frozen, Lost, Refusing, ReplicaFleet, Shape, Working
from fakes.search_bench import SHAPE, SNAPSHOT, SearchBench
from prometheus_client import REGISTRY

from lovagetray._errors import Overloaded, proves_not_run
from lovagetray._types import Snapshot
from lovagetray._violations import Violations
from lovagetray.queries.search import (
    ExtraBudget,
    FanOut,
    Merge,
    Searcher,
    SearchSettings,
    TokenBucket,
    policy_named,
)
from lovagetray.state import SETTING_KEYS
from lovagetray.targets import SubOutcome

_LIMIT = timedelta(milliseconds=330)


def _sent(kind: str) -> float:
    labels = {"service": SHAPE.service, "kind": kind}
    return REGISTRY.get_sample_value("lovagetray_sub_requests_total", labels) or 0.0


@then("the search settings have the defaults of the key table")
def check_defaults(context: Context) -> None:
    found = SearchSettings()
    written = {
        "search.deadline": f"{found.deadline / timedelta(milliseconds=1):g}ms",
        "search.require_complete": "yes" if found.require_complete else "no",
        "hedge.budget": f"{found.hedge_budget:g}",
        "hedge.percentile": f"{found.hedge_percentile:g}",
        "retry.budget": f"{found.retry_budget:g}",
        "admission.queries": str(found.admission_queries),
    }
    for name, value in written.items():
        assert SETTING_KEYS[name].default == value, (name, value)
    assert policy_named(SETTING_KEYS["search.policy"].default) == found.policy


def _fail_shard(bench: SearchBench, condition: str) -> None:
    match condition:
        case "crashed" | "silent":
            bench.set_shard(0, Lost())
        case "frozen":
            bench.set_shard(0, Frozen())
        case "shedding":
            bench.set_shard(0, Refusing("shed"))
        case "draining":
            bench.set_shard(0, Refusing("draining"))
        case "slow":
            bench.set_shard(0, Working(20.0))
        case "rolled":
            for replica in bench.fleet.replicas[::4]:
                replica.versions = []


@then('a shard with {condition} replicas is missing because of "{reason}"')
def check_reason(context: Context, condition: str, reason: str) -> None:
    bench = SearchBench(SHAPE._replace(late=1.0))

    async def work() -> Any:
        _fail_shard(bench, condition)
        if condition == "silent":
            await bench.clock.sleep(timedelta(seconds=4))
        started = bench.clock.elapsed()
        result = await bench.search()
        assert bench.clock.elapsed() - started <= _LIMIT
        return result.ok

    answer = bench.run(work)
    missing = [(gap.shard, gap.reason.value) for gap in answer.coverage.missing]
    assert missing == [(0, reason)], missing
    assert len(answer.records) == 150 and not bench.violations.found


@then('a caller that requires a complete answer is refused as "{code}"')
def check_refusal(context: Context, code: str) -> None:
    bench = SearchBench()
    bench.set_shard(0, Frozen())
    failure = bench.run(lambda: bench.search(require_complete=True)).error
    assert failure.code == code and not proves_not_run(failure)


class _Rolling(ReplicaFleet):
    """Replaces its snapshot by a newer one as soon as sub-requests arrive."""

    rolls = 0

    async def send(self, requests: Any, inbox: Any) -> None:
        version = requests[0].snapshot.version
        if version <= self.rolls:
            new = Snapshot(version + 1, "m", 4 if version % 2 == 0 else 6)
            for replica in self.replicas:
                replica.versions = [new]
                self.announce(replica)
        await super().send(requests, inbox)


@then("a query whose snapshot disappears {rolls:d} times restarts {restarts:d} times")
def check_restarts(context: Context, rolls: int, restarts: int) -> None:
    bench = SearchBench(fleet=_Rolling)
    bench.fleet.rolls = rolls
    answer = bench.run(bench.search).ok
    assert answer.snapshot.version == restarts + 1
    versions = {record.fields["version"] for record in answer.records}
    if rolls == restarts:
        assert answer.coverage.complete and len(answer.records) == SHAPE.records
        assert versions == {str(answer.snapshot.version)}
    else:
        reasons = {gap.reason.value for gap in answer.coverage.missing}
        assert reasons == {"snapshot_gone"} and not versions, answer
    assert not bench.violations.found


@then("answers stay complete when two of three replicas are frozen or crashed")
def check_one_replica(context: Context) -> None:
    bench = SearchBench()

    async def work() -> Any:
        answers = [(await bench.search()).ok for _ in range(50)]
        for replica in bench.fleet.replicas[:8]:
            replica.condition = Frozen() if replica.number < 4 else Lost()
        return answers + [(await bench.search()).ok for _ in range(150)]

    lost = [one.coverage.missing for one in bench.run(work) if one.coverage.missing]
    assert not lost, lost


class _TrustingFanOut(FanOut):
    """Takes every reply for the one that was asked for."""

    def _checked(self, request: Any, result: Any) -> Any:
        return result


class _DoublingFanOut(FanOut):
    """Merges every reply twice."""

    async def _accept(self, attempt: Any, reply: Any) -> None:
        await super()._accept(attempt, reply)
        self._merge.add(attempt.request, reply)


class _LyingFanOut(FanOut):
    """States complete coverage, whatever was merged."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._merge = _LyingMerge(self._query.id, SNAPSHOT, self._shared.violations)


class _LyingMerge(Merge):
    def _coverage(self) -> Any:
        return super()._coverage()._replace(included=(0, 1, 2, 3), missing=())


class _RefusingSearcher(Searcher):
    """Says "not run" after the query ran."""

    def _conclude(self, query: Any, answer: Any) -> Any:
        return Error(Overloaded(timedelta(0)))


class _StrayFleet(ReplicaFleet):
    """Delivers outcomes of sub-requests that nobody sent."""

    async def _deliver(self, job: Any, result: Any) -> None:
        await job.inbox.put(SubOutcome("stray", result))


class _EndlessBucket(TokenBucket):
    """Grants every extra sub-request."""

    def take(self, keep: float) -> bool:
        return True


def _searcher_with(fan_out: type[FanOut]) -> type[Searcher]:
    class WithFanOut(Searcher):
        def _fan_out(self, query: Any, snapshot: Any, may_restart: bool) -> FanOut:
            return fan_out(self._shared, query, snapshot, may_restart)

    return WithFanOut


def _bench_that_breaks(rule: str) -> SearchBench:
    match rule:
        case "coverage is what is merged":
            bench = SearchBench(searcher=_searcher_with(_LyingFanOut))
            bench.set_shard(0, Frozen())
            return bench
        case "a shard counts once":
            return SearchBench(searcher=_searcher_with(_DoublingFanOut))
        case "no foreign outcome":
            return SearchBench(fleet=_StrayFleet)
        case "not run means nothing sent":
            return SearchBench(searcher=_RefusingSearcher)
        case _:
            crossed = SHAPE._replace(crossed=1.0)
            return SearchBench(crossed, searcher=_searcher_with(_TrustingFanOut))


@then('breaking "{rule}" is reported as "{code}"')
def check_violation(context: Context, rule: str, code: str) -> None:
    bench = _bench_that_breaks(rule)

    async def work() -> None:
        for _ in range(10):
            await bench.search()

    bench.run(work)
    found = {violation.code for violation in bench.violations.found}
    assert code in found, found


@then('a bucket that grants every token is reported as "{code}"')
def check_overspending(context: Context, code: str) -> None:
    violations = Violations()
    bucket = _EndlessBucket(2.0, 2.0)
    budget = ExtraBudget("hedge.budget", 2.0, 2.0, violations, bucket)
    budget.earn(100, 5.0)
    for spent in range(8):
        assert len(violations.found) == 0, spent
        budget.spend(5.0)
    assert [violation.code for violation in violations.found] == [code]


async def _offer(bench: SearchBench, member: str, rate: float, seconds: float) -> Any:
    """Return how many searches at a rate were complete, partial and refused."""
    random = Random(member)
    results: Counter[str] = Counter()

    async def one() -> None:
        started = bench.clock.elapsed()
        result = await bench.search(member)
        assert bench.clock.elapsed() - started <= _LIMIT
        if result.is_ok():
            complete = result.ok.coverage.complete
            results["complete" if complete else "partial"] += 1
        else:
            assert proves_not_run(result.error), result.error
            results["refused"] += 1

    callers = TaskGroup()
    end = bench.clock.elapsed() + timedelta(seconds=seconds)
    while bench.clock.elapsed() < end:
        await bench.clock.sleep(timedelta(seconds=random.expovariate(rate)))
        await callers.spawn(one)
    await callers.join()
    assert not any(callers.exceptions), callers.exceptions
    return results


# 4 shards with 2 replicas of 1 slot: 11 ms of work bound it to 182 searches a second.
_SLOW = Shape(targets=8, slots=1, work=timedelta(milliseconds=10))
_CAPACITY = 182.0


@then("4 members with demands of 1, 1, 2 and 4 get shares within {percent:d} percent")
def check_shares(context: Context, percent: int) -> None:
    bench = SearchBench(_SLOW)

    async def work() -> Any:
        async with TaskGroup() as group:
            for name, demand in zip("abcd", (1, 1, 2, 4)):
                rate = _CAPACITY * 0.4 * demand
                await group.spawn(_offer, bench, name, rate, 15.0)
        return group.results

    firsts = _sent("first")
    results = bench.run(work)
    served = [one["complete"] + one["partial"] for one in results]
    assert max(served) <= (1 + percent / 100) * min(served), results
    assert sum(one["refused"] for one in results) > 0
    assert _sent("first") - firsts == 4 * sum(served), "refused queries sent something"


@then("a service at 1.2 times its capacity answers {percent:d} percent of 0.8 times")
def check_throughput(context: Context, percent: int) -> None:
    served = []
    for share in (0.8, 1.2):
        bench = SearchBench(_SLOW)
        found = bench.run(lambda: _offer(bench, "a", _CAPACITY * share, 6.0))
        served.append(found["complete"])
    assert served[1] >= served[0] * percent / 100, served


@then("load falls back by itself after a burst that makes everything time out")
def check_recovery(context: Context) -> None:
    bench = SearchBench(_SLOW)
    kinds = ("first", "hedge", "retry")
    before = [_sent(kind) for kind in kinds]

    async def work() -> Any:
        for replica in bench.fleet.replicas:
            replica.condition = Frozen()
        during = await _offer(bench, "a", 5 * _CAPACITY, 2.0)
        for replica in bench.fleet.replicas:
            replica.condition = Working()
        await _offer(bench, "a", 0.6 * _CAPACITY, 2.0)
        return during, await _offer(bench, "b", 0.6 * _CAPACITY, 3.0)

    during, after = bench.run(work)
    sent = [_sent(kind) - old for kind, old in zip(kinds, before)]
    assert sent[1] <= 5 + 0.05 * sent[0] and sent[2] <= 50 + 0.1 * sent[0], sent
    assert during["complete"] == 0 and not bench.violations.found
    assert after["complete"] >= 0.98 * sum(after.values()), after


@then("no hedge is sent when a shard is {condition}")
def check_no_hedge(context: Context, condition: str) -> None:
    bench = SearchBench()

    async def work() -> None:
        for number in range(50):
            if number == 30:
                _fail_shard(bench, condition)
            elif number == 40:
                before = _sent("hedge")
            await bench.search()
        assert _sent("hedge") == before

    bench.run(work)
