"""Directory of the replicas that have sent notices."""

from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from typing import NamedTuple
from zlib import crc32

from lovagetray._routing_types import (
    NoticeVersion,
    RepeatedNotice,
    ReplicaNotice,
    ReplicaRun,
    ReplicaState,
)
from lovagetray._types import Address
from lovagetray.state._notice_content import (
    content_checksum,
    is_repetition,
    urgent_part,
    warm_up_end,
)

# Sorts before the order of every notice.
_BEFORE_ALL_NOTICES = (-1, False, -1)


class KnownReplica(NamedTuple):
    """The newest notice of a replica and when it was heard.

    Parameters
    ----------
    heard_at
        Monotonic time at which the notice was last heard.
    leaving
        Whether the replica has stated in a response of this run that it is leaving.
    silent
        Whether no notice was heard for the lifetime of a notice.
    cold_until
        Monotonic time at which the warm-up ends that the notice states, counted from
        the time at which it was received; 0 if the notice states none.
    """

    notice: ReplicaNotice
    heard_at: timedelta
    leaving: bool = False
    silent: bool = False
    cold_until: timedelta = timedelta(0)

    @property
    def usable(self) -> bool:
        """Whether the replica takes requests."""
        ready = self.notice.state is ReplicaState.READY
        return ready and not self.leaving and not self.silent


class StoredReplica(NamedTuple):
    """A replica in the directory's file."""

    notice: ReplicaNotice
    leaving: bool


class StoredDirectory(NamedTuple):
    """Content of the directory's file.

    Parameters
    ----------
    saved_at
        Wall-clock time in UTC.
    """

    saved_at: datetime
    replicas: tuple[StoredReplica, ...]


