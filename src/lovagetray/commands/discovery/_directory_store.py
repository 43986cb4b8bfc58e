"""Keeps the directory on disk, so that replicas are known at once after a restart.

When all instances restart together, replicas would be known again only by their next
notices, a second and more later. And a late notice could bring back a replica that had
left, since nobody would remember.
"""

from datetime import timedelta
from typing import Protocol

from expression import Result
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._routing_types import ReplicaState
from lovagetray.state import Relays, ReplicaDirectory, StoredDirectory, StoredReplica
from lovagetray.wire import decode_directory, encode_directory

_log = get_logger()
_FILE = "directory"
_SAVE_INTERVAL = timedelta(milliseconds=500)
# Without changes the directory is saved again at this interval, which shows its age.
_REFRESH_INTERVAL = timedelta(seconds=10)
# Ready replicas of an older file are not used: many may be gone. Those that have left
# are remembered whatever the age, as wall clocks jump.
_MAX_AGE = timedelta(seconds=30)


class FileDisk(Protocol):
    """The part of a disk that the directory needs."""

    async def read(self, file: str) -> bytes | None: ...

    async def replace(self, file: str, data: bytes) -> None: ...

    async def sync_folder(self) -> None: ...


class DirectoryStore:
    """The directory's file on the disk of this instance.

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

    async def run(self) -> None:
        """Save the directory after changes, and every 10 s, until cancelled."""
        saved_revision = -1
        saved_at: timedelta | None = None
        while True:
            await self._clock.sleep(_SAVE_INTERVAL)
            now = self._clock.monotonic_time()
            unchanged = saved_revision == self._directory.revision
            recent = saved_at is not None and now - saved_at < _REFRESH_INTERVAL
            if not self._relays.is_relay or (unchanged and recent):
                continue
            revision = self._directory.revision
            try:
                await self._disk.replace(_FILE, encode_directory(self._content()))
                await self._disk.sync_folder()
            except OSError as error:
                # The file only speeds up a restart, so the instance goes on without it.
                _log.warning("directory_not_saved", reason=str(error))
            saved_revision, saved_at = revision, now

    def _content(self) -> StoredDirectory:
        return StoredDirectory(
            self._clock.now(),
            tuple(
                StoredReplica(known.notice, known.leaving)
                for known in self._directory.known_replicas()
                if not known.silent
            ),
        )

    def _restore(self, stored: StoredDirectory) -> None:
        recent = abs(self._clock.now() - stored.saved_at) <= _MAX_AGE
        now = self._clock.monotonic_time()
        for replica in stored.replicas:
            has_left = replica.notice.state is ReplicaState.LEFT or replica.leaving
            if recent or has_left:
                self._directory.restore(replica, now, self._confirmation_time)
        _log.info(
            "directory_restored", replicas=len(stored.replicas), ready_used=recent
        )
