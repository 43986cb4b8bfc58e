"""Load balancer: statistics of replicas and routes, and the choice of a replica."""

from collections.abc import Callable, Collection, Iterable, Sequence
from datetime import timedelta
from random import Random

from lovagetray._clock import Clock
from lovagetray._gateway_settings import Placement
from lovagetray._routing_types import ReplicaNotice, ReplicaReply, Route
from lovagetray._telemetry import COLD_REPLICAS_SKIPPED
from lovagetray.queries.load_balancing._choose import choose_replica
from lovagetray.queries.load_balancing._cold_limit import ColdLimit
from lovagetray.queries.load_balancing._cost import ExpectedWork
from lovagetray.queries.load_balancing._hedge_delay import hedge_delay_for
from lovagetray.queries.load_balancing._placement import (
    ExpectedCostPlacement,
    LatencyPlacement,
    PlacementMode,
    Room,
    best_room,
    choose_by_completion,
    placement_mode,
)
from lovagetray.queries.load_balancing._remaining_work import SentWork
from lovagetray.queries.load_balancing._retry_budget import RetryBudget
from lovagetray.queries.load_balancing._stats import ReplicaStats, RouteStats
from lovagetray.state import Evacuations, ReplicaDirectory
from lovagetray.targets import Availability

# Latency quantile after which a hedge is sent.
_HEDGE_QUANTILE = 0.9
# Initial latency estimates of a route without answers, as shares of its target latency.
_INITIAL_MEAN = 0.1
_INITIAL_UPPER_QUANTILE = 0.2
# A caller that waits for more than this many time limits of the route says nothing of
# the time that others have spent.
_MAX_TIME_LEFT_FACTOR = 2
# A hedge by the expected cost is not later than this many upper quantiles of the route,
# so that an estimate that is too high does not prevent it.
_MAX_HEDGE_DELAY_FACTOR = 4


