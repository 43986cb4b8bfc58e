"""Steps for the entry's side of a search, in virtual time."""

from collections import Counter
from datetime import timedelta
from random import Random
from typing import Any

from behave import then
from behave.runner import Context
from curio import TaskGroup
from expression import Error
from fakes.replica_fleet import (
    FleetConfig,
    Frozen,
    Lost,
    Refusing,
    ReplicaFleet,
    Working,
)
from fakes.search_harness import FLEET_CONFIG, SNAPSHOT, SearchHarness
from prometheus_client import REGISTRY

from lovagetray._errors import Overloaded, proves_not_run
from lovagetray._types import Snapshot
from lovagetray._violations import Violations
from lovagetray.queries.search import (
    FanOut,
    Merge,
    RetryBudget,
    Searcher,
    SearchSettings,
    TokenBucket,
    parse_policy,
)
from lovagetray.state import SETTING_KEYS
from lovagetray.targets import SubOutcome

_LIMIT = timedelta(milliseconds=330)


def _sent(kind: str) -> float:
    labels = {"service": FLEET_CONFIG.service, "kind": kind}
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
    assert parse_policy(SETTING_KEYS["search.policy"].default) == found.policy


def _fail_shard(harness: SearchHarness, condition: str) -> None:
    match condition:
        case "crashed" | "silent":
            harness.set_shard_condition(0, Lost())
        case "frozen":
            harness.set_shard_condition(0, Frozen())
        case "shedding":
            harness.set_shard_condition(0, Refusing("shed"))
        case "draining":
            harness.set_shard_condition(0, Refusing("draining"))
        case "slow":
            harness.set_shard_condition(0, Working(20.0))
        case "rolled":
            for replica in harness.fleet.replicas[::4]:
                replica.snapshots = []


@then('a shard with {condition} replicas is missing because of "{reason}"')
def check_reason(context: Context, condition: str, reason: str) -> None:
    harness = SearchHarness(FLEET_CONFIG._replace(outcome_after_cancel_rate=1.0))

    async def work() -> Any:
        _fail_shard(harness, condition)
        if condition == "silent":
            await harness.clock.sleep(timedelta(seconds=4))
        started = harness.clock.monotonic_time()
        result = await harness.search()
        assert harness.clock.monotonic_time() - started <= _LIMIT
        return result.ok

    answer = harness.run(work)
    missing = [(gap.shard, gap.reason.value) for gap in answer.coverage.missing]
    assert missing == [(0, reason)], missing
    assert len(answer.records) == 150 and not harness.violations.found


@then('a caller that requires a complete answer is refused as "{code}"')
def check_refusal(context: Context, code: str) -> None:
    harness = SearchHarness()
    harness.set_shard_condition(0, Frozen())
    failure = harness.run(lambda: harness.search(require_complete=True)).error
    assert failure.code == code and not proves_not_run(failure)


class _Rolling(ReplicaFleet):
    """Replaces its snapshot by a newer one as soon as sub-requests arrive."""

    rolls = 0

    async def send(self, requests: Any, outcome_queue: Any) -> None:
        version = requests[0].snapshot.version
        if version <= self.rolls:
            new = Snapshot(version + 1, "m", 4 if version % 2 == 0 else 6)
            for replica in self.replicas:
                replica.snapshots = [new]
                self.announce(replica)
        await super().send(requests, outcome_queue)


@then("a query whose snapshot disappears {rolls:d} times restarts {restarts:d} times")
def check_restarts(context: Context, rolls: int, restarts: int) -> None:
    harness = SearchHarness(fleet=_Rolling)
    harness.fleet.rolls = rolls
    answer = harness.run(harness.search).ok
    assert answer.snapshot.version == restarts + 1
    versions = {record.fields["version"] for record in answer.records}
    if rolls == restarts:
        assert answer.coverage.complete and len(answer.records) == FLEET_CONFIG.records
        assert versions == {str(answer.snapshot.version)}
    else:
        reasons = {gap.reason.value for gap in answer.coverage.missing}
        assert reasons == {"snapshot_gone"} and not versions, answer
    assert not harness.violations.found


@then("answers stay complete when two of three replicas are frozen or crashed")
def check_one_replica(context: Context) -> None:
    harness = SearchHarness()

    async def work() -> Any:
        answers = [(await harness.search()).ok for _ in range(50)]
        for replica in harness.fleet.replicas[:8]:
            replica.condition = Frozen() if replica.number < 4 else Lost()
        return answers + [(await harness.search()).ok for _ in range(150)]

    lost = [one.coverage.missing for one in harness.run(work) if one.coverage.missing]
    assert not lost, lost


class _TrustingFanOut(FanOut):
    """Takes every reply for the one that was asked for."""

    def _check_reply(self, request: Any, result: Any) -> Any:
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
        self._merge = _LyingMerge(
            self._query.id, SNAPSHOT, self._dependencies.violations
        )


class _LyingMerge(Merge):
    def _coverage(self) -> Any:
        return super()._coverage()._replace(included=(0, 1, 2, 3), missing=())


class _RefusingSearcher(Searcher):
    """Says "not run" after the query ran."""

    def _enforce_completeness(self, query: Any, answer: Any) -> Any:
        return Error(Overloaded(timedelta(0)))


class _StrayFleet(ReplicaFleet):
    """Delivers outcomes of sub-requests that nobody sent."""

    async def _deliver(self, job: Any, result: Any) -> None:
        await job.outcome_queue.put(SubOutcome("stray", result))


class _EndlessBucket(TokenBucket):
    """Grants every extra sub-request."""

    def take(self, reserved: float) -> bool:
        return True


