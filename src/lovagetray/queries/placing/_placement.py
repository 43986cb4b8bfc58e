"""What an instance knows of replicas, routes and budgets, for placing requests."""

from collections.abc import Callable, Collection, Iterable
from datetime import timedelta
from random import Random

from lovagetray._clock import Clock
from lovagetray._routing_types import ReplicaNotice, ReplicaReply, Route
from lovagetray.queries.placing._choose import choose_replica
from lovagetray.queries.placing._extra_budget import ExtraBudget
from lovagetray.queries.placing._records import ReplicaRecord, RouteRecord
from lovagetray.state import ReplicaBook
from lovagetray.targets import Room

# The share of answers that come before a second attempt is considered.
_HEDGE_QUANTILE = 0.9
# First guesses before a route has answers, as shares of its target latency.
_FIRST_MEAN = 0.1
_FIRST_LATE = 0.2
# Below this a second attempt cannot be told from scheduling delays.
_SHORTEST_HEDGE = timedelta(milliseconds=5)


class Placement:
    """Chooses replicas and keeps what their answers tell.

    Parameters
    ----------
    data_centre
        Where this instance runs.
    """

    def __init__(
        self,
        book: ReplicaBook,
        budget: ExtraBudget,
        clock: Clock,
        random: Random,
        data_centre: str,
    ) -> None:
        self._book = book
        self._budget = budget
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._replicas: dict[str, ReplicaRecord] = {}
        self._routes: dict[str, RouteRecord] = {}

    @property
    def budget(self) -> ExtraBudget:
        """The budget of second attempts."""
        return self._budget

    def record(self, replica: str) -> ReplicaRecord:
        """Return the record of a replica."""
        record = self._replicas.get(replica)
        if record is None:
            record = ReplicaRecord(observed_at=self._clock.elapsed())
            self._replicas[replica] = record
        return record

    def route_record(self, route: Route) -> RouteRecord:
        """Return the latency record of a route."""
        record = self._routes.get(route.name)
        if record is None:
            target = max(0.02, route.target_latency.total_seconds())
            record = RouteRecord(_FIRST_MEAN * target, _FIRST_LATE * target)
            self._routes[route.name] = record
        return record

    def hedge_delay(self, route: Route) -> timedelta:
        """Return how long an attempt is out before a second one makes sense."""
        late = timedelta(seconds=self.route_record(route).late)
        return max(late, _SHORTEST_HEDGE)

    def choose(
        self,
        route: Route,
        service: str,
        tried: Collection[str],
        room_of: Callable[[ReplicaNotice, timedelta], Room],
    ) -> ReplicaNotice | None:
        """Return the replica that a request should go to next, or None."""
        now = self._clock.elapsed()
        return choose_replica(
            self._book.usable(service, now),
            tried,
            self.record,
            self.hedge_delay(route),
            self._data_centre,
            now,
            self._random,
            room_of,
        )

    def reachable(self, services: Iterable[str]) -> int:
        """Return how many services have a replica that may answer now."""
        now = self._clock.elapsed()
        return sum(self._is_reachable(service, now) for service in services)

    def _is_reachable(self, service: str, now: timedelta) -> bool:
        for notice in self._book.usable(service, now):
            if self.record(notice.replica).avoid_until <= now:
                return True
        return False

    def sent(self, replica: str, token: object, now: timedelta) -> None:
        """Note that an exchange has begun."""
        self.record(replica).out[token] = now

    def ended(self, replica: str, token: object, now: timedelta) -> timedelta:
        """Note that an exchange has ended; return how long it was out."""
        return now - self.record(replica).out.pop(token, now)

    def answered(
        self,
        route: Route,
        replica: str,
        reply: ReplicaReply,
        latency: timedelta,
        now: timedelta,
    ) -> None:
        """Take what a complete response tells."""
        record = self.record(replica)
        if reply.load is not None:
            record.reported(reply.load, now)
        if reply.succeeded:
            measured = self.route_record(route)
            seconds = latency.total_seconds()
            record.succeeded(seconds / max(0.001, measured.mean), now)
            measured.observe(seconds, _HEDGE_QUANTILE)
        else:
            record.failed(now)

    def lost(self, replica: str) -> None:
        """Note that a connection was lost while a request was out."""
        self.record(replica).failed(self._clock.elapsed())

    def unreachable(self, replica: str) -> None:
        """Note that a replica accepted no connection."""
        self.record(replica).unreachable(self._clock.elapsed())

    def forget(self, replica: str) -> None:
        """Drop the record of a replica that is gone."""
        self._replicas.pop(replica, None)
