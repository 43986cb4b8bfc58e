"""Keeps the directory on disk, so that replicas are known at once after a restart.

When all instances restart together, replicas would be known again only by their next
notices, a second and more later. And a late notice could bring back a replica that had
left, since nobody would remember.
"""

from datetime import timedelta
from typing import Protocol

from curio import Event
from expression import Result
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._routing_types import ReplicaState
from lovagetray.state import (
    KnownReplica,
    Relays,
    ReplicaDirectory,
    StoredDirectory,
    StoredReplica,
)
from lovagetray.wire import decode_directory, encode_directory

_log = get_logger()
_FILE = "directory"
_SAVE_INTERVAL = timedelta(milliseconds=500)
# Without changes the directory is saved again at this interval, which shows its age.
_REFRESH_INTERVAL = timedelta(seconds=10)
# Ready replicas of an older file are not used: many may be gone. Those that leave or
# have left are remembered whatever the age, as wall clocks jump.
_MAX_AGE = timedelta(seconds=30)


class FileDisk(Protocol):
    """The part of a disk that the directory needs."""

    async def read(self, file: str) -> bytes | None: ...

    async def replace(self, file: str, data: bytes) -> None: ...

    async def sync_folder(self) -> None: ...


class _PendingSave:
    """A wait until the directory is on the disk; `saved` is its outcome."""

    def __init__(self) -> None:
        self.saved = False
        self.done = Event()


class DirectoryStore:
    """The directory's file on the disk of this instance; one task writes it.

    Parameters
    ----------
    confirmation_time
        How long a ready replica of the file is used without a notice of its own.
    """

    def __init__(
        self,
        disk: FileDisk,
        directory: ReplicaDirectory,
        relays: Relays,
        clock: Clock,
        confirmation_time: timedelta,
    ) -> None:
        self._disk = disk
        self._directory = directory
        self._relays = relays
        self._clock = clock
        self._confirmation_time = confirmation_time
        self._saved_revision = -1
        self._pending: list[_PendingSave] = []
        self._save_requested = Event()

    async def load(self) -> None:
        """Restore the directory; a missing or damaged file leaves it empty."""
        try:
            data = await self._disk.read(_FILE)
        except OSError as error:
            _log.warning("directory_unreadable", reason=str(error))
            return
        if data is None:
            return
        match decode_directory(data):
            case Result(tag="ok", ok=stored):
                self._restore(stored)
            case Result(error=failure):
                _log.warning("directory_unreadable", reason=str(failure))

    async def save(self, timeout: timedelta) -> bool:
        """Save the directory now; return whether all changes so far are on the disk.

        Parameters
        ----------
        timeout
            How long a slow disk is waited for.
        """
        if self._saved_revision == self._directory.revision:
            return True
        pending = _PendingSave()
        self._pending.append(pending)
        await self._save_requested.set()
        await self._clock.with_timeout(timeout, pending.done.wait())
        return pending.saved

    async def run(self) -> None:
        """Save the directory on request, after changes and every 10 s."""
        written_revision = -1
        written_at: timedelta | None = None
        while True:
            await self._clock.with_timeout(_SAVE_INTERVAL, self._save_requested.wait())
            self._save_requested.clear()
            pending, self._pending = self._pending, []
            now = self._clock.monotonic_time()
            unchanged = written_revision == self._directory.revision
            recent = written_at is not None and now - written_at < _REFRESH_INTERVAL
            due = self._relays.is_relay and not (unchanged and recent)
            if not pending and not due:
                continue
            written_revision, written_at = self._directory.revision, now
            saved = await self._write()
            if saved:
                self._saved_revision = written_revision
            for save in pending:
                save.saved = saved
                await save.done.set()

    async def _write(self) -> bool:
        """Write the file; return whether it is on the disk."""
        try:
            await self._disk.replace(_FILE, encode_directory(self._content()))
            await self._disk.sync_folder()
        except OSError as error:
            # The instance goes on without the file; whoever waits for it is told.
            _log.warning("directory_not_saved", reason=str(error))
            return False
        return True

    def _content(self) -> StoredDirectory:
        return StoredDirectory(
            self._clock.now(),
            tuple(
                StoredReplica(known.notice, known.leaving)
                for known in self._directory.known_replicas()
                if not known.silent or _has_left(known)
            ),
        )

    def _restore(self, stored: StoredDirectory) -> None:
        recent = abs(self._clock.now() - stored.saved_at) <= _MAX_AGE
        now = self._clock.monotonic_time()
        for replica in stored.replicas:
            if recent or _has_left(replica):
                self._directory.restore(replica, now, self._confirmation_time)
        _log.info(
            "directory_restored", replicas=len(stored.replicas), ready_used=recent
        )


def _has_left(replica: KnownReplica | StoredReplica) -> bool:
    return replica.notice.state is not ReplicaState.READY or replica.leaving
