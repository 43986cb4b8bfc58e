"""What an instance knows of replicas, routes and budgets, for placing requests."""

from collections.abc import Callable, Collection, Iterable
from datetime import timedelta
from random import Random

from lovagetray._clock import Clock
from lovagetray._routing_types import ReplicaNotice, ReplicaReply, Route
from lovagetray.queries.load_balancing._choose import choose_replica
from lovagetray.queries.load_balancing._retry_budget import RetryBudget
from lovagetray.queries.load_balancing._stats import ReplicaStats, RouteStats
from lovagetray.state import ReplicaDirectory
from lovagetray.targets import Availability

# The share of answers that come before a second attempt is considered.
_HEDGE_QUANTILE = 0.9
# First guesses before a route has answers, as shares of its target latency.
_FIRST_MEAN = 0.1
_FIRST_LATE = 0.2
# Below this a second attempt cannot be told from scheduling delays.
_SHORTEST_HEDGE = timedelta(milliseconds=5)


class LoadBalancer:
    """Chooses replicas and keeps what their answers tell.

    Parameters
    ----------
    data_centre
        Where this instance runs.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        budget: RetryBudget,
        clock: Clock,
        random: Random,
        data_centre: str,
    ) -> None:
        self._directory = directory
        self._budget = budget
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._replicas: dict[str, ReplicaStats] = {}
        self._routes: dict[str, RouteStats] = {}

    @property
    def budget(self) -> RetryBudget:
        """The budget of second attempts."""
        return self._budget

    def replica_stats(self, replica: str) -> ReplicaStats:
        """Return the record of a replica."""
        record = self._replicas.get(replica)
        if record is None:
            record = ReplicaStats(observed_at=self._clock.monotonic_time())
            self._replicas[replica] = record
        return record

    def route_stats(self, route: Route) -> RouteStats:
        """Return the latency record of a route."""
        record = self._routes.get(route.name)
        if record is None:
            target = max(0.02, route.target_latency.total_seconds())
            record = RouteStats(_FIRST_MEAN * target, _FIRST_LATE * target)
            self._routes[route.name] = record
        return record

    def hedge_delay(self, route: Route) -> timedelta:
        """Return how long an attempt is out before a second one makes sense."""
        late = timedelta(seconds=self.route_stats(route).late)
        return max(late, _SHORTEST_HEDGE)

    def choose(
        self,
        route: Route,
        service: str,
        tried: Collection[str],
        availability_of: Callable[[ReplicaNotice, timedelta], Availability],
    ) -> ReplicaNotice | None:
        """Return the replica that a request should go to next, or None."""
        now = self._clock.monotonic_time()
        return choose_replica(
            self._directory.usable(service, now),
            tried,
            self.replica_stats,
            self.hedge_delay(route),
            self._data_centre,
            now,
            self._random,
            availability_of,
        )

    def count_reachable(self, services: Iterable[str]) -> int:
        """Return how many services have a replica that may answer now."""
        now = self._clock.monotonic_time()
        return sum(self._is_reachable(service, now) for service in services)

    def _is_reachable(self, service: str, now: timedelta) -> bool:
        for notice in self._directory.usable(service, now):
            if self.replica_stats(notice.replica).backoff_until <= now:
                return True
        return False

    def record_sent(self, replica: str, token: object, now: timedelta) -> None:
        """Note that an exchange has begun."""
        self.replica_stats(replica).in_flight[token] = now

    def record_ended(self, replica: str, token: object, now: timedelta) -> timedelta:
        """Note that an exchange has ended; return how long it was out."""
        return now - self.replica_stats(replica).in_flight.pop(token, now)

    def record_reply(
        self,
        route: Route,
        replica: str,
        reply: ReplicaReply,
        latency: timedelta,
        now: timedelta,
    ) -> None:
        """Take what a complete response tells."""
        record = self.replica_stats(replica)
        if reply.load is not None:
            record.reported(reply.load, now)
        if reply.succeeded:
            measured = self.route_stats(route)
            seconds = latency.total_seconds()
            record.succeeded(seconds / max(0.001, measured.mean), now)
            measured.observe(seconds, _HEDGE_QUANTILE)
        else:
            record.failed(now)

    def record_connection_lost(self, replica: str) -> None:
        """Note that a connection was lost while a request was out."""
        self.replica_stats(replica).failed(self._clock.monotonic_time())

    def record_connect_failed(self, replica: str) -> None:
        """Note that a replica accepted no connection."""
        self.replica_stats(replica).unreachable(self._clock.monotonic_time())

    def forget(self, replica: str) -> None:
        """Drop the record of a replica that is gone."""
        self._replicas.pop(replica, None)
