"""Randomised runs of the search path in virtual time, with known records."""

from collections import Counter
from collections.abc import Sequence
from datetime import timedelta
from logging import CRITICAL
from pathlib import Path
from random import Random
from sys import exit as end_process, path
from typing import NamedTuple

from curio import CancelledError, TaskGroup
from expression import Result
from prometheus_client import REGISTRY
from structlog import configure, make_filtering_bound_logger

from lovagetray import SystemClock
from lovagetray._types import Answer, MissingReason, SearchRequest, Snapshot
from lovagetray._violations import Violations
from lovagetray.queries.search import Searcher
from lovagetray.state import TargetDirectory

path.insert(0, str(Path(__file__).parent.parent / "features"))

from fakes.replica_fleet import (  # noqa: E402
    FleetConfig,
    Frozen,
    Lost,
    Refusing,
    Replica,
    ReplicaFleet,
    Working,
)
from fakes.virtual_time import run_in_virtual_time  # noqa: E402
from seeded_runs import SeedReport, run_seeds  # noqa: E402

FAULTS = (
    "straggler",
    "frozen",
    "lost",
    "shed",
    "drain",
    "cold start",
    "version change",
    "repartition",
    "overload",
)
# A search may end this much after its deadline, for the rounding of timedeltas.
_ROUNDING = timedelta(microseconds=10)


class RunCounts(NamedTuple):
    """What one run did, and what it found wrong."""

    queries: int
    complete: int
    partial: int
    refused: int
    restarts: int
    sub_requests: int
    missing: dict[str, int]
    problems: tuple[str, ...]