def _searcher_with(fan_out: type[FanOut]) -> type[Searcher]:
    class WithFanOut(Searcher):
        def _fan_out(self, query: Any, snapshot: Any, may_restart: bool) -> FanOut:
            return fan_out(self._dependencies, query, snapshot, may_restart)

    return WithFanOut


def _bench_that_breaks(rule: str) -> SearchHarness:
    match rule:
        case "coverage is what is merged":
            harness = SearchHarness(searcher=_searcher_with(_LyingFanOut))
            harness.set_shard_condition(0, Frozen())
            return harness
        case "a shard counts once":
            return SearchHarness(searcher=_searcher_with(_DoublingFanOut))
        case "no foreign outcome":
            return SearchHarness(fleet=_StrayFleet)
        case "not run means nothing sent":
            return SearchHarness(searcher=_RefusingSearcher)
        case _:
            crossed = FLEET_CONFIG._replace(mismatched_reply_rate=1.0)
            return SearchHarness(crossed, searcher=_searcher_with(_TrustingFanOut))


@then('breaking "{rule}" is reported as "{code}"')
def check_violation(context: Context, rule: str, code: str) -> None:
    harness = _bench_that_breaks(rule)

    async def work() -> None:
        for _ in range(10):
            await harness.search()

    harness.run(work)
    found = {violation.code for violation in harness.violations.found}
    assert code in found, found


@then('a bucket that grants every token is reported as "{code}"')
def check_overspending(context: Context, code: str) -> None:
    violations = Violations()
    bucket = _EndlessBucket(2.0, 2.0)
    budget = RetryBudget("hedge.budget", 2.0, 2.0, violations, bucket)
    budget.earn(100, 5.0)
    for spent in range(8):
        assert len(violations.found) == 0, spent
        budget.spend(5.0)
    assert [violation.code for violation in violations.found] == [code]


async def _offer(
    harness: SearchHarness, member: str, rate: float, seconds: float
) -> Any:
    """Return how many searches at a rate were complete, partial and refused."""
    random = Random(member)
    results: Counter[str] = Counter()

    async def one() -> None:
        started = harness.clock.monotonic_time()
        result = await harness.search(member)
        assert harness.clock.monotonic_time() - started <= _LIMIT
        if result.is_ok():
            complete = result.ok.coverage.complete
            results["complete" if complete else "partial"] += 1
        else:
            assert proves_not_run(result.error), result.error
            results["refused"] += 1

    callers = TaskGroup()
    end = harness.clock.monotonic_time() + timedelta(seconds=seconds)
    while harness.clock.monotonic_time() < end:
        await harness.clock.sleep(timedelta(seconds=random.expovariate(rate)))
        await callers.spawn(one)
    await callers.join()
    assert not any(callers.exceptions), callers.exceptions
    return results


# 4 shards with 2 replicas of 1 slot: 11 ms of work bound it to 182 searches a second.
_SLOW = FleetConfig(targets=8, slots=1, mean_work_time=timedelta(milliseconds=10))
_CAPACITY = 182.0


@then("4 members with demands of 1, 1, 2 and 4 get shares within {percent:d} percent")
def check_shares(context: Context, percent: int) -> None:
    harness = SearchHarness(_SLOW)

    async def work() -> Any:
        async with TaskGroup() as group:
            for name, demand in zip("abcd", (1, 1, 2, 4)):
                rate = _CAPACITY * 0.4 * demand
                await group.spawn(_offer, harness, name, rate, 15.0)
        return group.results

    firsts = _sent("first")
    results = harness.run(work)
    served = [one["complete"] + one["partial"] for one in results]
    assert max(served) <= (1 + percent / 100) * min(served), results
    assert sum(one["refused"] for one in results) > 0
    assert _sent("first") - firsts == 4 * sum(served), "refused queries sent something"


@then("a service at 1.2 times its capacity answers {percent:d} percent of 0.8 times")
def check_throughput(context: Context, percent: int) -> None:
    served = []
    for share in (0.8, 1.2):
        harness = SearchHarness(_SLOW)
        found = harness.run(lambda: _offer(harness, "a", _CAPACITY * share, 6.0))
        served.append(found["complete"])
    assert served[1] >= served[0] * percent / 100, served


@then("load falls back by itself after a burst that makes everything time out")
def check_recovery(context: Context) -> None:
    harness = SearchHarness(_SLOW)
    kinds = ("first", "hedge", "retry")
    before = [_sent(kind) for kind in kinds]

    async def work() -> Any:
        for replica in harness.fleet.replicas:
            replica.condition = Frozen()
        during = await _offer(harness, "a", 5 * _CAPACITY, 2.0)
        for replica in harness.fleet.replicas:
            replica.condition = Working()
        await _offer(harness, "a", 0.6 * _CAPACITY, 2.0)
        return during, await _offer(harness, "b", 0.6 * _CAPACITY, 3.0)

    during, after = harness.run(work)
    sent = [_sent(kind) - old for kind, old in zip(kinds, before)]
    assert sent[1] <= 5 + 0.05 * sent[0] and sent[2] <= 50 + 0.1 * sent[0], sent
    assert during["complete"] == 0 and not harness.violations.found
    assert after["complete"] >= 0.98 * sum(after.values()), after


@then("no hedge is sent when a shard is {condition}")
def check_no_hedge(context: Context, condition: str) -> None:
    harness = SearchHarness()

    async def work() -> None:
        for number in range(50):
            if number == 30:
                _fail_shard(harness, condition)
            elif number == 40:
                before = _sent("hedge")
            await harness.search()
        assert _sent("hedge") == before

    harness.run(work)
