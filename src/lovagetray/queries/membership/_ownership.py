"""Which instance owns a replica, and so is the only one to connect to it."""

from collections.abc import Sequence

from xxhash import xxh64_intdigest

from lovagetray._types import Announcement
from lovagetray.state import InstanceRecord


def ownership_ranking(
    announcement: Announcement, instances: Sequence[InstanceRecord]
) -> list[InstanceRecord]:
    """Return the instances in the order in which they would own a replica.

    Instances in the replica's data centre come first; within one data centre the order
    is rendezvous hashing, so that a lost instance moves only its own replicas.
    """
    identity = f"{announcement.service}\0{announcement.target}\0"

    def rank(record: InstanceRecord) -> tuple[bool, int]:
        near = record.data_centre == announcement.data_centre
        return near, xxh64_intdigest((identity + record.instance.name).encode())

    return sorted(instances, key=rank, reverse=True)


def owner_of(
    announcement: Announcement, instances: Sequence[InstanceRecord]
) -> InstanceRecord | None:
    """Return the instance that owns a replica, or None if there is no instance."""
    ranking = ownership_ranking(announcement, instances)
    return ranking[0] if ranking else None