class SearchRun:
    """One seeded run: two searchers share the replicas of one service."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._clock = SystemClock()
        self._directory = TargetDirectory(timedelta(seconds=3))
        self._violations = Violations()
        self._problems: list[str] = []
        self._counts: Counter[str] = Counter()
        self._faults = self._random.sample(FAULTS, self._random.choice((1, 2)))
        config = FleetConfig(
            targets=self._random.choice((12, 18, 24)),
            slots=self._random.choice((2, 4, 5)),
            mean_work_time=timedelta(milliseconds=self._random.choice((2, 5, 10))),
            mismatched_reply_rate=self._random.choice((0.0, 0.02)),
            outcome_after_cancel_rate=self._random.choice((0.0, 0.5)),
            load_reports=self._random.choice(("true", "frozen", "wrong")),
        )
        self._fleet = ReplicaFleet(config, self._clock, self._directory, self._random)
        self._searchers = [
            Searcher(
                self._directory,
                self._fleet,
                self._clock,
                self._violations,
                random=Random(self._random.random()),
            )
            for _ in range(2)
        ]
        self._version = Snapshot(
            1, "mod", config.targets // self._random.choice((2, 3))
        )
        self._rate = 50.0

    async def run(self) -> RunCounts:
        """Return the counts after 5 s of searches with one or two faults."""
        restarts_before = _restarts()
        async with TaskGroup(wait=None) as group:
            await self._fleet.start(group, self._version)
            for fault in self._faults:
                await group.spawn(self._inject, fault)
            callers = TaskGroup()
            end = self._clock.monotonic_time() + timedelta(seconds=5)
            while self._clock.monotonic_time() < end:
                pause = self._random.expovariate(self._rate)
                await self._clock.sleep(timedelta(seconds=pause))
                await callers.spawn(self._search)
            await callers.join()
            self._problems += _crashes(callers)
        self._problems += _crashes(group)
        for replica in self._fleet.replicas:
            if replica.peak_in_flight > self._fleet.config.slots:
                self._problems.append("slots exceeded")
        self._problems += map(repr, self._violations.found)
        counts = self._counts
        return RunCounts(
            queries=counts["queries"],
            complete=counts["complete"],
            partial=counts["partial"],
            refused=counts["refused"],
            restarts=_restarts() - restarts_before,
            sub_requests=self._fleet.sent,
            missing={one.value: counts[one.value] for one in MissingReason},
            problems=tuple(self._problems),
        )

    async def _search(self) -> None:
        self._counts["queries"] += 1
        budget = timedelta(milliseconds=self._random.choice((40, 330, 330, 1000)))
        request = SearchRequest(
            request_id=f"q{self._counts['queries']}",
            service=self._fleet.config.service,
            member=f"m{self._random.randrange(3)}",
            terms="all",
            limit=10_000,
            time_left=budget,
            require_complete=self._random.random() < 0.1,
        )
        started = self._clock.monotonic_time()
        result = await self._random.choice(self._searchers).search(request)
        if self._clock.monotonic_time() - started > budget + _ROUNDING:
            self._problems.append(f"deadline missed: {request.request_id}")
        match result:
            case Result(tag="ok", ok=answer):
                complete = answer.coverage.complete
                self._counts["complete" if complete else "partial"] += 1
                for gap in answer.coverage.missing:
                    self._counts[gap.reason.value] += 1
                self._check(request, answer)
            case Result(error=failure):
                self._counts["refused"] += 1
                if failure.code not in ("overloaded", "incomplete"):
                    self._problems.append(f"refused: {failure.code}")

    def _check(self, request: SearchRequest, answer: Answer) -> None:
        """Compare the records of an answer with those its coverage promises."""
        expected = sorted(
            record
            for shard in answer.coverage.included
            for record in self._fleet.records(answer.snapshot, shard)
        )
        if sorted(answer.records) != expected:
            self._problems.append(f"records differ: {request.request_id}")
        if answer.request_id != request.request_id:
            self._problems.append(f"foreign answer: {request.request_id}")

    async def _inject(self, fault: str) -> None:
        random = self._random
        await self._clock.sleep(timedelta(seconds=random.uniform(0.5, 2.0)))
        some = random.sample(
            self._fleet.replicas, random.randint(1, self._fleet.config.targets // 3)
        )
        lasting = timedelta(seconds=random.uniform(0.3, 2.0))
        match fault:
            case "straggler":
                await self._for_a_time(some[:1], Working(10.0), lasting)
            case "frozen":
                await self._for_a_time(some, Frozen(random.random() < 0.5), lasting)
            case "lost":
                await self._for_a_time(some, Lost(), lasting)
            case "shed":
                await self._for_a_time(some, Refusing("shed"), lasting)
            case "cold start":
                await self._for_a_time(some, Refusing("starting"), lasting)
                await self._for_a_time(some, Working(5.0), lasting)
            case "drain":
                for replica in some:
                    replica.condition = Refusing("draining")
                    self._fleet.announce(replica, "leaving")
            case "version change":
                await self._roll(self._version.shards)
            case "repartition":
                shards = {4: 6, 6: 4, 8: 12, 9: 6, 12: 8}
                await self._roll(shards[self._version.shards])
            case "overload":
                self._rate = 50.0 * random.uniform(5.0, 10.0)
                await self._clock.sleep(timedelta(seconds=0.5))
                self._rate = 50.0

    async def _for_a_time(
        self, some: Sequence[Replica], condition: object, lasting: timedelta
    ) -> None:
        for replica in some:
            replica.condition = condition
        await self._clock.sleep(lasting)
        for replica in some:
            replica.condition = Working()

    async def _roll(self, shards: int) -> None:
        """Give a newer snapshot to every replica, then take the old ones away."""
        old = self._version
        self._version = Snapshot(old.version + 1, f"mod-{shards}", shards)
        new = self._version
        heard_at_once = self._random.choice((0.5, 1.0))
        for replica in self._fleet.replicas:
            await self._clock.sleep(timedelta(milliseconds=20))
            replica.snapshots = [*replica.snapshots, new]
            if self._random.random() < heard_at_once:
                self._fleet.announce(replica)
        for replica in self._fleet.replicas:
            if self._random.random() > heard_at_once:
                await self._clock.sleep(timedelta(milliseconds=5))
            replica.snapshots = [one for one in replica.snapshots if one != old]


def _crashes(group: TaskGroup) -> list[str]:
    return [
        repr(one)
        for one in group.exceptions
        if one is not None and not isinstance(one, CancelledError)
    ]


def _restarts() -> int:
    name = "lovagetray_query_restarts_total"
    return int(REGISTRY.get_sample_value(name, {"service": FleetConfig().service}) or 0)


def run_seed(seed: int) -> RunCounts:
    """Return the counts of one run."""
    configure(wrapper_class=make_filtering_bound_logger(CRITICAL))
    return run_in_virtual_time(SearchRun(seed).run)


def _report(seed: int) -> SeedReport:
    counts = run_seed(seed)
    numbers = counts._asdict()
    problems = numbers.pop("problems")
    return SeedReport(problems, {**numbers.pop("missing"), **numbers})


if __name__ == "__main__":
    end_process(run_seeds(str(__doc__), _report))
