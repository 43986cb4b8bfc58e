"""Accepts announcements of targets and relays them to the other instances."""

from datetime import timedelta

from expression import Error, Ok, Result

from lovagetray._clock import Clock
from lovagetray._errors import BadAnnouncement, StaleAnnouncement
from lovagetray._peer_messages import (
    AgedAnnouncement,
    Announced,
    AnnouncementDigest,
    KnownTarget,
)
from lovagetray._telemetry import RELAYED_ANNOUNCEMENTS_REFUSED
from lovagetray._types import Announcement
from lovagetray.state import TargetDirectory

_NO_AGE = timedelta(0)


def accept_announcement(
    directory: TargetDirectory, announcement: Announcement, clock: Clock
) -> Result[Announced, BadAnnouncement | StaleAnnouncement]:
    """Record a target's announcement and return the message that relays it."""
    match directory.accept(announcement, clock.monotonic_time()):
        case Result(tag="ok"):
            return Ok(Announced((AgedAnnouncement(announcement, _NO_AGE),)))
        case Result(error=failure):
            return Error(failure)


def accept_relayed_announcements(
    directory: TargetDirectory, message: Announced, clock: Clock
) -> None:
    """Record announcements that a peer relayed, and count the refused ones."""
    now = clock.monotonic_time()
    for item in message.items:
        match directory.accept(item.announcement, now - item.age):
            case Result(tag="error", error=failure):
                RELAYED_ANNOUNCEMENTS_REFUSED.labels(failure.code).inc()


def announcement_digest(directory: TargetDirectory) -> AnnouncementDigest:
    """Return the version of each announcement known here, for a peer to compare."""
    return AnnouncementDigest(
        tuple(_known_target(listing.announcement) for listing in directory.listings())
    )


def newer_announcements(
    directory: TargetDirectory, message: AnnouncementDigest, clock: Clock
) -> Announced:
    """Return the announcements known here that the sender of a digest lacks."""
    peer_versions = {
        (known.service, known.target): (known.incarnation, known.sequence)
        for known in message.known
    }
    now = clock.monotonic_time()
    items = []
    for listing in directory.listings():
        own = listing.announcement
        peer_version = peer_versions.get((own.service, own.target), (-1, -1))
        if (own.incarnation, own.sequence) > peer_version:
            items.append(AgedAnnouncement(own, now - listing.heard_at))
    return Announced(tuple(items))


def _known_target(announcement: Announcement) -> KnownTarget:
    return KnownTarget(
        announcement.service,
        announcement.target,
        announcement.incarnation,
        announcement.sequence,
    )
