"""Assigns each replica to its owner, the only instance that connects to it."""

from collections.abc import Iterable, Sequence

from xxhash import xxh64_intdigest

from lovagetray._types import Announcement
from lovagetray.state import InstanceRecord, InstanceState, Members


def ownership_ranking(
    announcement: Announcement, instances: Sequence[InstanceRecord]
) -> list[InstanceRecord]:
    """Return the instances in order of preference as owner of a replica.

    Instances in the replica's data centre come first. Within a data centre the order
    is given by rendezvous hashing, so that the loss of an instance moves only its own
    replicas.
    """
    identity = f"{announcement.service}\0{announcement.target}\0"

    def rank(record: InstanceRecord) -> tuple[bool, int]:
        is_local = record.data_centre == announcement.data_centre
        return is_local, xxh64_intdigest((identity + record.instance.name).encode())

    return sorted(instances, key=rank, reverse=True)


def owner_of(
    announcement: Announcement,
    instances: Sequence[InstanceRecord],
    earlier: Sequence[Announcement] = (),
) -> InstanceRecord | None:
    """Return the instance that owns a replica, or None if there is no instance.

    Replicas of one shard get different owners if there are enough instances, so that
    the other replicas of the shard stay reachable when one instance is lost. The owner
    of a replica with `n` preceding replicas is among the first `n + 1` instances of its
    ranking.

    Parameters
    ----------
    announcement
        The replica.
    instances
        Instances that may own replicas.
    earlier
        Replicas of the same shard that are assigned before this one, in order.
    """
    assigned: set[str] = set()
    for sibling in earlier:
        owner = _first_unassigned(ownership_ranking(sibling, instances), assigned)
        if owner is not None:
            assigned.add(owner.instance.name)
    return _first_unassigned(ownership_ranking(announcement, instances), assigned)


def eligible_owners(members: Members, names: Iterable[str]) -> list[InstanceRecord]:
    """Return the records of the instances that may own replicas.

    Leaving instances are left out, unless all instances are leaving: then they own
    their replicas until other instances have joined.
    """
    found = [members.record(name) for name in sorted(names)]
    records = [record for record in found if record is not None]
    remaining = [
        record for record in records if record.state is not InstanceState.LEAVING
    ]
    return remaining or records


def _first_unassigned(
    ranking: Sequence[InstanceRecord], assigned: set[str]
) -> InstanceRecord | None:
    for record in ranking:
        if record.instance.name not in assigned:
            return record
    return ranking[0] if ranking else None
