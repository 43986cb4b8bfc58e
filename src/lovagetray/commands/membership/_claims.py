"""The claim of an instance on a replica, and the quota that it gives."""

from datetime import timedelta
from typing import NamedTuple

from lovagetray._types import Announcement, InstanceId, ReplicaKey, ReplicaQuota
from lovagetray.state import LEASE_DURATION

_ZERO = timedelta(0)
# Time after which the lease of a former owner has certainly expired: the duration of a
# lease and 10% for clock drift.
LEASE_EXPIRY = LEASE_DURATION * 1.1

UNCLAIMED_QUOTA = ReplicaQuota(0, 0, orphaned=True)
# No slot is expected to become available; one hour is longer than any deadline.
EXPIRED_QUOTA = ReplicaQuota(0, 0, orphaned=True, available_in=timedelta(hours=1))


class FormerOwner(NamedTuple):
    """An instance off the live list that may still use a replica it did not release.

    Parameters
    ----------
    instance
        The run of the instance that may use the replica; None if this instance has no
        record of it.
    lease_expires_at
        Time by which its lease has expired.
    use_ends_at
        Time by which it has stopped using the replica by itself: the orphan limit
        after its lease expired.
    """

    instance: InstanceId | None
    lease_expires_at: timedelta
    use_ends_at: timedelta


class Claim:
    """A claim of this instance on a replica.

    Parameters
    ----------
    number
        Identifies the claim, so that a reply to an earlier claim is ignored.
    orphaned
        Whether this instance used the replica when its lease expired, and so may
        continue to use one connection until the claim is complete.

    Attributes
    ----------
    awaiting
        Names of the live instances that have not released the replica yet.
    former_owners
        Instances that are not live and may still use the replica, by name.
    requested_at
        When the other instances were last asked to release the replica.
    releasing
        Whether this instance is giving up the replica.
    complete
        Whether all live instances have released the replica and the leases of the
        former owners have expired; set by `quota`.
    """

    def __init__(self, key: ReplicaKey, number: int, orphaned: bool) -> None:
        self.key = key
        self.number = number
        self.orphaned = orphaned
        self.awaiting: set[str] = set()
        self.former_owners: dict[str, FormerOwner] = {}
        self.requested_at: timedelta | None = None
        self.releasing = False
        self.complete = False

    @property
    def unreleased_by(self) -> set[str]:
        """The names of the instances that still have to release the replica."""
        return self.awaiting | self.former_owners.keys()

    def record_release(self, name: str) -> None:
        """Record that an instance released the replica."""
        self.awaiting.discard(name)
        self.former_owners.pop(name, None)

    def drop_expired_owners(self, now: timedelta) -> None:
        """Remove former owners that have stopped using the replica by `now`."""
        for name, former_owner in list(self.former_owners.items()):
            if now >= former_owner.use_ends_at:
                del self.former_owners[name]

    def time_until_leases_expire(self, now: timedelta) -> timedelta:
        """Return the time until the leases of all former owners have expired."""
        times_left = [
            former_owner.lease_expires_at - now
            for former_owner in self.former_owners.values()
        ]
        return max([_ZERO, *times_left])

    def quota(self, announcement: Announcement, now: timedelta) -> ReplicaQuota:
        """Return the quota of the replica for this instance while it holds a lease.

        Each former owner may still use one slot and one connection, which are left out
        of the quota.
        """
        wait = self.time_until_leases_expire(now)
        if self.awaiting or (wait > _ZERO and not self.complete):
            if self.orphaned:
                return orphan_quota(announcement)
            return ReplicaQuota(0, 0, available_in=wait)
        self.complete = True
        slots = max(0, announcement.slots - len(self.former_owners))
        connections = max(0, announcement.connections - len(self.former_owners))
        if slots == 0 or connections == 0:
            available_at = min(
                former_owner.use_ends_at for former_owner in self.former_owners.values()
            )
            return ReplicaQuota(0, 0, available_in=available_at - now)
        return ReplicaQuota(slots, connections)


def orphan_quota(announcement: Announcement) -> ReplicaQuota:
    """Return the quota of an owner whose lease has expired."""
    return ReplicaQuota(1, 1, orphaned=True)
