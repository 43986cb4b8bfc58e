"""One instance's claim on one replica and what it allows."""

from datetime import timedelta
from typing import NamedTuple

from lovagetray._types import Announcement, InstanceId, ReplicaKey, ReplicaQuota
from lovagetray.state import LEASE_DURATION

_NO_TIME = timedelta(0)
# A former owner's lease has ended for certain after one lease and 10% for clock drift.
LEASE_ENDED = LEASE_DURATION * 1.1

NOT_CLAIMED = ReplicaQuota(0, 0, orphaned=True)
GIVEN_UP = ReplicaQuota(0, 0, orphaned=True, available_in=timedelta(hours=1))


class FormerOwner(NamedTuple):
    """An instance that may still use a replica because it did not release it.

    Parameters
    ----------
    instance
        The run that may use it; None if this instance never heard of it.
    lease_ends
        When its lease must have ended.
    forgotten_at
        When it must have stopped by itself.
    """

    instance: InstanceId | None
    lease_ends: timedelta
    forgotten_at: timedelta


class Claim:
    """A claim of this instance on a replica.

    Parameters
    ----------
    number
        Differs for each claim, so that an answer to an older one does not count.
    awaiting
        Live instances that have not released the replica yet.
    kept
        Whether this instance went on with one connection since its lease ended.
    """

    def __init__(self, key: ReplicaKey, number: int, kept: bool) -> None:
        self.key = key
        self.number = number
        self.kept = kept
        self.awaiting: set[str] = set()
        self.former: dict[str, FormerOwner] = {}
        self.asked_at: timedelta | None = None
        self.releasing = False
        self.complete = False

    @property
    def unanswered(self) -> set[str]:
        """The instances that still have to release the replica."""
        return self.awaiting | self.former.keys()

    def released_by(self, name: str) -> None:
        """Record that an instance released the replica."""
        self.awaiting.discard(name)
        self.former.pop(name, None)

    def forget(self, now: timedelta) -> None:
        """Drop former owners that must have stopped by themselves."""
        for name, former in list(self.former.items()):
            if now >= former.forgotten_at:
                del self.former[name]

    def usable_in(self, now: timedelta) -> timedelta:
        """Return the time until the leases of all former owners have ended."""
        ends = [former.lease_ends - now for former in self.former.values()]
        return max([_NO_TIME, *ends])

    def allowance(self, announcement: Announcement, now: timedelta) -> ReplicaQuota:
        """Return what the holder of a lease may use of the replica."""
        wait = self.usable_in(now)
        if self.awaiting or (wait > _NO_TIME and not self.complete):
            if self.kept:
                return orphan_allowance(announcement)
            return ReplicaQuota(0, 0, available_in=wait)
        self.complete = True
        slots = max(0, announcement.slots - len(self.former))
        connections = max(0, announcement.connections - len(self.former))
        if slots == 0 or connections == 0:
            frees = min(former.forgotten_at for former in self.former.values())
            return ReplicaQuota(0, 0, available_in=frees - now)
        return ReplicaQuota(slots, connections)


def orphan_allowance(announcement: Announcement) -> ReplicaQuota:
    """Return what an owner may use after its lease has ended."""
    return ReplicaQuota(1, 1, orphaned=True)