class LoadBalancer:
    """Load balancer of one instance, with the statistics of its exchanges.

    Parameters
    ----------
    directory
        Replicas known from their notices.
    budget
        Budget of retries and hedges.
    clock
        Source of monotonic time.
    random
        Adds noise to the choice of a replica.
    data_centre
        Data centre of this instance.
    evacuations
        Data centres whose replicas get no requests; None if there never are any.
    cold_limit
        Limit of the requests to replicas that warm up; None if there is none.
    placement
        How the replica for a request is chosen.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        budget: RetryBudget,
        clock: Clock,
        random: Random,
        data_centre: str,
        evacuations: Evacuations | None = None,
        cold_limit: ColdLimit | None = None,
        placement: Placement = Placement.LATENCY,
    ) -> None:
        self._directory = directory
        self._budget = budget
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._evacuations = evacuations or Evacuations()
        self._cold_limit = cold_limit
        self._replicas: dict[str, ReplicaStats] = {}
        self._routes: dict[str, RouteStats] = {}
        self._mode = placement_mode(placement)

    @property
    def mode(self) -> PlacementMode:
        """How the replica for a request is chosen, with the state for it."""
        return self._mode

    @property
    def budget(self) -> RetryBudget:
        """Budget of retries and hedges."""
        return self._budget

    def replica_stats(self, replica: str) -> ReplicaStats:
        """Return the statistics of a replica."""
        stats = self._replicas.get(replica)
        if stats is None:
            stats = ReplicaStats(observed_at=self._clock.monotonic_time())
            self._replicas[replica] = stats
        return stats

    def route_stats(self, route: Route) -> RouteStats:
        """Return the latency statistics of a route."""
        stats = self._routes.get(route.name)
        if stats is None:
            target = max(0.02, route.target_latency.total_seconds())
            stats = RouteStats(_INITIAL_MEAN * target, _INITIAL_UPPER_QUANTILE * target)
            self._routes[route.name] = stats
        return stats

    def time_spent(self, route: Route, time_left: timedelta | None) -> timedelta:
        """Return the time that a caller has spent on a request before it arrived.

        Parameters
        ----------
        time_left
            Time that the caller has left; None if it does not state it.
        """
        if time_left is None or time_left > route.time_limit * _MAX_TIME_LEFT_FACTOR:
            return timedelta(0)
        return self.route_stats(route).time_spent(time_left)

    def expect(
        self, route: Route, services: Sequence[str], workspace: str | None
    ) -> Sequence[ExpectedWork | None]:
        """Return the expected cost of a request at each service, if it matters."""
        match self._mode:
            case LatencyPlacement():
                return (None,) * len(services)
            case ExpectedCostPlacement(costs=costs):
                return costs.expect(route, services, workspace)

    def longest_latency(
        self, route: Route, services: Sequence[str], workspace: str | None
    ) -> timedelta:
        """Return the latency that a request has at most, by recent responses."""
        match self._mode:
            case LatencyPlacement():
                return timedelta(seconds=self.route_stats(route).longest)
            case ExpectedCostPlacement(costs=costs):
                ratio = costs.route_costs(route).longest_ratio
                works = costs.expect(route, services, workspace)
                seconds = ratio * max(work.cost for work in works)
                # When costs rise, latencies are many times the cost of before.
                return timedelta(seconds=min(seconds, self.route_stats(route).longest))

    def hedge_delay(
        self,
        route: Route,
        time_left: timedelta | None = None,
        expected: Iterable[ExpectedWork | None] = (),
    ) -> timedelta:
        """Return how long an attempt may be in flight before it is hedged.

        Parameters
        ----------
        time_left
            Time until the answer is due, if a hedge should be in time for it.
        expected
            Expected costs of the request, in place of the mean of the route.
        """
        stats = self.route_stats(route)
        mean, upper_quantile = stats.mean, stats.upper_quantile
        costs = [work.cost for work in expected if work is not None]
        match self._mode:
            case ExpectedCostPlacement() as mode if costs:
                mean = max(costs)
                upper = mean * mode.costs.route_costs(route).upper_ratio
                upper_quantile = min(upper, _MAX_HEDGE_DELAY_FACTOR * upper_quantile)
        return hedge_delay_for(mean, upper_quantile, time_left)

    def usable(self, service: str) -> list[ReplicaNotice]:
        """Return the notices of the replicas of a service that may get requests."""
        usable = self._directory.usable(service)
        evacuated = self._evacuations.names
        if not evacuated:
            return usable
        return [notice for notice in usable if notice.data_centre not in evacuated]

    def choose(
        self,
        route: Route,
        service: str,
        tried: Collection[str],
        availability_of: Callable[[ReplicaNotice, timedelta], Availability],
        expected: ExpectedWork | None = None,
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
        availability_of
            Returns how an exchange with a replica could start.
        expected
            Expected cost of the request at the service.
        """
        now = self._clock.monotonic_time()
        candidates = self.usable(service)
        while True:
            notice = self._choose_among(
                candidates, route, tried, availability_of, expected, now
            )
            if (
                notice is None
                or not notice.warm_up
                or self._may_send_cold(notice, now, availability_of)
            ):
                return notice
            COLD_REPLICAS_SKIPPED.inc()
            candidates = [other for other in candidates if other is not notice]

    def _choose_among(
        self,
        candidates: list[ReplicaNotice],
        route: Route,
        tried: Collection[str],
        availability_of: Callable[[ReplicaNotice, timedelta], Availability],
        expected: ExpectedWork | None,
        now: timedelta,
    ) -> ReplicaNotice | None:
        match self._mode:
            case ExpectedCostPlacement() as mode if expected is not None:
                return choose_by_completion(
                    candidates,
                    tried,
                    mode,
                    self.replica_stats,
                    expected,
                    self._data_centre,
                    now,
                    self._random,
                    availability_of,
                )
        return choose_replica(
            candidates,
            tried,
            self.replica_stats,
            self.hedge_delay(route),
            self._data_centre,
            now,
            self._random,
            availability_of,
        )

    def _may_send_cold(
        self,
        notice: ReplicaNotice,
        now: timedelta,
        availability_of: Callable[[ReplicaNotice, timedelta], Availability],
    ) -> bool:
        """Return whether the limit for cold replicas allows a request to one now.

        A request that waited for a connection could be sent together with the next one.
        """
        limit = self._cold_limit
        if limit is None or not limit.is_limited(notice, now):
            return True
        return (
            limit.allows(notice, now)
            and availability_of(notice, now) is not Availability.FULL
        )

    def _is_spared(self, notice: ReplicaNotice, now: timedelta) -> bool:
        """Return whether a replica is cold and its limit allows no request now."""
        limit = self._cold_limit
        return (
            limit is not None
            and limit.is_limited(notice, now)
            and not limit.allows(notice, now)
        )

    def room(self, expected: ExpectedWork, now: timedelta) -> Room:
        """Return the room for a request at the best replica of its service."""
        candidates = self.usable(expected.service)
        match self._mode:
            case ExpectedCostPlacement() as mode:
                return best_room(candidates, mode, self.replica_stats, expected, now)
        return Room(0.0, expected.cost)

    def count_reachable(self, services: Iterable[str]) -> int:
        """Return how many services have a usable replica that takes requests now."""
        now = self._clock.monotonic_time()
        return sum(self._is_reachable(service, now) for service in services)

    def _is_reachable(self, service: str, now: timedelta) -> bool:
        for notice in self.usable(service):
            stats = self.replica_stats(notice.replica)
            if max(stats.backoff_until, stats.refuses_until) <= now and not (
                notice.warm_up and self._is_spared(notice, now)
            ):
                return True
        return False

    def accepts(self, notice: ReplicaNotice) -> bool:
        """Return whether a replica, at the address of a notice, takes requests now."""
        stats = self._replicas.get(notice.replica)
        if stats and self._clock.monotonic_time() < stats.refuses_until:
            return False
        if notice.data_centre in self._evacuations.names:
            return False
        return self._directory.is_usable(notice) and not self._is_cold(notice.replica)

    def _is_cold(self, replica: str) -> bool:
        """Return whether a replica is cold; exchanges that waited are not sent to it.

        They were queued before it became cold and are not counted by its limit.
        """
        if self._cold_limit is None:
            return False
        notice = self._directory.find(replica)
        return notice is not None and self._cold_limit.is_limited(
            notice, self._clock.monotonic_time()
        )

    def refused_for(self, services: Iterable[str], needed: int) -> timedelta:
        """Return the time until enough services have a replica that takes requests.

        Services without any usable replica are left out, because nothing says when they
        will have one.

        Parameters
        ----------
        needed
            Number of services that must have such a replica.
        """
        now = self._clock.monotonic_time()
        waits = sorted(
            min(
                max(
                    self.replica_stats(notice.replica).refuses_until - now, timedelta(0)
                )
                for notice in usable
            )
            for usable in map(self.usable, services)
            if usable
        )
        return waits[min(max(needed, 1), len(waits)) - 1] if waits else timedelta(0)

    def record_sent(
        self,
        replica: str,
        token: object,
        now: timedelta,
        expected: ExpectedWork | None = None,
    ) -> None:
        """Record the start of an exchange, identified by `token`."""
        self.replica_stats(replica).in_flight[token] = now
        if self._cold_limit is not None:
            self._cold_limit.record_sent(replica, now)
        match self._mode:
            case ExpectedCostPlacement() as mode if expected is not None:
                work = mode.work_of(replica)
                work.record_sent(token, expected, now.total_seconds())

    def sent_work(self, replica: str, token: object) -> SentWork | None:
        """Return what was expected of an exchange in flight, if it matters."""
        match self._mode:
            case LatencyPlacement():
                return None
            case ExpectedCostPlacement() as mode:
                return mode.work_of(replica).in_flight.get(token)

    def record_ended(self, replica: str, token: object, now: timedelta) -> timedelta:
        """Record the end of an exchange and return how long it was in flight."""
        match self._mode:
            case ExpectedCostPlacement() as mode:
                mode.work_of(replica).in_flight.pop(token, None)
        return now - self.replica_stats(replica).in_flight.pop(token, now)

    def record_reply(
        self,
        route: Route,
        replica: str,
        reply: ReplicaReply,
        latency: timedelta,
        now: timedelta,
        sent: SentWork | None = None,
    ) -> None:
        """Record a complete response: its latency, outcome and load report.

        Parameters
        ----------
        sent
            What was expected of the exchange.
        """
        stats, route_stats = self.replica_stats(replica), self.route_stats(route)
        seconds = latency.total_seconds()
        match self._mode:
            case LatencyPlacement():
                if reply.load is not None:
                    stats.record_load(reply.load, now)
                if reply.succeeded:
                    stats.record_success(seconds / max(0.001, route_stats.mean), now)
            case ExpectedCostPlacement() as mode:
                if reply.succeeded and (stats.failure_rate or stats.backoff):
                    stats.record_success(1.0, now)
                mode.record_reply(
                    route, replica, reply, seconds, now, sent, _HEDGE_QUANTILE
                )
        if reply.succeeded:
            route_stats.observe(seconds, _HEDGE_QUANTILE)
        else:
            stats.record_failure(now)

    def record_refusal(self, replica: str, refuses_for: timedelta) -> None:
        """Record that a replica wants no requests for a time."""
        now = self._clock.monotonic_time()
        self.replica_stats(replica).record_refusal(refuses_for, now)

    def record_connection_lost(self, replica: str) -> None:
        """Record that a connection was lost with a request in flight."""
        self.replica_stats(replica).record_failure(self._clock.monotonic_time())

    def record_connect_failed(self, replica: str) -> None:
        """Record a failed connection attempt and start backoff."""
        self.replica_stats(replica).record_connect_failed(self._clock.monotonic_time())

    def remove_stats(self, replica: str) -> None:
        """Remove the statistics of a replica that is gone."""
        self._replicas.pop(replica, None)
        if self._cold_limit is not None:
            self._cold_limit.forget(replica)
        match self._mode:
            case ExpectedCostPlacement() as mode:
                mode.work.pop(replica, None)
