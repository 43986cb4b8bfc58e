"""Randomised runs of the search path in virtual time.

The records of every shard are known, so that the records of answers can be checked.
"""

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
    Crashed,
    FleetConfig,
    Frozen,
    RefusingWork,
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
# Time after its deadline at which a search may end, as timedeltas are rounded.
_DEADLINE_TOLERANCE = timedelta(microseconds=10)


class RunReport(NamedTuple):
    """The counts of one run, and the problems that it found.

    Parameters
    ----------
    complete, partial, refused
        Searches by their result.
    restarts
        Queries that began again with another snapshot.
    missing
        Shards that answers do not include, by the reason that the answer gives.
    problems
        Descriptions of broken invariants; empty if all held.
    """

    queries: int
    complete: int
    partial: int
    refused: int
    restarts: int
    sub_requests: int
    missing: dict[str, int]
    problems: tuple[str, ...]


class SearchRun:
    """A seeded run in which two searchers share the replicas of one service."""

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
        self._snapshot = Snapshot(
            1, "mod", config.targets // self._random.choice((2, 3))
        )
        self._rate = 50.0

    async def run(self) -> RunReport:
        """Return the counts after 5 s of searches with one or two faults."""
        restarts_before = _restart_count()
        async with TaskGroup(wait=None) as group:
            await self._fleet.start(group, self._snapshot)
            for fault in self._faults:
                await group.spawn(self._inject_fault, fault)
            callers = TaskGroup()
            end = self._clock.monotonic_time() + timedelta(seconds=5)
            while self._clock.monotonic_time() < end:
                pause = self._random.expovariate(self._rate)
                await self._clock.sleep(timedelta(seconds=pause))
                await callers.spawn(self._search)
            await callers.join()
            self._problems += _task_errors(callers)
        self._problems += _task_errors(group)
        for replica in self._fleet.replicas:
            if replica.peak_in_flight > self._fleet.config.slots:
                self._problems.append("slots exceeded")
        self._problems += map(repr, self._violations.found)
        counts = self._counts
        return RunReport(
            queries=counts["queries"],
            complete=counts["complete"],
            partial=counts["partial"],
            refused=counts["refused"],
            restarts=_restart_count() - restarts_before,
            sub_requests=self._fleet.sent,
            missing={reason.value: counts[reason.value] for reason in MissingReason},
            problems=tuple(self._problems),
        )

    async def _search(self) -> None:
        self._counts["queries"] += 1
        time_left = timedelta(milliseconds=self._random.choice((40, 330, 330, 1000)))
        request = SearchRequest(
            request_id=f"q{self._counts['queries']}",
            service=self._fleet.config.service,
            member=f"m{self._random.randrange(3)}",
            terms="all",
            limit=10_000,
            time_left=time_left,
            require_complete=self._random.random() < 0.1,
        )
        started = self._clock.monotonic_time()
        result = await self._random.choice(self._searchers).search(request)
        if self._clock.monotonic_time() - started > time_left + _DEADLINE_TOLERANCE:
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
        """Record a problem if an answer's records do not match its coverage."""
        expected = sorted(
            record
            for shard in answer.coverage.included
            for record in self._fleet.records(answer.snapshot, shard)
        )
        if sorted(answer.records) != expected:
            self._problems.append(f"records differ: {request.request_id}")
        if answer.request_id != request.request_id:
            self._problems.append(f"answer to another request: {request.request_id}")

    async def _inject_fault(self, fault: str) -> None:
        random = self._random
        await self._clock.sleep(timedelta(seconds=random.uniform(0.5, 2.0)))
        affected = random.sample(
            self._fleet.replicas, random.randint(1, self._fleet.config.targets // 3)
        )
        duration = timedelta(seconds=random.uniform(0.3, 2.0))
        match fault:
            case "straggler":
                await self._set_condition_for(affected[:1], Working(10.0), duration)
            case "frozen":
                await self._set_condition_for(
                    affected, Frozen(random.random() < 0.5), duration
                )
            case "lost":
                await self._set_condition_for(affected, Crashed(), duration)
            case "shed":
                await self._set_condition_for(affected, RefusingWork("shed"), duration)
            case "cold start":
                await self._set_condition_for(
                    affected, RefusingWork("starting"), duration
                )
                await self._set_condition_for(affected, Working(5.0), duration)
            case "drain":
                for replica in affected:
                    replica.condition = RefusingWork("draining")
                    self._fleet.announce(replica, "leaving")
            case "version change":
                await self._replace_snapshot(self._snapshot.shards)
            case "repartition":
                shards = {4: 6, 6: 4, 8: 12, 9: 6, 12: 8}
                await self._replace_snapshot(shards[self._snapshot.shards])
            case "overload":
                self._rate = 50.0 * random.uniform(5.0, 10.0)
                await self._clock.sleep(timedelta(seconds=0.5))
                self._rate = 50.0

    async def _set_condition_for(
        self, replicas: Sequence[Replica], condition: object, duration: timedelta
    ) -> None:
        for replica in replicas:
            replica.condition = condition
        await self._clock.sleep(duration)
        for replica in replicas:
            replica.condition = Working()

    async def _replace_snapshot(self, shards: int) -> None:
        """Add a newer snapshot to every replica, then remove the old one from each."""
        old = self._snapshot
        self._snapshot = Snapshot(old.version + 1, f"mod-{shards}", shards)
        new = self._snapshot
        announce_probability = self._random.choice((0.5, 1.0))
        for replica in self._fleet.replicas:
            await self._clock.sleep(timedelta(milliseconds=20))
            replica.snapshots = [*replica.snapshots, new]
            if self._random.random() < announce_probability:
                self._fleet.announce(replica)
        for replica in self._fleet.replicas:
            if self._random.random() > announce_probability:
                await self._clock.sleep(timedelta(milliseconds=5))
            replica.snapshots = [
                snapshot for snapshot in replica.snapshots if snapshot != old
            ]


def _task_errors(group: TaskGroup) -> list[str]:
    return [
        repr(error)
        for error in group.exceptions
        if error is not None and not isinstance(error, CancelledError)
    ]


def _restart_count() -> int:
    name = "lovagetray_query_restarts_total"
    return int(REGISTRY.get_sample_value(name, {"service": FleetConfig().service}) or 0)


def run_search_seed(seed: int) -> RunReport:
    """Return the counts and problems of the run with a seed."""
    configure(wrapper_class=make_filtering_bound_logger(CRITICAL))
    return run_in_virtual_time(SearchRun(seed).run)


def _report(seed: int) -> SeedReport:
    report = run_search_seed(seed)
    numbers = report._asdict()
    problems = numbers.pop("problems")
    return SeedReport(problems, {**numbers.pop("missing"), **numbers})


if __name__ == "__main__":
    end_process(run_seeds(str(__doc__), _report))