class ReplicaDirectory:
    """The replicas that have sent notices; only the discovery commands change them.

    A replica that left, or whose address was taken over by another one, stays in the
    directory until it expires, so that a late notice cannot bring it back.

    Parameters
    ----------
    lifetime
        How long a notice is valid after it was heard.
    retention
        Silence after which a replica is removed.
    """

    def __init__(self, lifetime: timedelta, retention: timedelta) -> None:
        self._lifetime = lifetime
        self._retention = retention
        self._replicas: dict[str, KnownReplica] = {}
        self._replica_at_address: dict[Address, str] = {}
        self._replicas_by_service: dict[str, dict[str, KnownReplica]] = {}
        # Look-ups are far more frequent than changes.
        self._usable: dict[str, list[ReplicaNotice]] = {}
        self._revision = 0
        self._checksum = 0
        self._checksum_revision = -1

    def accept(self, notice: ReplicaNotice, heard_at: timedelta) -> bool:
        """Store a notice and return whether other instances must hear of it at once.

        A notice that is not newer than the stored one is ignored.
        """
        stored = self._replicas.get(notice.replica)
        if stored is not None and notice.order <= stored.notice.order:
            return False
        changed = (
            stored is None
            or not is_repetition(stored.notice, notice)
            or self._prolongs_warm_up(stored, warm_up_end(notice, heard_at))
        )
        if self._is_superseded(notice):
            notice = notice._replace(state=ReplicaState.LEFT)
            changed = stored is None or stored.notice.state is not ReplicaState.LEFT
        self._store(notice, heard_at)
        return changed

    def repeated_notice(self, replica: str) -> RepeatedNotice | None:
        """Return a short form of the stored notice, for instances that have it too.

        Returns
        -------
        RepeatedNotice or None
            None if the replica is unknown.
        """
        stored = self._replicas.get(replica)
        if stored is None:
            return None
        notice = stored.notice
        return RepeatedNotice(
            replica, notice.born, notice.sequence, content_checksum(notice)
        )

    def accept_repeated(self, repeated: RepeatedNotice, heard_at: timedelta) -> bool:
        """Return whether the stored notice is up to date after a repeated one.

        Returns
        -------
        bool
            False if the replica is unknown, or the repeated notice is newer than the
            stored one and differs by more than its sequence; nothing is stored then.
        """
        stored = self._replicas.get(repeated.replica)
        if stored is None:
            return False
        notice = stored.notice
        if (repeated.born, repeated.sequence) <= (notice.born, notice.sequence):
            return True
        if (repeated.born, repeated.content_checksum) != (
            notice.born,
            content_checksum(notice),
        ):
            return False
        self._store(
            notice._replace(sequence=repeated.sequence),
            heard_at,
            self._repeated_cold_until(stored, heard_at),
        )
        return True

    def _repeated_cold_until(
        self, stored: KnownReplica, heard_at: timedelta
    ) -> timedelta:
        """Return the end of a warm-up after a notice repeated that it goes on.

        A repeated notice does not state the time left. After the end that was stated
        before, the warm-up counts until the next notice should have come.
        """
        if not stored.notice.warm_up:
            return stored.cold_until
        return max(stored.cold_until, heard_at + self._lifetime)

    def leave(self, replica: str, heard_at: timedelta) -> ReplicaNotice | None:
        """Mark a replica as left and return its notice, or None if it is unknown."""
        stored = self._replicas.get(replica)
        if stored is None:
            return None
        notice = stored.notice
        if notice.state is not ReplicaState.LEFT:
            notice = notice._replace(state=ReplicaState.LEFT)
            self._store(notice, heard_at)
        return notice

    def find(self, replica: str) -> ReplicaNotice | None:
        """Return the newest notice of a replica, or None if it is unknown."""
        stored = self._replicas.get(replica)
        return None if stored is None else stored.notice

    def usable(self, service: str) -> list[ReplicaNotice]:
        """Return the notices of the usable replicas of a service."""
        usable = self._usable.get(service)
        if usable is None:
            usable = self._usable[service] = [
                known.notice
                for known in self._replicas_by_service.get(service, {}).values()
                if known.usable
            ]
        return usable

    def cold_until(self, replica: str) -> timedelta:
        """Return the monotonic time at which the warm-up of a replica ends."""
        known = self._replicas.get(replica)
        return timedelta(0) if known is None else known.cold_until

    def is_usable(self, notice: ReplicaNotice) -> bool:
        """Return whether a replica is usable at the address of an earlier notice."""
        known = self._replicas.get(notice.replica)
        return (
            known is not None
            and known.usable
            and known.notice.address == notice.address
        )

    @property
    def revision(self) -> int:
        """A number that rises with each change other than a repeated notice."""
        return self._revision

    def checksum(self) -> int:
        """Return a checksum of all notices without what each repetition changes."""
        if self._checksum_revision != self._revision:
            self._checksum_revision = self._revision
            self._checksum = 0
            for known in self._replicas.values():
                # The sum does not depend on the order of the replicas.
                self._checksum += crc32(repr(urgent_part(known.notice)).encode())
        return self._checksum

    def known_replicas(self) -> Iterable[KnownReplica]:
        """Return all replicas, usable or not."""
        return self._replicas.values()

    def follow(
        self, notice: ReplicaNotice, leaving: bool, silent: bool, now: timedelta
    ) -> None:
        """Store what a relay states about a replica, unless a newer notice is known."""
        stored = self._replicas.get(notice.replica)
        if stored is not None and stored.notice.order > notice.order:
            return
        cold_until = None
        if stored is not None and stored.notice.order == notice.order:
            # The time left was counted from the first time that the notice came.
            cold_until = stored.cold_until
        self._store(notice, now, cold_until)
        stored = self._replicas[notice.replica]
        leaving = leaving or stored.leaving
        self._put(stored._replace(leaving=leaving, silent=silent))

    def restore(
        self, stored: StoredReplica, now: timedelta, confirmation_time: timedelta
    ) -> None:
        """Store a replica from the directory's file.

        A ready one falls silent after `confirmation_time` without a notice. One that
        has left is kept, so that a late notice cannot bring it back.
        """
        heard_at = now
        if stored.notice.state is not ReplicaState.LEFT:
            heard_at = now - self._lifetime + confirmation_time
        self._store(stored.notice, heard_at)
        if stored.leaving:
            known = self._replicas[stored.notice.replica]
            self._put(known._replace(leaving=True))

    def mark_leaving(self, run: ReplicaRun) -> bool:
        """Stop using a run of a replica that stated in a response that it is leaving.

        Later notices of the same run do not make it usable again, as they may have been
        sent before the response.

        Returns
        -------
        bool
            Whether the run is known and was in use.
        """
        known = self._replicas.get(run.replica)
        if known is None or known.leaving or known.notice.born != run.born:
            return False
        self._put(known._replace(leaving=True))
        return True

    def notice_versions(self) -> Iterator[NoticeVersion]:
        """Yield the versions of the stored notices, for another instance to compare."""
        for known in self._replicas.values():
            yield NoticeVersion(known.notice.replica, known.notice.order)

    def newer_than(self, versions: Iterable[NoticeVersion]) -> list[KnownReplica]:
        """Return the replicas whose notices are missing or older in `versions`."""
        orders = {version.replica: version.order for version in versions}
        return [
            known
            for known in self._replicas.values()
            if known.notice.order
            > orders.get(known.notice.replica, _BEFORE_ALL_NOTICES)
        ]

    def is_older_than(self, versions: Iterable[NoticeVersion]) -> bool:
        """Return whether any notice in `versions` is missing or older here."""
        for version in versions:
            known = self._replicas.get(version.replica)
            if known is None or known.notice.order < version.order:
                return True
        return False

    def expire(self, now: timedelta, judge_silence: bool = True) -> None:
        """Mark silent replicas and remove those that stay silent or have left.

        Parameters
        ----------
        judge_silence
            False if a relay states which replicas are silent. Only replicas that it
            states to be silent, or that have left, are removed then.
        """
        for known in list(self._replicas.values()):
            silence = now - known.heard_at
            if silence > self._retention and (judge_silence or not known.usable):
                self._remove(known.notice)
            elif judge_silence and silence > self._lifetime and not known.silent:
                self._put(known._replace(silent=True))

    def _is_superseded(self, notice: ReplicaNotice) -> bool:
        """Return whether a replica that started later uses the address of a notice."""
        current_replica = self._replica_at_address.get(notice.address)
        if current_replica is None or current_replica == notice.replica:
            return False
        return self._replicas[current_replica].notice.born > notice.born

    def _store(
        self,
        notice: ReplicaNotice,
        heard_at: timedelta,
        cold_until: timedelta | None = None,
    ) -> None:
        """Store a notice; by default its warm-up is counted from `heard_at`."""
        if cold_until is None:
            cold_until = warm_up_end(notice, heard_at)
        stored = self._replicas.get(notice.replica)
        if stored is not None:
            self._remove(stored.notice)
        current_replica = self._replica_at_address.get(notice.address)
        if current_replica is not None and notice.state is not ReplicaState.LEFT:
            self._mark_left(current_replica)
        leaving = (
            stored is not None and stored.leaving and stored.notice.born == notice.born
        )
        known = KnownReplica(notice, heard_at, leaving, cold_until=cold_until)
        repeated = (
            stored is not None
            and not stored.silent
            and is_repetition(stored.notice, notice)
            and not self._prolongs_warm_up(stored, cold_until)
        )
        self._put(known, repeated)
        if notice.state is not ReplicaState.LEFT:
            self._replica_at_address[notice.address] = notice.replica

    def _prolongs_warm_up(self, stored: KnownReplica, cold_until: timedelta) -> bool:
        """Return whether a warm-up ends so much later that others must hear of it."""
        return (
            bool(stored.notice.warm_up)
            and cold_until - stored.cold_until > self._lifetime
        )

    def _mark_left(self, replica: str) -> None:
        known = self._replicas[replica]
        left = known._replace(notice=known.notice._replace(state=ReplicaState.LEFT))
        self._put(left)

    def _put(self, known: KnownReplica, repeated: bool = False) -> None:
        notice = known.notice
        self._revision += not repeated
        self._replicas[notice.replica] = known
        self._replicas_by_service.setdefault(notice.service, {})[notice.replica] = known
        self._usable.pop(notice.service, None)

    def _remove(self, notice: ReplicaNotice) -> None:
        self._usable.pop(notice.service, None)
        self._replicas.pop(notice.replica, None)
        self._replicas_by_service.get(notice.service, {}).pop(notice.replica, None)
        if self._replica_at_address.get(notice.address) == notice.replica:
            del self._replica_at_address[notice.address]
