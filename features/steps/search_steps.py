"""Steps for the coordination of searches on an entry instance, in virtual time."""

from collections import Counter
from datetime import timedelta
from random import Random
from typing import Any

from behave import then
from behave.runner import Context
from curio import TaskGroup
from expression import Error
from fakes.replica_fleet import (
    Crashed,
    FleetConfig,
    Frozen,
    RefusingWork,
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

_SEARCH_TIMEOUT = timedelta(milliseconds=330)


def _sent_count(kind: str) -> float:
    """Return how many sub-requests of a kind were sent: first, hedge or retry."""
    labels = {"service": FLEET_CONFIG.service, "kind": kind}
    return REGISTRY.get_sample_value("lovagetray_sub_requests_total", labels) or 0.0


@then("the search settings have the defaults of the key table")
def check_defaults(context: Context) -> None:
    defaults = SearchSettings()
    texts = {
        "search.deadline": f"{defaults.deadline / timedelta(milliseconds=1):g}ms",
        "search.require_complete": "yes" if defaults.require_complete else "no",
        "hedge.budget": f"{defaults.hedge_budget:g}",
        "hedge.percentile": f"{defaults.hedge_percentile:g}",
        "retry.budget": f"{defaults.retry_budget:g}",
        "admission.queries": str(defaults.admission_queries),
    }
    for key, text in texts.items():
        assert SETTING_KEYS[key].default == text, (key, text)
    assert parse_policy(SETTING_KEYS["search.policy"].default) == defaults.policy


def _set_condition(harness: SearchHarness, condition: str) -> None:
    """Set the condition of the replicas of shard 0."""
    match condition:
        case "crashed" | "silent":
            harness.set_shard_condition(0, Crashed())
        case "frozen":
            harness.set_shard_condition(0, Frozen())
        case "shedding":
            harness.set_shard_condition(0, RefusingWork("shed"))
        case "draining":
            harness.set_shard_condition(0, RefusingWork("draining"))
        case "slow":
            harness.set_shard_condition(0, Working(20.0))
        case "without a snapshot":
            for replica in harness.fleet.replicas[::4]:
                replica.snapshots = []


@then('a shard whose replicas are {condition} is missing because of "{reason}"')
def check_reason(context: Context, condition: str, reason: str) -> None:
    harness = SearchHarness(FLEET_CONFIG._replace(outcome_after_cancel_rate=1.0))

    async def run_searches() -> Any:
        _set_condition(harness, condition)
        if condition == "silent":
            await harness.clock.sleep(timedelta(seconds=4))
        started_at = harness.clock.monotonic_time()
        result = await harness.search()
        assert harness.clock.monotonic_time() - started_at <= _SEARCH_TIMEOUT
        return result.ok

    answer = harness.run(run_searches)
    missing = [(gap.shard, gap.reason.value) for gap in answer.coverage.missing]
    assert missing == [(0, reason)], missing
    assert len(answer.records) == 150 and not harness.violations.found


@then('a caller that requires a complete answer is refused as "{code}"')
def check_refusal(context: Context, code: str) -> None:
    harness = SearchHarness()
    harness.set_shard_condition(0, Frozen())
    failure = harness.run(lambda: harness.search(require_complete=True)).error
    assert failure.code == code and not proves_not_run(failure)


class _UpdatingFleet(ReplicaFleet):
    """Replicas that replace their snapshot as soon as sub-requests for it arrive."""

    updates = 0

    async def send(self, requests: Any, outcome_queue: Any) -> None:
        version = requests[0].snapshot.version
        if version <= self.updates:
            snapshot = Snapshot(version + 1, "m", 4 if version % 2 == 0 else 6)
            for replica in self.replicas:
                replica.snapshots = [snapshot]
                self.announce(replica)
        await super().send(requests, outcome_queue)


@then("a query whose snapshot disappears {updates:d} times restarts {restarts:d} times")
def check_restarts(context: Context, updates: int, restarts: int) -> None:
    harness = SearchHarness(fleet=_UpdatingFleet)
    harness.fleet.updates = updates
    answer = harness.run(harness.search).ok
    assert answer.snapshot.version == restarts + 1
    versions = {record.fields["version"] for record in answer.records}
    if updates == restarts:
        assert answer.coverage.complete and len(answer.records) == FLEET_CONFIG.records
        assert versions == {str(answer.snapshot.version)}
    else:
        reasons = {gap.reason.value for gap in answer.coverage.missing}
        assert reasons == {"snapshot_gone"} and not versions, answer
    assert not harness.violations.found


@then("answers stay complete when two of three replicas are frozen or crashed")
def check_one_working_replica(context: Context) -> None:
    harness = SearchHarness()

    async def run_searches() -> Any:
        answers = [(await harness.search()).ok for _ in range(50)]
        for replica in harness.fleet.replicas[:8]:
            replica.condition = Frozen() if replica.number < 4 else Crashed()
        return answers + [(await harness.search()).ok for _ in range(150)]

    incomplete = [
        answer.coverage.missing
        for answer in harness.run(run_searches)
        if answer.coverage.missing
    ]
    assert not incomplete, incomplete


class _UncheckedFanOut(FanOut):
    """A fan-out that does not check whether a reply belongs to its request."""

    def _check_reply(self, request: Any, result: Any) -> Any:
        return result


class _DuplicatingFanOut(FanOut):
    """A fan-out that merges every reply twice."""

    async def _accept(self, attempt: Any, reply: Any) -> None:
        await super()._accept(attempt, reply)
        self._merge.add(attempt.request, reply)


class _FalseCoverageFanOut(FanOut):
    """A fan-out that claims complete coverage, whatever was merged."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._merge = _FalseCoverageMerge(
            self._query.id, SNAPSHOT, self._dependencies.violations
        )


class _FalseCoverageMerge(Merge):
    """A merge that lists all shards as included."""

    def _coverage(self) -> Any:
        return super()._coverage()._replace(included=(0, 1, 2, 3), missing=())


class _FalseRefusalSearcher(Searcher):
    """A searcher that reports "not run" after the query ran."""

    def _enforce_completeness(self, query: Any, answer: Any) -> Any:
        return Error(Overloaded(timedelta(0)))


class _UnrequestedOutcomeFleet(ReplicaFleet):
    """A fleet that delivers outcomes of sub-requests that were never sent."""

    async def _deliver(self, job: Any, result: Any) -> None:
        await job.outcome_queue.put(SubOutcome("stray", result))


class _UnlimitedBucket(TokenBucket):
    """A token bucket that grants every hedge and retry."""

    def take(self, reserved: float) -> bool:
        return True


def _searcher_with(fan_out: type[FanOut]) -> type[Searcher]:
    class SearcherWithFanOut(Searcher):
        def _fan_out(self, query: Any, snapshot: Any, may_restart: bool) -> FanOut:
            return fan_out(self._dependencies, query, snapshot, may_restart)

    return SearcherWithFanOut


def _harness_that_violates(invariant: str) -> SearchHarness:
    match invariant:
        case "coverage lists the merged shards":
            harness = SearchHarness(searcher=_searcher_with(_FalseCoverageFanOut))
            harness.set_shard_condition(0, Frozen())
            return harness
        case "a shard counts once":
            return SearchHarness(searcher=_searcher_with(_DuplicatingFanOut))
        case "no unrequested outcome":
            return SearchHarness(fleet=_UnrequestedOutcomeFleet)
        case "not run means nothing sent":
            return SearchHarness(searcher=_FalseRefusalSearcher)
        case _:
            config = FLEET_CONFIG._replace(mismatched_reply_rate=1.0)
            return SearchHarness(config, searcher=_searcher_with(_UncheckedFanOut))


@then('violating "{invariant}" is reported as "{code}"')
def check_violation(context: Context, invariant: str, code: str) -> None:
    harness = _harness_that_violates(invariant)

    async def run_searches() -> None:
        for _ in range(10):
            await harness.search()

    harness.run(run_searches)
    codes = {violation.code for violation in harness.violations.found}
    assert code in codes, codes


@then('a bucket that grants every token is reported as "{code}"')
def check_exceeded_budget(context: Context, code: str) -> None:
    violations = Violations()
    bucket = _UnlimitedBucket(2.0, 2.0)
    budget = RetryBudget("hedge.budget", 2.0, 2.0, violations, bucket)
    budget.deposit(100, 5.0)
    for spent_count in range(8):
        assert len(violations.found) == 0, spent_count
        budget.spend(5.0)
    assert [violation.code for violation in violations.found] == [code]


async def _send_searches(
    harness: SearchHarness, member: str, rate: float, seconds: float
) -> Any:
    """Return the counts of complete, partial and refused searches.

    Parameters
    ----------
    rate
        Mean number of searches started in a second.
    seconds
        Time over which searches are started.
    """
    random = Random(member)
    results: Counter[str] = Counter()

    async def search() -> None:
        started_at = harness.clock.monotonic_time()
        result = await harness.search(member)
        assert harness.clock.monotonic_time() - started_at <= _SEARCH_TIMEOUT
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
        await callers.spawn(search)
    await callers.join()
    assert not any(callers.exceptions), callers.exceptions
    return results


# 4 shards with 2 replicas of 1 slot each. A sub-request occupies a slot for 11 ms,
# which limits the service to 182 searches a second.
_SLOW_FLEET = FleetConfig(targets=8, slots=1, mean_work_time=timedelta(milliseconds=10))
_CAPACITY = 182.0


@then("4 members with demands of 1, 1, 2 and 4 get shares within {percent:d} percent")
def check_shares(context: Context, percent: int) -> None:
    harness = SearchHarness(_SLOW_FLEET)

    async def run_searches() -> Any:
        async with TaskGroup() as group:
            for name, demand in zip("abcd", (1, 1, 2, 4)):
                rate = _CAPACITY * 0.4 * demand
                await group.spawn(_send_searches, harness, name, rate, 15.0)
        return group.results

    before = _sent_count("first")
    results = harness.run(run_searches)
    served = [counts["complete"] + counts["partial"] for counts in results]
    assert max(served) <= (1 + percent / 100) * min(served), results
    assert sum(counts["refused"] for counts in results) > 0
    assert _sent_count("first") - before == 4 * sum(served), "refused queries were sent"


@then("a service at 1.2 times its capacity answers {percent:d} percent of 0.8 times")
def check_throughput(context: Context, percent: int) -> None:
    served = []
    for factor in (0.8, 1.2):
        harness = SearchHarness(_SLOW_FLEET)
        counts = harness.run(
            lambda: _send_searches(harness, "a", _CAPACITY * factor, 6.0)
        )
        served.append(counts["complete"])
    assert served[1] >= served[0] * percent / 100, served


@then("load returns to normal after a burst in which every search times out")
def check_recovery(context: Context) -> None:
    harness = SearchHarness(_SLOW_FLEET)
    kinds = ("first", "hedge", "retry")
    sent_before = [_sent_count(kind) for kind in kinds]

    async def run_searches() -> Any:
        for replica in harness.fleet.replicas:
            replica.condition = Frozen()
        during = await _send_searches(harness, "a", 5 * _CAPACITY, 2.0)
        for replica in harness.fleet.replicas:
            replica.condition = Working()
        await _send_searches(harness, "a", 0.6 * _CAPACITY, 2.0)
        return during, await _send_searches(harness, "b", 0.6 * _CAPACITY, 3.0)

    during, after = harness.run(run_searches)
    sent = [_sent_count(kind) - before for kind, before in zip(kinds, sent_before)]
    assert sent[1] <= 5 + 0.05 * sent[0] and sent[2] <= 50 + 0.1 * sent[0], sent
    assert during["complete"] == 0 and not harness.violations.found
    assert after["complete"] >= 0.98 * sum(after.values()), after


@then("no hedge is sent when a shard is {condition}")
def check_no_hedge(context: Context, condition: str) -> None:
    harness = SearchHarness()

    async def run_searches() -> None:
        for number in range(50):
            if number == 30:
                _set_condition(harness, condition)
            elif number == 40:
                before = _sent_count("hedge")
            await harness.search()
        assert _sent_count("hedge") == before

    harness.run(run_searches)
