"""Harness with a searcher and a fleet of replicas, in virtual time."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from typing import TypeVar

from curio import TaskGroup
from expression import Result
from fakes.replica_fleet import Condition, FleetConfig, ReplicaFleet
from fakes.virtual_time import run_in_virtual_time

from lovagetray import SystemClock
from lovagetray._errors import Failure
from lovagetray._types import Answer, SearchRequest, Snapshot
from lovagetray._violations import Violations
from lovagetray.queries.search import Searcher, SearchSettings
from lovagetray.state import TargetDirectory

T = TypeVar("T")
FLEET_CONFIG = FleetConfig(targets=12, slots=2)
SNAPSHOT = Snapshot(1, "mod", 4)


class SearchHarness:
    """Searcher and its replicas; by default 4 shards with 3 replicas each."""

    def __init__(
        self,
        config: FleetConfig = FLEET_CONFIG,
        settings: SearchSettings = SearchSettings(),
        searcher: type[Searcher] = Searcher,
        fleet: type[ReplicaFleet] = ReplicaFleet,
    ) -> None:
        self.clock = SystemClock()
        self.directory = TargetDirectory(timedelta(seconds=3))
        self.violations = Violations()
        self.fleet = fleet(config, self.clock, self.directory, Random(1))
        self.searcher = searcher(
            self.directory,
            self.fleet,
            self.clock,
            self.violations,
            lambda service: settings,
            Random(2),
        )

    def run(self, work: Callable[[], Awaitable[T]]) -> T:
        """Return the result of `work`, which runs while the replicas are in service."""
        return run_in_virtual_time(self._serve, work)

    async def search(
        self,
        member: str = "",
        time_left: timedelta = timedelta(milliseconds=330),
        require_complete: bool = False,
    ) -> Result[Answer, Failure]:
        """Return the answer to a search for all records, or its failure."""
        service = self.fleet.config.service
        return await self.searcher.search(
            SearchRequest(
                "r", service, member, "all", 9999, time_left, require_complete
            )
        )

    def set_shard_condition(self, shard: int, condition: Condition) -> None:
        """Set the condition of all replicas of one shard."""
        for replica in self.fleet.replicas:
            if replica.number % SNAPSHOT.shards == shard:
                replica.condition = condition

    async def _serve(self, work: Callable[[], Awaitable[T]]) -> T:
        async with TaskGroup(wait=None) as group:
            await self.fleet.start(group, SNAPSHOT)
            result = await work()
        return result
