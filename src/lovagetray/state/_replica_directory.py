"""The replicas that have announced themselves, as one instance knows them."""

from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import NamedTuple
from zlib import crc32

from lovagetray._routing_types import (
    NoticeVersion,
    RepeatedNotice,
    ReplicaNotice,
    ReplicaState,
)
from lovagetray._types import Address

_NOTHING = (-1, False, -1)
_WARMING_UP = timedelta(milliseconds=1)


class KnownReplica(NamedTuple):
    """A replica's newest notice and when it was heard, on the monotonic clock."""

    notice: ReplicaNotice
    heard_at: timedelta


class ReplicaDirectory:
    """Announced replicas; the announcing commands are its only writers.

    A replica that left, or whose address was taken over, stays in the book until it is
    forgotten, so that a late notice cannot bring it back.

    Parameters
    ----------
    lifetime
        How long a notice counts after it was heard.
    memory
        How long a replica that is not heard any more is remembered.
    """

    def __init__(self, lifetime: timedelta, memory: timedelta) -> None:
        self._lifetime = lifetime
        self._memory = memory
        self._known: dict[str, KnownReplica] = {}
        self._owners: dict[Address, str] = {}
        self._services: dict[str, dict[str, KnownReplica]] = {}

    def accept(self, notice: ReplicaNotice, heard_at: timedelta) -> bool:
        """Record a notice; return whether it tells something new to other instances."""
        held = self._known.get(notice.replica)
        if held is not None and notice.order <= held.notice.order:
            return False
        changed = held is None or _substance(held.notice) != _substance(notice)
        if self._is_superseded(notice):
            notice = notice._replace(state=ReplicaState.LEFT)
            changed = held is None or held.notice.state is not ReplicaState.LEFT
        self._store(notice, heard_at)
        return changed

    def repeated_notice(self, replica: str) -> RepeatedNotice | None:
        """Return what to tell instances that hold the notice of a replica."""
        held = self._known.get(replica)
        if held is None:
            return None
        notice = held.notice
        return RepeatedNotice(replica, notice.born, notice.sequence, _checksum(notice))

    def accept_repeated(self, repeated: RepeatedNotice, heard_at: timedelta) -> bool:
        """Record that a replica repeated the notice that is held here.

        Returns
        -------
        bool
            False if something newer than what is held was repeated; nothing changes.
        """
        held = self._known.get(repeated.replica)
        if held is None:
            return False
        notice = held.notice
        if (repeated.born, repeated.sequence) <= (notice.born, notice.sequence):
            return True
        if (repeated.born, repeated.content_checksum) != (
            notice.born,
            _checksum(notice),
        ):
            return False
        self._store(notice._replace(sequence=repeated.sequence), heard_at)
        return True

    def leave(self, replica: str, heard_at: timedelta) -> ReplicaNotice | None:
        """Mark a replica as gone; return its notice, or None if it is unknown."""
        held = self._known.get(replica)
        if held is None:
            return None
        notice = held.notice
        if notice.state is not ReplicaState.LEFT:
            notice = notice._replace(state=ReplicaState.LEFT)
            self._store(notice, heard_at)
        return notice

    def find(self, replica: str) -> ReplicaNotice | None:
        """Return the newest notice of a replica."""
        held = self._known.get(replica)
        return None if held is None else held.notice

    def usable(self, service: str, now: timedelta) -> list[ReplicaNotice]:
        """Return the ready replicas of a service that were heard lately."""
        heard_since = now - self._lifetime
        return [
            known.notice
            for known in self._services.get(service, {}).values()
            if known.heard_at >= heard_since
            and known.notice.state is ReplicaState.READY
        ]

    def runs(self) -> Iterator[NoticeVersion]:
        """Return what is held, for another instance to compare."""
        for known in self._known.values():
            yield NoticeVersion(known.notice.replica, known.notice.order)

    def newer_than(self, runs: Iterable[NoticeVersion]) -> list[KnownReplica]:
        """Return what is newer here than in `runs`."""
        theirs = {run.replica: run.order for run in runs}
        return [
            known
            for known in self._known.values()
            if known.notice.order > theirs.get(known.notice.replica, _NOTHING)
        ]

    def expire(self, now: timedelta) -> None:
        """Drop replicas that were not heard for longer than `memory`."""
        for known in list(self._known.values()):
            if now - known.heard_at > self._memory:
                self._remove(known.notice)

    def _is_superseded(self, notice: ReplicaNotice) -> bool:
        """Tell whether a later start has taken over the address of a notice."""
        owner = self._owners.get(notice.address)
        if owner is None or owner == notice.replica:
            return False
        return self._known[owner].notice.born > notice.born

    def _store(self, notice: ReplicaNotice, heard_at: timedelta) -> None:
        held = self._known.get(notice.replica)
        if held is not None:
            self._remove(held.notice)
        owner = self._owners.get(notice.address)
        if owner is not None and notice.state is not ReplicaState.LEFT:
            self._end(owner)
        known = KnownReplica(notice, heard_at)
        self._known[notice.replica] = known
        self._services.setdefault(notice.service, {})[notice.replica] = known
        if notice.state is not ReplicaState.LEFT:
            self._owners[notice.address] = notice.replica

    def _end(self, replica: str) -> None:
        known = self._known[replica]
        ended = known._replace(notice=known.notice._replace(state=ReplicaState.LEFT))
        self._known[replica] = ended
        self._services[known.notice.service][replica] = ended

    def _remove(self, notice: ReplicaNotice) -> None:
        self._known.pop(notice.replica, None)
        self._services.get(notice.service, {}).pop(notice.replica, None)
        if self._owners.get(notice.address) == notice.replica:
            del self._owners[notice.address]


def _checksum(notice: ReplicaNotice) -> int:
    return crc32(repr(_substance(notice)).encode())


def _substance(notice: ReplicaNotice) -> ReplicaNotice:
    """Return what other instances must know at once.

    Of the warm-up they need to know whether it is over, not how long it lasts.
    """
    warm_up = _WARMING_UP if notice.warm_up else timedelta(0)
    return notice._replace(sequence=0, warm_up=warm_up)
