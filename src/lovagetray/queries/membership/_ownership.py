"""Which instance owns a replica, and so is the only one to connect to it."""

from collections.abc import Iterable, Sequence

from xxhash import xxh64_intdigest

from lovagetray._types import Announcement
from lovagetray.state import InstanceRecord, InstanceState, Members


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
    announcement: Announcement,
    instances: Sequence[InstanceRecord],
    earlier: Sequence[Announcement] = (),
) -> InstanceRecord | None:
    """Return the instance that owns a replica, or None if there is no instance.

    Replicas of one shard get different owners while there are enough instances, so
    that the loss of one instance leaves the others of the shard in reach. The owner of
    the replica after `n` earlier ones is among the first `n + 1` of its ranking.

    Parameters
    ----------
    earlier
        The replicas of the same shard that choose before this one, in their order.
    """
    taken: set[str] = set()
    for sibling in earlier:
        owner = _first_free(ownership_ranking(sibling, instances), taken)
        if owner is not None:
            taken.add(owner.instance.name)
    return _first_free(ownership_ranking(announcement, instances), taken)


def eligible_owners(members: Members, names: Iterable[str]) -> list[InstanceRecord]:
    """Return the records of instances that may own replicas: those not leaving.

    If all of them are leaving, they go on until others have come.
    """
    found = [members.record(name) for name in sorted(names)]
    records = [record for record in found if record is not None]
    remaining = [one for one in records if one.state is not InstanceState.LEAVING]
    return remaining or records


def _first_free(
    ranking: Sequence[InstanceRecord], taken: set[str]
) -> InstanceRecord | None:
    for record in ranking:
        if record.instance.name not in taken:
            return record
    return ranking[0] if ranking else None
