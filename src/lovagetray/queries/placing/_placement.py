"""Load balancer: statistics of replicas and routes, and the choice of a replica."""

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

# Latency quantile after which a hedge is sent.
_HEDGE_QUANTILE = 0.9
# Initial latency estimates of a route without answers, as shares of its target latency.
_FIRST_MEAN = 0.1
_FIRST_LATE = 0.2
# Shorter delays cannot be distinguished from scheduling delays.
_SHORTEST_HEDGE = timedelta(milliseconds=5)


class Placement:
    """Selects replicas and records the outcome of their exchanges.

    Parameters
    ----------
    book
        Announced replicas.
    budget
        Budget of retries and hedges.
    clock
        Source of monotonic time.
    random
        Adds noise to the choice of a replica.
    data_centre
        Data centre of this instance.
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
        """Budget of retries and hedges."""
        return self._budget

    def record(self, replica: str) -> ReplicaRecord:
        """Return the statistics of a replica."""
        record = self._replicas.get(replica)
        if record is None:
            record = ReplicaRecord(observed_at=self._clock.elapsed())
            self._replicas[replica] = record
        return record

    def route_record(self, route: Route) -> RouteRecord:
        """Return the latency statistics of a route."""
        record = self._routes.get(route.name)
        if record is None:
            target = max(0.02, route.target_latency.total_seconds())
            record = RouteRecord(_FIRST_MEAN * target, _FIRST_LATE * target)
            self._routes[route.name] = record
        return record

    def hedge_delay(self, route: Route) -> timedelta:
        """Return how long an attempt may be in flight before it is hedged."""
        late = timedelta(seconds=self.route_record(route).late)
        return max(late, _SHORTEST_HEDGE)

    def choose(
        self,
        route: Route,
        service: str,
        tried: Collection[str],
        room_of: Callable[[ReplicaNotice, timedelta], Room],
    ) -> ReplicaNotice | None:
        """Return the replica for the next attempt of a request, or None.

        Parameters
        ----------
        route
            Route of the request.
        service
            Service that the attempt is for.
        tried
            Replicas that the request was already sent to.
        room_of
            Returns how an exchange with a replica could start.
        """
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
        """Return how many services have a usable replica that is not in back-off."""
        now = self._clock.elapsed()
        return sum(self._is_reachable(service, now) for service in services)

    def _is_reachable(self, service: str, now: timedelta) -> bool:
        for notice in self._book.usable(service, now):
            if self.record(notice.replica).avoid_until <= now:
                return True
        return False

    def sent(self, replica: str, token: object, now: timedelta) -> None:
        """Record the start of an exchange, identified by `token`."""
        self.record(replica).out[token] = now

    def ended(self, replica: str, token: object, now: timedelta) -> timedelta:
        """Record the end of an exchange and return how long it was in flight."""
        return now - self.record(replica).out.pop(token, now)

    def answered(
        self,
        route: Route,
        replica: str,
        reply: ReplicaReply,
        latency: timedelta,
        now: timedelta,
    ) -> None:
        """Record a complete response: its latency, outcome and load report."""
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
        """Record that a connection was lost with a request in flight."""
        self.record(replica).failed(self._clock.elapsed())

    def unreachable(self, replica: str) -> None:
        """Record a failed connection attempt and start back-off."""
        self.record(replica).unreachable(self._clock.elapsed())

    def forget(self, replica: str) -> None:
        """Remove the statistics of a replica that is gone."""
        self._replicas.pop(replica, None)
