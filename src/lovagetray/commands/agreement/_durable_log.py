"""Persistent Raft state of one instance: term, vote, log and snapshot."""

from collections.abc import Callable, Sequence

from expression import Error, Ok, Result

from lovagetray._errors import LogCorrupted
from lovagetray._log_entries import (
    Entry,
    LogSnapshot,
    Voter,
    VoteRecord,
    VoterSet,
)
from lovagetray.commands.agreement._protocols import Disk
from lovagetray.wire import (
    decode_log,
    decode_snapshot,
    decode_vote,
    encode_entries,
    encode_snapshot,
    encode_vote,
)

_VOTE_FILE = "vote"
_LOG_FILE = "log"
_SNAPSHOT_FILE = "snapshot"
_EMPTY_SNAPSHOT = LogSnapshot(0, 0, VoterSet(), None, (), b"")


class DurableLog:
    """The last snapshot, the entries after it, the current term and its vote.

    Callers of the writing methods hold the lock of the agreement state, so writes never
    overlap. A record in the log file that starts at an index already present replaces
    the entry at that index and all later ones.
    """

    def __init__(
        self, disk: Disk, vote: VoteRecord, snapshot: LogSnapshot = _EMPTY_SNAPSHOT
    ) -> None:
        self._disk = disk
        self._vote = vote
        self._snapshot = snapshot
        self._encoded_snapshot = encode_snapshot(snapshot)
        self._entries: list[Entry] = []
        # A separate list, because every lease check reads the newest voter set.
        self._voter_entries: list[Entry] = []
        self._synced_index = self.base_index

    @classmethod
    async def open(
        cls, disk: Disk, new_incarnation: Callable[[], str]
    ) -> Result["DurableLog", LogCorrupted]:
        """Open the log on a disk.

        Parameters
        ----------
        new_incarnation
            Returns an identity for this voter; called only on an empty disk.

        Returns
        -------
        Result
            The log, or the file that is corrupt and the position in it, in bytes.
        """
        vote_data = await disk.read(_VOTE_FILE)
        log_data = await disk.read(_LOG_FILE)
        snapshot_data = await disk.read(_SNAPSHOT_FILE)
        if vote_data is None:
            if log_data or snapshot_data not in (
                None,
                encode_snapshot(_EMPTY_SNAPSHOT),
            ):
                return Error(LogCorrupted(_VOTE_FILE, 0))
            return Ok(await cls._first_start(disk, new_incarnation()))
        if log_data is None:
            return Error(LogCorrupted(_LOG_FILE, 0))
        if snapshot_data is None:
            return Error(LogCorrupted(_SNAPSHOT_FILE, 0))
        match decode_vote(vote_data), decode_snapshot(snapshot_data), decode_log(
            log_data
        ):
            case (
                (Result(tag="error", error=failure), _, _)
                | (_, Result(tag="error", error=failure), _)
                | (_, _, Result(tag="error", error=failure))
            ):
                return Error(failure)
            case (Result(ok=vote), Result(ok=snapshot), Result(ok=content)):
                log = cls(disk, vote, snapshot)
                if not log._replay(content.entries):
                    return Error(LogCorrupted(_LOG_FILE, 0))
                # Rewriting drops a torn tail and entries that the snapshot covers.
                await log._rewrite()
                return Ok(log)
        return Error(LogCorrupted(_LOG_FILE, 0))

    @classmethod
    async def reset(cls, disk: Disk, incarnation: str) -> "DurableLog":
        """Discard a corrupt log and return an empty one under a new identity."""
        log = cls(disk, VoteRecord(incarnation, 0, None))
        # The new identity is stored before the log is emptied, because the old one must
        # never vote without its log.
        await disk.replace(_VOTE_FILE, encode_vote(log._vote))
        await disk.sync_folder()
        await disk.replace(_SNAPSHOT_FILE, log.encoded_snapshot)
        await log._rewrite()
        return log

    @classmethod
    async def _first_start(cls, disk: Disk, incarnation: str) -> "DurableLog":
        # The vote file is stored last: once it exists, the absence of another file
        # means that the log is corrupt.
        log = cls(disk, VoteRecord(incarnation, 0, None))
        await disk.replace(_SNAPSHOT_FILE, log.encoded_snapshot)
        await log._rewrite()
        await disk.replace(_VOTE_FILE, encode_vote(log._vote))
        await disk.sync_folder()
        return log

    @property
    def incarnation(self) -> str:
        """Identity that was written at the first start on this disk."""
        return self._vote.incarnation

    @property
    def term(self) -> int:
        """Current term, as synced to disk."""
        return self._vote.term

    @property
    def voted_for(self) -> Voter | None:
        """Candidate that got the vote in the current term, as synced to disk."""
        return self._vote.voted_for

    @property
    def snapshot(self) -> LogSnapshot:
        """Snapshot that replaces the entries up to `base_index`; empty at first."""
        return self._snapshot

    @property
    def encoded_snapshot(self) -> bytes:
        """Snapshot in its stored and sent encoding."""
        return self._encoded_snapshot

    @property
    def base_index(self) -> int:
        """Last index that the snapshot covers; 0 for the empty snapshot."""
        return self._snapshot.log_index

    @property
    def last_index(self) -> int:
        """Index of the last entry, synced or not."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def synced_index(self) -> int:
        """Index of the last entry that is synced to disk."""
        return self._synced_index

    @property
    def voters(self) -> VoterSet:
        """Newest voter set in the log, committed or not."""
        return self.voters_at(self.last_index)

    @property
    def voters_index(self) -> int:
        """Index of the entry with the newest voter set."""
        entries = self._voter_entries
        return entries[-1].log_index if entries else self.base_index

    def voters_at(self, index: int) -> VoterSet:
        """Return the voter set in force at an index."""
        for entry in reversed(self._voter_entries):
            if entry.voters is not None and entry.log_index <= index:
                return entry.voters
        return self._snapshot.voters

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index not below `base_index`."""
        if index == self.base_index:
            return self._snapshot.term
        return self.entry(index).term

    def entry(self, index: int) -> Entry:
        """Return the entry at an index after `base_index`."""
        if index <= self.base_index:
            raise IndexError(f"entry {index} is in the snapshot")
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index: int, limit: int) -> tuple[Entry, ...]:
        """Return entries from `index` on, up to `limit` bytes but at least one."""
        batch: list[Entry] = []
        size = 0
        for entry in self._entries[index - self.base_index - 1 :]:
            size += entry.size
            if batch and size > limit:
                break
            batch.append(entry)
        return tuple(batch)

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log with the same term as `index`."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    async def vote(self, term: int, voted_for: Voter | None) -> None:
        """Store a term and the vote in it; both are synced on return."""
        record = VoteRecord(self.incarnation, term, voted_for)
        await self._disk.replace(_VOTE_FILE, encode_vote(record))
        await self._disk.sync_folder()
        self._vote = record

    async def append(self, entries: Sequence[Entry]) -> None:
        """Store entries, replacing all from the first index on; synced on return.

        The entries can be read at once, so that they are sent to peers during the sync.
        """
        first = entries[0].log_index
        retained = self._entries[: first - self.base_index - 1]
        self._synced_index = min(self._synced_index, first - 1)
        self._set_entries([*retained, *entries])
        await self._disk.append(_LOG_FILE, encode_entries(entries))
        await self._disk.sync(_LOG_FILE)
        self._synced_index = entries[-1].log_index

    async def compact(self, snapshot: LogSnapshot) -> None:
        """Store a snapshot and drop the entries that it covers."""
        encoded = encode_snapshot(snapshot)
        await self._disk.replace(_SNAPSHOT_FILE, encoded)
        await self._disk.sync_folder()
        retained: list[Entry] = []
        index = snapshot.log_index
        if index <= self.last_index and self.term_at(index) == snapshot.term:
            retained = self._entries[index - self.base_index :]
        self._snapshot = snapshot
        self._encoded_snapshot = encoded
        self._set_entries(retained)
        self._synced_index = self.last_index
        await self._rewrite()

    def _set_entries(self, entries: list[Entry]) -> None:
        self._entries = entries
        self._voter_entries = [entry for entry in entries if entry.voters is not None]

    async def _rewrite(self) -> None:
        data = encode_entries(self._entries) if self._entries else b""
        await self._disk.replace(_LOG_FILE, data)
        await self._disk.sync_folder()
        self._synced_index = self.last_index

    def _replay(self, entries: Sequence[Entry]) -> bool:
        """Rebuild the log from the entries of its file; return False at a gap."""
        base = self.base_index
        by_index: dict[int, Entry] = {}
        last = 0
        for entry in entries:
            if last and entry.log_index > last + 1:
                return False
            for index in range(entry.log_index, last + 1):
                by_index.pop(index, None)
            by_index[entry.log_index] = entry
            last = entry.log_index
        at_base = by_index.get(base)
        if at_base is not None and at_base.term != self.term_at(base):
            # The process crashed after it had stored a snapshot of the leader and
            # before it rewrote the log file, so these entries are obsolete.
            return True
        self._set_entries(
            [by_index[index] for index in sorted(by_index) if index > base]
        )
        if self._entries and self._entries[0].log_index != base + 1:
            return False
        self._synced_index = self.last_index
        return True
