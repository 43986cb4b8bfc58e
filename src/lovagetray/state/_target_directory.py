"""Directory of the targets that have announced themselves."""

from collections.abc import Iterator
from datetime import timedelta
from typing import NamedTuple

from expression import Error, Ok, Result

from lovagetray._errors import BadAnnouncement, StaleAnnouncement
from lovagetray._types import Announcement, Snapshot, TargetState


class Listing(NamedTuple):
    """The newest accepted announcement of a target; times are monotonic.

    Parameters
    ----------
    heard_at
        Time at which the announcement was heard.
    ready_at
        Time at which this incarnation was first heard as ready; None if it was never
        ready, or was ready long before this instance heard of it.
    contacted_at
        Time of the last successful exchange with this incarnation; None if there was
        none.
    """

    announcement: Announcement
    heard_at: timedelta
    ready_at: timedelta | None = None
    contacted_at: timedelta | None = None


# Targets announce each second, so a target that is first heard with this sequence or
# a higher one has been running for a while and does not count as cold.
_FIRST_WARM_SEQUENCE = 10
# `record_tick` is called each second; a longer gap means that the process was paused.
_MIN_PAUSE = timedelta(milliseconds=1500)


class TargetDirectory:
    """The announced targets; queries only read them.

    Parameters
    ----------
    lifetime
        How long an announcement is valid after it was heard.
    """

    def __init__(self, lifetime: timedelta) -> None:
        self._lifetime = lifetime
        self._listings: dict[str, dict[str, Listing]] = {}
        self._snapshots: dict[str, dict[int, Snapshot]] = {}
        self._topology_version = 0
        self._topology_changed_at: dict[str, timedelta] = {}
        self._ticked_at: timedelta | None = None
        self._pause_started_at: timedelta | None = None
        self._grace_ends_at = timedelta(0)

    @property
    def lifetime(self) -> timedelta:
        """How long an announcement is valid after it was heard."""
        return self._lifetime

    def change_lifetime(self, lifetime: timedelta) -> None:
        """Set how long an announcement is valid after it was heard."""
        self._lifetime = lifetime

    @property
    def topology_version(self) -> int:
        """The number of changes to the set of targets or to the shards they serve."""
        return self._topology_version

    @property
    def services(self) -> tuple[str, ...]:
        """The services that targets have announced."""
        return tuple(self._listings)

    def accept(
        self, announcement: Announcement, heard_at: timedelta
    ) -> Result[Listing, BadAnnouncement | StaleAnnouncement]:
        """Store an announcement and return the new listing.

        The first announcement of an index version fixes its partition map. A target
        that announced that it is leaving cannot return under the same incarnation.

        Returns
        -------
        Result
            `BadAnnouncement` if the announcement contradicts itself or the partition
            map; `StaleAnnouncement` if it is not newer than the stored one, or says
            that a leaving target has returned.
        """
        known = self._listings.get(announcement.service, {}).get(announcement.target)
        if known is not None and not _supersedes(announcement, known.announcement):
            return Error(StaleAnnouncement(announcement.target))
        contradiction = self._contradiction(announcement)
        if contradiction is not None:
            return Error(contradiction)
        if known is None or _shard_of_oldest_snapshot(
            known.announcement
        ) != _shard_of_oldest_snapshot(announcement):
            # A relayed announcement may have been heard up to one lifetime before it
            # reaches an instance.
            self._record_topology_change(
                announcement.service, heard_at + self._lifetime
            )
        listing = _next_listing(known, announcement, heard_at)
        self._listings.setdefault(announcement.service, {})[
            announcement.target
        ] = listing
        if known is None or known.announcement.holdings != announcement.holdings:
            snapshots = self._snapshots.setdefault(announcement.service, {})
            for holding in announcement.holdings:
                snapshots[holding.snapshot.version] = holding.snapshot
            self._remove_unannounced_snapshots(announcement.service)
        return Ok(listing)

    def record_contact(self, service: str, target: str, at: timedelta) -> None:
        """Record a successful exchange with a target; ignore an unknown target."""
        listing = self.listing(service, target)
        if listing is not None:
            self._listings[service][target] = listing._replace(contacted_at=at)

    def record_tick(self, now: timedelta) -> None:
        """Record a periodic call; a gap before it means that this process was paused.

        After a pause no target becomes unusable for one lifetime, because announcements
        were sent while this instance could not read them.
        """
        if self._ticked_at is not None and now - self._ticked_at > _MIN_PAUSE:
            self._pause_started_at = self._ticked_at
            self._grace_ends_at = now + self._lifetime
        self._ticked_at = now

    def expire(self, now: timedelta, retention: timedelta) -> None:
        """Remove the targets that were silent for longer than `retention`."""
        for service, listings in self._listings.items():
            expired = [
                name
                for name, listing in listings.items()
                if now - listing.heard_at > retention
            ]
            for name in expired:
                del listings[name]
            if expired:
                self._record_topology_change(service, now)
                self._remove_unannounced_snapshots(service)
        unannounced = [
            service for service, listings in self._listings.items() if not listings
        ]
        for service in unannounced:
            del self._listings[service]
            self._snapshots.pop(service, None)

    def listing(self, service: str, target: str) -> Listing | None:
        """Return the listing of a target, or None if it is unknown."""
        return self._listings.get(service, {}).get(target)

    def listings(self, service: str | None = None) -> Iterator[Listing]:
        """Yield the listings of one service; of all services if it is None."""
        if service is not None:
            yield from self._listings.get(service, {}).values()
            return
        for listings in self._listings.values():
            yield from listings.values()

    def topology_changed_at(self, service: str) -> timedelta:
        """Return when the targets of a service or their shards last changed.

        Returns
        -------
        timedelta
            Monotonic time, which may lie in the future; 0 if nothing has changed.
        """
        return self._topology_changed_at.get(service, timedelta(0))

    def preceding_replicas(self, announcement: Announcement) -> list[Announcement]:
        """Return the replicas of the same shard with lower names, sorted by name."""
        shard = _shard_of_oldest_snapshot(announcement)
        preceding = [
            listing.announcement
            for listing in self._listings.get(announcement.service, {}).values()
            if listing.announcement.target < announcement.target
            and _shard_of_oldest_snapshot(listing.announcement) == shard
        ]
        return sorted(preceding, key=lambda announcement: announcement.target)

    def snapshots(self, service: str) -> list[Snapshot]:
        """Return the announced snapshots of a service, newest first."""
        snapshots = self._snapshots.get(service, {})
        return [snapshots[version] for version in sorted(snapshots, reverse=True)]

    def candidates(
        self, service: str, snapshot: Snapshot, shard: int, now: timedelta
    ) -> list[Listing]:
        """Return the usable targets that serve a shard of a snapshot."""
        return [
            listing
            for listing in self._listings.get(service, {}).values()
            if self.usable(listing, now)
            and any(
                holding.shard == shard and holding.snapshot == snapshot
                for holding in listing.announcement.holdings
            )
        ]

    def usable(self, listing: Listing, now: timedelta) -> bool:
        """Return whether a target may get new work.

        It must be ready, and an announcement or an exchange must have arrived within
        the lifetime.
        """
        last_contact = max(listing.heard_at, listing.contacted_at or listing.heard_at)
        return (
            listing.announcement.state is TargetState.READY
            and self._expiry_time(now) - last_contact <= self._lifetime
        )

    def _expiry_time(self, now: timedelta) -> timedelta:
        """Return the time up to which ages count: `now` or the start of a pause.

        The start counts during a pause of the process and for one lifetime after it.
        """
        if self._ticked_at is not None and now - self._ticked_at > _MIN_PAUSE:
            return self._ticked_at
        if self._pause_started_at is not None and now < self._grace_ends_at:
            return self._pause_started_at
        return now

    def _contradiction(self, announcement: Announcement) -> BadAnnouncement | None:
        snapshots = self._snapshots.get(announcement.service, {})
        for holding in announcement.holdings:
            snapshot = holding.snapshot
            if not 0 <= holding.shard < snapshot.shards:
                return BadAnnouncement("shard", f"from 0 to {snapshot.shards - 1}")
            known = snapshots.get(snapshot.version, snapshot)
            if known != snapshot:
                return BadAnnouncement(
                    "snapshot", f"layout {known.layout!r} with {known.shards} shards"
                )
        return None

    def _record_topology_change(self, service: str, at: timedelta) -> None:
        self._topology_version += 1
        self._topology_changed_at[service] = at

    def _remove_unannounced_snapshots(self, service: str) -> None:
        announced = {
            holding.snapshot.version
            for listing in self._listings.get(service, {}).values()
            for holding in listing.announcement.holdings
        }
        snapshots = self._snapshots.get(service, {})
        self._snapshots[service] = {
            version: snapshot
            for version, snapshot in snapshots.items()
            if version in announced
        }


