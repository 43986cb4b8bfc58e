"""One searcher and a fleet of replicas, for short scenarios in virtual time."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from typing import TypeVar

from curio import TaskGroup
from expression import Result
from fakes.replica_fleet import Condition, ReplicaFleet, Shape
from fakes.virtual_time import run_virtual

from lovagetray import SystemClock
from lovagetray._errors import Failure
from lovagetray._types import Answer, SearchRequest, Snapshot
from lovagetray._violations import Violations
from lovagetray.queries.search import Searcher, SearchSettings
from lovagetray.state import Directory

T = TypeVar("T")
SHAPE = Shape(targets=12, slots=2)
SNAPSHOT = Snapshot(1, "mod", 4)


class SearchBench:
    """A searcher over 4 shards with 3 replicas each."""

    def __init__(
        self,
        shape: Shape = SHAPE,
        settings: SearchSettings = SearchSettings(),
        searcher: type[Searcher] = Searcher,
        fleet: type[ReplicaFleet] = ReplicaFleet,
    ) -> None:
        self.clock = SystemClock()
        self.directory = Directory(timedelta(seconds=3))
        self.violations = Violations()
        self.fleet = fleet(shape, self.clock, self.directory, Random(1))
        self.searcher = searcher(
            self.directory,
            self.fleet,
            self.clock,
            self.violations,
            lambda service: settings,
            Random(2),
        )

    def run(self, work: Callable[[], Awaitable[T]]) -> T:
        """Run `work` while the fleet serves and announces itself."""
        return run_virtual(self._serve, work)

    async def search(
        self,
        member: str = "",
        budget: timedelta = timedelta(milliseconds=330),
        require_complete: bool = False,
    ) -> Result[Answer, Failure]:
        """Return the result of one search for all records."""
        service = self.fleet.shape.service
        return await self.searcher.search(
            SearchRequest("r", service, member, "all", 9999, budget, require_complete)
        )

    def set_shard(self, shard: int, condition: Condition) -> None:
        """Set the condition of all replicas of a shard."""
        for replica in self.fleet.replicas:
            if replica.number % SNAPSHOT.shards == shard:
                replica.condition = condition

    async def _serve(self, work: Callable[[], Awaitable[T]]) -> T:
        async with TaskGroup(wait=None) as group:
            await self.fleet.start(group, SNAPSHOT)
            result = await work()
        return result
