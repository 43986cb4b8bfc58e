"""Statistics of all replicas, on which load balancing and hedging are based."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from lovagetray._errors import (
    DeadlinePassed,
    Failure,
    Overloaded,
    RefusedByTarget,
    SnapshotUnavailable,
)
from lovagetray._types import Snapshot, SubReply, SubRequest
from lovagetray.queries.search._latency import ServiceLatency
from lovagetray.queries.search._replica_stats import ReplicaStats
from lovagetray.state import Listing

_SHED_BACKOFF = timedelta(milliseconds=250)
# A target that is draining or starting refuses requests until its next announcement;
# targets announce themselves every second.
_REFUSED_BACKOFF = timedelta(seconds=1)
_MEDIAN_PERCENTILE = 50.0
_SENDS_PER_CLEANUP = 10_000
_EXPIRE_AFTER = timedelta(minutes=1)


class ReplicaView(NamedTuple):
    """Statistics of one replica as input for load balancing.

    Parameters
    ----------
    target
        Target that serves the replica.
    slots
        Number of requests that the target processes at once.
    in_flight
        Sub-requests of this instance without an outcome.
    latency
        Expected time to a reply with an empty queue.
    queue_wait
        Queue wait that the owner reported, decayed with the age of the report.
    error_rate
        Recent error rate, from 0 to 1.
    connect_cost
        Time to open a connection; zero if one is probably open.
    reported_load
        Requests running and queued per slot according to the target's load report.
    backoff_left
        Remaining backoff after a refusal or failure.
    """

    target: str
    slots: int
    in_flight: int
    latency: timedelta
    queue_wait: timedelta
    error_rate: float
    connect_cost: timedelta
    reported_load: float
    backoff_left: timedelta


class ReplicaStatsStore:
    """Latency, load and errors of replicas as observed by this instance."""

    def __init__(self) -> None:
        self._replicas: dict[tuple[str, str], ReplicaStats] = {}
        self._services: dict[str, ServiceLatency] = {}
        self._sends = 0

    def views(
        self, service: str, listings: Iterable[Listing], now: timedelta
    ) -> list[ReplicaView]:
        """Return the statistics of announced replicas of a service."""
        median = self.median_latency(service)
        return [self._view(listing, median, now) for listing in listings]

    def record_sent(self, request: SubRequest, now: timedelta) -> None:
        """Record a sent sub-request."""
        self._stats_of(request).record_sent(request.request_id, now)
        self._sends += 1
        if self._sends % _SENDS_PER_CLEANUP == 0:
            self._remove_idle(now - _EXPIRE_AFTER)

    def record_reply(
        self, request: SubRequest, reply: SubReply, now: timedelta
    ) -> None:
        """Record a reply."""
        stats = self._stats_of(request)
        age = stats.record_ended(request.request_id, now)
        stats.record_reply(age, reply.queue_wait, now)
        latency = self._latency_of(request.service)
        latency.add(age)
        latency.count_outcome(False, now)

    def record_given_up(self, request: SubRequest, now: timedelta) -> None:
        """Record that a sub-request was given up after at least the hedge delay."""
        stats = self._stats_of(request)
        age = stats.record_ended(request.request_id, now)
        stats.record_given_up(age, now)
        self._latency_of(request.service).add(age)

    def record_dropped(self, request: SubRequest, now: timedelta) -> None:
        """Close a sub-request that is no longer needed without rating its replica."""
        self._stats_of(request).record_ended(request.request_id, now)

    def record_failure(
        self, request: SubRequest, failure: Failure, now: timedelta
    ) -> None:
        """Record a failure; a refusal starts backoff but is not an error."""
        stats = self._stats_of(request)
        stats.record_ended(request.request_id, now)
        latency = self._latency_of(request.service)
        match failure:
            case RefusedByTarget(reason="shed") | Overloaded() | DeadlinePassed():
                stats.back_off(_SHED_BACKOFF, now)
                latency.count_outcome(True, now)
            case RefusedByTarget():
                stats.back_off(_REFUSED_BACKOFF, now)
            case SnapshotUnavailable():
                stats.refused_snapshots[request.snapshot] = now
            case _:
                stats.record_failure(now)
                latency.count_outcome(False, now)

    def lacks_snapshot(self, listing: Listing, snapshot: Snapshot) -> bool:
        """Return whether a target refused a snapshot since its last announcement."""
        announcement = listing.announcement
        stats = self._replicas.get((announcement.service, announcement.target))
        if stats is None or stats.incarnation != announcement.incarnation:
            return False
        refused_at = stats.refused_snapshots.get(snapshot)
        return refused_at is not None and refused_at >= listing.heard_at

    def median_latency(self, service: str) -> timedelta:
        """Return the median of recent latency, or zero while it is unknown."""
        return self._latency_of(service).percentile(_MEDIAN_PERCENTILE) or timedelta(0)

    def percentile(self, service: str, percent: float) -> timedelta | None:
        """Return a percentile of recent latency, or None with too few samples."""
        return self._latency_of(service).percentile(percent)

    def is_shedding(self, service: str, now: timedelta) -> bool:
        """Return whether replicas of a service are shedding load."""
        return self._latency_of(service).is_shedding(now)

    def _view(self, listing: Listing, median: timedelta, now: timedelta) -> ReplicaView:
        announcement = listing.announcement
        key = announcement.service, announcement.target
        stats = self._replicas.get(key)
        if stats is None or stats.incarnation != announcement.incarnation:
            stats = ReplicaStats(announcement.incarnation)
            self._replicas[key] = stats
        load = announcement.load
        return ReplicaView(
            target=announcement.target,
            slots=announcement.slots,
            in_flight=stats.in_flight,
            latency=stats.latency(median, now),
            queue_wait=stats.queue_wait(median, now),
            error_rate=stats.error_rate(now),
            connect_cost=stats.connect_cost(announcement, now),
            reported_load=(load.in_flight + load.queued) / announcement.slots,
            backoff_left=stats.backoff_left(now),
        )

    def _stats_of(self, request: SubRequest) -> ReplicaStats:
        key = request.service, request.target
        return self._replicas.setdefault(key, ReplicaStats(0))

    def _latency_of(self, service: str) -> ServiceLatency:
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = ServiceLatency()
        return found

    def _remove_idle(self, instant: timedelta) -> None:
        idle = [
            key for key, stats in self._replicas.items() if stats.idle_since(instant)
        ]
        for key in idle:
            del self._replicas[key]
