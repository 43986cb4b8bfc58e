"""What a notice of a replica states beyond the one before."""

from datetime import timedelta
from zlib import crc32

from lovagetray._routing_types import ReplicaNotice

# Stands for every warm-up that is not over yet.
_ANY_WARM_UP = timedelta(milliseconds=1)


def is_repetition(notice: ReplicaNotice, other: ReplicaNotice) -> bool:
    """Return whether two notices differ only in what each repetition changes.

    These are the sequence and the rest of a warm-up that is not over in either.
    """
    return (
        notice.state is other.state
        and notice.born == other.born
        and notice.address == other.address
        and notice.service == other.service
        and notice.data_centre == other.data_centre
        and notice.slots == other.slots
        and bool(notice.warm_up) == bool(other.warm_up)
    )


def warm_up_end(notice: ReplicaNotice, heard_at: timedelta) -> timedelta:
    """Return the monotonic time at which a warm-up ends; 0 if none is stated."""
    return heard_at + notice.warm_up if notice.warm_up else timedelta(0)


def content_checksum(notice: ReplicaNotice) -> int:
    """Return a checksum of the notice without what each repetition changes."""
    return crc32(repr(urgent_part(notice)).encode())


def urgent_part(notice: ReplicaNotice) -> ReplicaNotice:
    """Return the notice without the parts that other instances need not know at once.

    These are its sequence and the remaining time of the warm-up; whether the warm-up is
    over is kept.
    """
    warm_up = _ANY_WARM_UP if notice.warm_up else timedelta(0)
    return notice._replace(sequence=0, warm_up=warm_up)
