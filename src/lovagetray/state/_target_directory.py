"""The targets that have announced themselves, as one instance knows them."""

from collections.abc import Iterator
from datetime import timedelta
from typing import NamedTuple

from expression import Error, Ok, Result

from lovagetray._errors import BadAnnouncement, StaleAnnouncement
from lovagetray._types import Announcement, Snapshot, TargetState


class Listing(NamedTuple):
    """An accepted announcement and when it was last heard, on the monotonic clock.

    Parameters
    ----------
    ready_at
        When this incarnation was first known as ready; None if it was ready long before
        this instance heard of it, or is not ready.
    contacted_at
        When an exchange with this incarnation last succeeded; None if none did.
    """

    announcement: Announcement
    heard_at: timedelta
    ready_at: timedelta | None = None
    contacted_at: timedelta | None = None


# Targets announce each second, so a later first announcement is not a cold start.
_COLD_SEQUENCE = 10
# Housekeeping runs each second; a longer gap means that the process was paused.
_PAUSE = timedelta(milliseconds=1500)


class TargetDirectory:
    """Announced targets; the announce command is its only writer.

    Parameters
    ----------
    lifetime
        How long an announcement counts after it was heard.
    """

    def __init__(self, lifetime: timedelta) -> None:
        self._lifetime = lifetime
        self._listings: dict[str, dict[str, Listing]] = {}
        self._layouts: dict[str, dict[int, Snapshot]] = {}
        self._structure = 0
        self._structure_changed: dict[str, timedelta] = {}
        self._round_at: timedelta | None = None
        self._paused_at: timedelta | None = None
        self._grace_ends = timedelta(0)

    @property
    def lifetime(self) -> timedelta:
        """How long an announcement counts after it was heard."""
        return self._lifetime

    def change_lifetime(self, lifetime: timedelta) -> None:
        """Set how long an announcement counts after it was heard."""
        self._lifetime = lifetime

    @property
    def topology_version(self) -> int:
        """Counts the changes of which targets there are and which shard each serves."""
        return self._structure

    @property
    def services(self) -> tuple[str, ...]:
        """The services that targets have announced."""
        return tuple(self._listings)

    def accept(
        self, announcement: Announcement, heard_at: timedelta
    ) -> Result[Listing, BadAnnouncement | StaleAnnouncement]:
        """Record an announcement, or tell why it is refused.

        The first announcement of an index version fixes its partition map. A target
        that said it is leaving stays so until it restarts with a new incarnation.
        """
        known = self._listings.get(announcement.service, {}).get(announcement.target)
        if known is not None and not _supersedes(announcement, known.announcement):
            return Error(StaleAnnouncement(announcement.target))
        contradiction = self._contradiction(announcement)
        if contradiction is not None:
            return Error(contradiction)
        if known is None or _first_shard(known.announcement) != _first_shard(
            announcement
        ):
            # A relayed announcement may have been heard up to one lifetime ago.
            self._change_structure(announcement.service, heard_at + self._lifetime)
        listing = _next_listing(known, announcement, heard_at)
        self._listings.setdefault(announcement.service, {})[
            announcement.target
        ] = listing
        if known is None or known.announcement.holdings != announcement.holdings:
            layouts = self._layouts.setdefault(announcement.service, {})
            for holding in announcement.holdings:
                layouts[holding.snapshot.version] = holding.snapshot
            self._forget_layouts(announcement.service)
        return Ok(listing)

    def record_contact(self, service: str, target: str, at: timedelta) -> None:
        """Record that an exchange with a target succeeded."""
        listing = self.listing(service, target)
        if listing is not None:
            self._listings[service][target] = listing._replace(contacted_at=at)

    def record_tick(self, now: timedelta) -> None:
        """Record a housekeeping round; a gap before it means that this process paused.

        After a pause no target expires for one lifetime, because announcements were
        sent to an instance that could not read them.
        """
        if self._round_at is not None and now - self._round_at > _PAUSE:
            self._paused_at = self._round_at
            self._grace_ends = now + self._lifetime
        self._round_at = now

    def expire(self, now: timedelta, forget_after: timedelta) -> None:
        """Drop targets that have been silent for longer than `forget_after`."""
        for service, listings in self._listings.items():
            gone = [
                name
                for name, listing in listings.items()
                if now - listing.heard_at > forget_after
            ]
            for name in gone:
                del listings[name]
            if gone:
                self._change_structure(service, now)
                self._forget_layouts(service)
        empty = [service for service, found in self._listings.items() if not found]
        for service in empty:
            del self._listings[service]
            self._layouts.pop(service, None)

    def listing(self, service: str, target: str) -> Listing | None:
        """Return what is known of a target."""
        return self._listings.get(service, {}).get(target)

    def listings(self, service: str | None = None) -> Iterator[Listing]:
        """Yield the known targets, of one service or of all."""
        if service is not None:
            yield from self._listings.get(service, {}).values()
            return
        for listings in self._listings.values():
            yield from listings.values()

    def topology_changed_at(self, service: str) -> timedelta:
        """Return when the targets of a service, or their shards, changed last."""
        return self._structure_changed.get(service, timedelta(0))

    def preceding_replicas(self, announcement: Announcement) -> list[Announcement]:
        """Return the replicas of the same shard whose names come before this one's."""
        shard = _first_shard(announcement)
        siblings = [
            listing.announcement
            for listing in self._listings.get(announcement.service, {}).values()
            if listing.announcement.target < announcement.target
            and _first_shard(listing.announcement) == shard
        ]
        return sorted(siblings, key=lambda sibling: sibling.target)

    def snapshots(self, service: str) -> list[Snapshot]:
        """Return the announced snapshots of a service, the newest first."""
        layouts = self._layouts.get(service, {})
        return [layouts[version] for version in sorted(layouts, reverse=True)]

    def candidates(
        self, service: str, snapshot: Snapshot, shard: int, now: timedelta
    ) -> list[Listing]:
        """Return the targets that may get new work for a shard of a snapshot."""
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
        """Tell whether a target may get new work."""
        seen_at = max(listing.heard_at, listing.contacted_at or listing.heard_at)
        return (
            listing.announcement.state is TargetState.READY
            and self._expiry_time(now) - seen_at <= self._lifetime
        )

    def _expiry_time(self, now: timedelta) -> timedelta:
        """Return the time at which ages count: that before a pause of this process."""
        if self._round_at is not None and now - self._round_at > _PAUSE:
            return self._round_at
        if self._paused_at is not None and now < self._grace_ends:
            return self._paused_at
        return now

    def _contradiction(self, announcement: Announcement) -> BadAnnouncement | None:
        layouts = self._layouts.get(announcement.service, {})
        for holding in announcement.holdings:
            snapshot = holding.snapshot
            if not 0 <= holding.shard < snapshot.shards:
                return BadAnnouncement("shard", f"from 0 to {snapshot.shards - 1}")
            known = layouts.get(snapshot.version, snapshot)
            if known != snapshot:
                return BadAnnouncement(
                    "snapshot", f"layout {known.layout!r} with {known.shards} shards"
                )
        return None

    def _change_structure(self, service: str, at: timedelta) -> None:
        self._structure += 1
        self._structure_changed[service] = at

    def _forget_layouts(self, service: str) -> None:
        held = {
            holding.snapshot.version
            for listing in self._listings.get(service, {}).values()
            for holding in listing.announcement.holdings
        }
        layouts = self._layouts.get(service, {})
        self._layouts[service] = {
            version: snapshot
            for version, snapshot in layouts.items()
            if version in held
        }


def _first_shard(announcement: Announcement) -> tuple[int, int] | None:
    """Return the shard that a target holds of its oldest snapshot."""
    if not announcement.holdings:
        return None
    oldest = min(announcement.holdings, key=lambda holding: holding.snapshot.version)
    return oldest.snapshot.shards, oldest.shard


def _supersedes(new: Announcement, old: Announcement) -> bool:
    if (new.incarnation, new.sequence) <= (old.incarnation, old.sequence):
        return False
    returned = (
        old.state is TargetState.LEAVING
        and new.incarnation == old.incarnation
        and new.state is not TargetState.LEAVING
    )
    return not returned


def _next_listing(
    known: Listing | None, announcement: Announcement, heard_at: timedelta
) -> Listing:
    same = (
        known is not None and known.announcement.incarnation == announcement.incarnation
    )
    if known is not None and same:
        was_ready = known.announcement.state is TargetState.READY
        ready_at, contacted_at = known.ready_at, known.contacted_at
        cold = not was_ready and ready_at is None
    else:
        ready_at = contacted_at = None
        cold = announcement.sequence < _COLD_SEQUENCE
    if announcement.state is TargetState.READY and cold:
        ready_at = heard_at
    return Listing(announcement, heard_at, ready_at, contacted_at)