def _shard_of_oldest_snapshot(announcement: Announcement) -> tuple[int, int] | None:
    """Return the number of shards of the oldest snapshot of a target, and its shard.

    None if the target serves no snapshot.
    """
    if not announcement.holdings:
        return None
    oldest = min(announcement.holdings, key=lambda holding: holding.snapshot.version)
    return oldest.snapshot.shards, oldest.shard


def _supersedes(new: Announcement, old: Announcement) -> bool:
    if (new.incarnation, new.sequence) <= (old.incarnation, old.sequence):
        return False
    returns_after_leaving = (
        old.state is TargetState.LEAVING
        and new.incarnation == old.incarnation
        and new.state is not TargetState.LEAVING
    )
    return not returns_after_leaving


def _next_listing(
    known: Listing | None, announcement: Announcement, heard_at: timedelta
) -> Listing:
    same_incarnation = (
        known is not None and known.announcement.incarnation == announcement.incarnation
    )
    if known is not None and same_incarnation:
        was_ready = known.announcement.state is TargetState.READY
        ready_at, contacted_at = known.ready_at, known.contacted_at
        cold = not was_ready and ready_at is None
    else:
        ready_at = contacted_at = None
        cold = announcement.sequence < _FIRST_WARM_SEQUENCE
    if announcement.state is TargetState.READY and cold:
        ready_at = heard_at
    return Listing(announcement, heard_at, ready_at, contacted_at)
