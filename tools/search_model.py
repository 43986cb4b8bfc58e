"""Compares ways to choose replicas, in a model that runs in virtual time."""

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
    FleetConfig,
    Lost,
    Refusing,
    ReplicaFleet,
    Working,
)
from fakes.virtual_time import run_in_virtual_time  # noqa: E402

WAYS = {
    "plain": SearchSettings(policy=RandomReplica(), hedge_budget=0, retry_budget=0),
    "least": SearchSettings(policy=LeastInFlight(), hedge_budget=0),
    "least+hedges": SearchSettings(policy=LeastInFlight()),
    "cost": SearchSettings(policy=LowestCost(), hedge_budget=0),
    "cost+hedges": SearchSettings(policy=LowestCost()),
}
CASES = ("calm", "straggler", "lost", "frozen reports", "wrong reports", "shed")
_SEARCHERS = 3


class Workload(NamedTuple):
    """The searches of one run.

    Parameters
    ----------
    rate
        Searches in a second, over all searchers.
    """

    count: int = 3000
    rate: float = 400.0
    budget: timedelta = timedelta(milliseconds=330)
    slots: int = 2


class Outcome(NamedTuple):
    """What callers saw: latencies in milliseconds, and shares."""

    p50: float
    p99: float
    coverage: float
    sub_requests: float
    refused: int
    violations: int


class Comparison:
    """One run of one way in one case."""

    def __init__(self, settings: SearchSettings, case: str, seed: int, load: Workload):
        self._case = case
        self._load = load
        self._random = Random(seed)
        self._clock = SystemClock()
        self._violations = Violations()
        directory = TargetDirectory(timedelta(seconds=3))
        reports = case.split()[0] if case.endswith("reports") else "true"
        config = FleetConfig(slots=load.slots, load_reports=reports)
        self._fleet = ReplicaFleet(config, self._clock, directory, Random(seed + 1))
        self._searchers = [
            Searcher(
                directory,
                self._fleet,
                self._clock,
                self._violations,
                _always(settings),
                Random(seed + 2 + number),
            )
            for number in range(_SEARCHERS)
        ]
        self._times: list[float] = []
        self._included = 0
        self._refused = 0

    async def run(self) -> Outcome:
        """Return the outcome; the fault begins before the first search ends."""
        shards = self._fleet.config.targets // 3
        async with TaskGroup(wait=None) as group:
            await self._fleet.start(group, Snapshot(1, "mod", shards))
            await group.spawn(self._fault)
            callers = TaskGroup()
            for number in range(self._load.count):
                pause = self._random.expovariate(self._load.rate)
                await self._clock.sleep(timedelta(seconds=pause))
                await callers.spawn(self._search, number)
            await callers.join()
        cuts = quantiles(self._times, n=100)
        least = shards * (self._load.count - self._refused)
        return Outcome(
            p50=cuts[49],
            p99=cuts[98],
            coverage=self._included / least,
            sub_requests=self._fleet.sent / least,
            refused=self._refused,
            violations=len(self._violations.found),
        )

    async def _fault(self) -> None:
        replicas = self._fleet.replicas
        match self._case:
            case "straggler":
                replicas[0].condition = Working(10.0)
            case "lost":
                await self._clock.sleep(timedelta(seconds=1))
                for replica in replicas[: len(replicas) // 3]:
                    replica.condition = Lost()
            case "shed":
                replicas[0].condition = Refusing("shed")

    async def _search(self, number: int) -> None:
        request = SearchRequest(
            request_id=str(number),
            service=self._fleet.config.service,
            member="",
            terms="all",
            limit=10,
            time_left=self._load.budget,
            require_complete=False,
        )
        started = self._clock.monotonic_time()
        searcher = self._searchers[number % _SEARCHERS]
        match await searcher.search(request):
            case Result(tag="ok", ok=answer):
                self._included += len(answer.coverage.included)
                taken = self._clock.monotonic_time() - started
                self._times.append(taken.total_seconds() * 1000)
            case _:
                self._refused += 1


def _always(settings: SearchSettings) -> Callable[[str], SearchSettings]:
    return lambda service: settings


def run_case(way: str, case: str, seed: int, load: Workload = Workload()) -> Outcome:
    """Return the outcome of one way in one case."""
    configure(wrapper_class=make_filtering_bound_logger(CRITICAL))
    return run_in_virtual_time(Comparison(WAYS[way], case, seed, load).run)


def main() -> None:
    """Print a table of all ways in all cases."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--queries", type=int, default=3000)
    parser.add_argument("--rate", type=float, default=400.0)
    parser.add_argument("--case", action="append", choices=CASES)
    parser.add_argument("--way", action="append", choices=tuple(WAYS))
    arguments = parser.parse_args()
    load = Workload(arguments.queries, arguments.rate)
    print(f"virtual-time model, seed {arguments.seed}, {load}")
    print("10 shards x 3 replicas, work 5 ms exponential, hop 1 ms, 3 searchers")
    print("case            way           p50 ms  p99 ms  coverage  sub-requests")
    for case in arguments.case or CASES:
        for way in arguments.way or WAYS:
            found = run_case(way, case, arguments.seed, load)
            print(
                f"{case:15} {way:13} {found.p50:6.1f} {found.p99:7.1f} "
                f"{found.coverage:9.4f} {found.sub_requests:13.4f} "
                f"refused {found.refused} violations {found.violations}",
                flush=True,
            )


if __name__ == "__main__":
    main()
