"""Compares replica policies in a model of the search path, in virtual time."""

from argparse import ArgumentParser
from collections.abc import Callable
from datetime import timedelta
from logging import CRITICAL
from pathlib import Path
from random import Random
from statistics import quantiles
from sys import path
from typing import NamedTuple

from curio import TaskGroup
from expression import Result
from structlog import configure, make_filtering_bound_logger

from lovagetray import SystemClock
from lovagetray._types import SearchRequest, Snapshot
from lovagetray._violations import Violations
from lovagetray.queries.search import (
    LeastInFlight,
    LowestCost,
    RandomReplica,
    Searcher,
    SearchSettings,
)
from lovagetray.state import TargetDirectory

path.insert(0, str(Path(__file__).parent.parent / "features"))

from fakes.replica_fleet import (  # noqa: E402
    Crashed,
    FleetConfig,
    RefusingWork,
    ReplicaFleet,
    Working,
)
from fakes.virtual_time import run_in_virtual_time  # noqa: E402

POLICIES = {
    "plain": SearchSettings(policy=RandomReplica(), hedge_budget=0, retry_budget=0),
    "least": SearchSettings(policy=LeastInFlight(), hedge_budget=0),
    "least+hedges": SearchSettings(policy=LeastInFlight()),
    "cost": SearchSettings(policy=LowestCost(), hedge_budget=0),
    "cost+hedges": SearchSettings(policy=LowestCost()),
}
CASES = ("calm", "straggler", "lost", "frozen reports", "wrong reports", "shed")
_SEARCHER_COUNT = 3


class Workload(NamedTuple):
    """The searches of one run.

    Parameters
    ----------
    count
        Number of searches.
    rate
        Searches in a second, over all searchers.
    time_left
        Time that each search has when it begins.
    slots
        Sub-requests that a replica runs at once.
    """

    count: int = 3000
    rate: float = 400.0
    time_left: timedelta = timedelta(milliseconds=330)
    slots: int = 2


class Outcome(NamedTuple):
    """The results of one run.

    Parameters
    ----------
    p50, p99
        Percentiles of the latency of answered searches in milliseconds.
    coverage
        Share of the shards of answered searches that their answers include.
    sub_request_ratio
        Sub-requests sent, as a multiple of one for each shard of an answered search.
    refused
        Searches without an answer.
    violations
        Broken invariants that the searchers reported.
    """

    p50: float
    p99: float
    coverage: float
    sub_request_ratio: float
    refused: int
    violations: int


class PolicyRun:
    """A run of one policy in one case."""

    def __init__(
        self, settings: SearchSettings, case: str, seed: int, workload: Workload
    ):
        self._case = case
        self._workload = workload
        self._random = Random(seed)
        self._clock = SystemClock()
        self._violations = Violations()
        directory = TargetDirectory(timedelta(seconds=3))
        reports = case.split()[0] if case.endswith("reports") else "true"
        config = FleetConfig(slots=workload.slots, load_reports=reports)
        self._fleet = ReplicaFleet(config, self._clock, directory, Random(seed + 1))
        self._searchers = [
            Searcher(
                directory,
                self._fleet,
                self._clock,
                self._violations,
                _same_for_all_services(settings),
                Random(seed + 2 + number),
            )
            for number in range(_SEARCHER_COUNT)
        ]
        self._latencies_ms: list[float] = []
        self._included_shards = 0
        self._refused_searches = 0

    async def run(self) -> Outcome:
        """Return the outcome of all searches, with the fault of the case injected.

        The fault begins before the first search; only the lost replicas crash later,
        after 1 s.
        """
        shards = self._fleet.config.targets // 3
        async with TaskGroup(wait=None) as group:
            await self._fleet.start(group, Snapshot(1, "mod", shards))
            await group.spawn(self._inject_fault)
            callers = TaskGroup()
            for number in range(self._workload.count):
                pause = self._random.expovariate(self._workload.rate)
                await self._clock.sleep(timedelta(seconds=pause))
                await callers.spawn(self._search, number)
            await callers.join()
        percentiles = quantiles(self._latencies_ms, n=100)
        least_sub_requests = shards * (self._workload.count - self._refused_searches)
        return Outcome(
            p50=percentiles[49],
            p99=percentiles[98],
            coverage=self._included_shards / least_sub_requests,
            sub_request_ratio=self._fleet.sent / least_sub_requests,
            refused=self._refused_searches,
            violations=len(self._violations.found),
        )

    async def _inject_fault(self) -> None:
        replicas = self._fleet.replicas
        match self._case:
            case "straggler":
                replicas[0].condition = Working(10.0)
            case "lost":
                await self._clock.sleep(timedelta(seconds=1))
                for replica in replicas[: len(replicas) // 3]:
                    replica.condition = Crashed()
            case "shed":
                replicas[0].condition = RefusingWork("shed")

    async def _search(self, number: int) -> None:
        request = SearchRequest(
            request_id=str(number),
            service=self._fleet.config.service,
            member="",
            terms="all",
            limit=10,
            time_left=self._workload.time_left,
            require_complete=False,
        )
        started = self._clock.monotonic_time()
        searcher = self._searchers[number % _SEARCHER_COUNT]
        match await searcher.search(request):
            case Result(tag="ok", ok=answer):
                self._included_shards += len(answer.coverage.included)
                latency = self._clock.monotonic_time() - started
                self._latencies_ms.append(latency.total_seconds() * 1000)
            case _:
                self._refused_searches += 1


def _same_for_all_services(settings: SearchSettings) -> Callable[[str], SearchSettings]:
    return lambda service: settings


def run_case(
    policy: str, case: str, seed: int, workload: Workload = Workload()
) -> Outcome:
    """Return the outcome of one policy in one case."""
    configure(wrapper_class=make_filtering_bound_logger(CRITICAL))
    return run_in_virtual_time(PolicyRun(POLICIES[policy], case, seed, workload).run)


def main() -> None:
    """Print a table of the policies in all cases."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--queries", type=int, default=3000)
    parser.add_argument("--rate", type=float, default=400.0)
    parser.add_argument("--case", action="append", choices=CASES)
    parser.add_argument("--way", action="append", choices=tuple(POLICIES))
    arguments = parser.parse_args()
    workload = Workload(arguments.queries, arguments.rate)
    print(f"virtual-time model, seed {arguments.seed}, {workload}")
    print("10 shards x 3 replicas, work 5 ms exponential, hop 1 ms, 3 searchers")
    print("case            policy        p50 ms  p99 ms  coverage  sub-requests")
    for case in arguments.case or CASES:
        for policy in arguments.way or POLICIES:
            outcome = run_case(policy, case, arguments.seed, workload)
            print(
                f"{case:15} {policy:13} {outcome.p50:6.1f} {outcome.p99:7.1f} "
                f"{outcome.coverage:9.4f} {outcome.sub_request_ratio:13.4f} "
                f"refused {outcome.refused} violations {outcome.violations}",
                flush=True,
            )


if __name__ == "__main__":
    main()
