"""What this instance has seen of all replicas; the basis of every choice."""

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

_SHED_AVOIDANCE = timedelta(milliseconds=250)
# A target that drains or starts refuses until its next announcement, each second.
_REFUSED_AVOIDANCE = timedelta(seconds=1)
_MEDIAN = 50.0
_SENDS_PER_SWEEP = 10_000
_FORGET_AFTER = timedelta(minutes=1)


class ReplicaView(NamedTuple):
    """What a choice knows of one replica.

    Parameters
    ----------
    latency
        Expected time to a reply when nothing waits.
    queue_wait
        Wait for a slot that the owner reported, faded with its age.
    errors
        Recent share of errors, from 0 to 1.
    connect_cost
        Zero if a connection is probably open.
    reported
        The target's own load report, for each of its slots.
    avoided
        For how much longer the replica is avoided because it refused or failed.
    """

    target: str
    slots: int
    in_flight: int
    latency: timedelta
    queue_wait: timedelta
    errors: float
    connect_cost: timedelta
    reported: float
    avoided: timedelta


class ReplicaStatsStore:
    """Latency, load and errors of replicas as this instance has seen them."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, str], ReplicaStats] = {}
        self._services: dict[str, ServiceLatency] = {}
        self._sends = 0

    def views(
        self, service: str, listings: Iterable[Listing], now: timedelta
    ) -> list[ReplicaView]:
        """Return what is known of announced replicas of a service."""
        typical = self.typical(service)
        return [self._view(listing, typical, now) for listing in listings]

    def sent(self, request: SubRequest, now: timedelta) -> None:
        """Note a sub-request that was sent."""
        self._record(request).sent(request.request_id, now)
        self._sends += 1
        if self._sends % _SENDS_PER_SWEEP == 0:
            self._sweep(now - _FORGET_AFTER)

    def replied(self, request: SubRequest, reply: SubReply, now: timedelta) -> None:
        """Note a reply."""
        record = self._record(request)
        age = record.ended(request.request_id, now)
        record.replied(age, reply.queue_wait, now)
        latency = self._service(request.service)
        latency.add(age)
        latency.count(False, now)

    def given_up(self, request: SubRequest, now: timedelta) -> None:
        """Note that the outcome of a sub-request is no longer waited for."""
        record = self._record(request)
        age = record.ended(request.request_id, now)
        record.given_up(age, now)
        self._service(request.service).add(age)

    def dropped(self, request: SubRequest, now: timedelta) -> None:
        """Note that a sub-request is not needed, whatever its replica does."""
        self._record(request).ended(request.request_id, now)

    def failed(self, request: SubRequest, failure: Failure, now: timedelta) -> None:
        """Note a failure; refusals are no errors of the replica."""
        record = self._record(request)
        record.ended(request.request_id, now)
        latency = self._service(request.service)
        match failure:
            case RefusedByTarget(reason="shed") | Overloaded() | DeadlinePassed():
                record.avoid(_SHED_AVOIDANCE, now)
                latency.count(True, now)
            case RefusedByTarget():
                record.avoid(_REFUSED_AVOIDANCE, now)
            case SnapshotUnavailable():
                record.lacks[request.snapshot] = now
            case _:
                record.failed(now)
                latency.count(False, now)

    def lacks(self, listing: Listing, snapshot: Snapshot) -> bool:
        """Tell whether a target said since it announced itself that it lacks one."""
        announcement = listing.announcement
        record = self._records.get((announcement.service, announcement.target))
        if record is None or record.incarnation != announcement.incarnation:
            return False
        refused_at = record.lacks.get(snapshot)
        return refused_at is not None and refused_at >= listing.heard_at

    def typical(self, service: str) -> timedelta:
        """Return the median of recent latency; zero while it is not known."""
        return self._service(service).percentile(_MEDIAN) or timedelta(0)

    def percentile(self, service: str, percent: float) -> timedelta | None:
        """Return a percentile of recent latency, or None after too few replies."""
        return self._service(service).percentile(percent)

    def sheds(self, service: str, now: timedelta) -> bool:
        """Tell whether replicas of a service refuse work because of load."""
        return self._service(service).sheds(now)

    def _view(
        self, listing: Listing, typical: timedelta, now: timedelta
    ) -> ReplicaView:
        announcement = listing.announcement
        key = announcement.service, announcement.target
        record = self._records.get(key)
        if record is None or record.incarnation != announcement.incarnation:
            record = ReplicaStats(announcement.incarnation)
            self._records[key] = record
        load = announcement.load
        return ReplicaView(
            target=announcement.target,
            slots=announcement.slots,
            in_flight=record.in_flight,
            latency=record.latency(typical, now),
            queue_wait=record.queue_wait(typical, now),
            errors=record.errors(now),
            connect_cost=record.connect_cost(announcement, now),
            reported=(load.in_flight + load.queued) / announcement.slots,
            avoided=record.avoided(now),
        )

    def _record(self, request: SubRequest) -> ReplicaStats:
        key = request.service, request.target
        return self._records.setdefault(key, ReplicaStats(0))

    def _service(self, service: str) -> ServiceLatency:
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = ServiceLatency()
        return found

    def _sweep(self, instant: timedelta) -> None:
        idle = [
            key for key, record in self._records.items() if record.idle_since(instant)
        ]
        for key in idle:
            del self._records[key]
