"""Audit trail of the changes that operators made or tried to make."""

from collections import deque
from collections.abc import Iterable, Iterator
from datetime import datetime
from hashlib import sha256
from typing import NamedTuple

from lovagetray.state._settings_commands import Difference

# An entry takes about 1.5 KB of memory and a difference 0.3 KB: at most 17 MB together,
# an eighth of the memory that control may use on a node.
MAX_ENTRIES = 5_000
MAX_DIFFERENCES = 30_000

# A refused import can have thousands of problems; an entry records the first ones.
MAX_REASONS = 50


class AuditEntry(NamedTuple):
    """A request of an operator and its outcome.

    Parameters
    ----------
    sequence
        Number of the entry, from 1 without gaps.
    revision
        Revision that the request made; for a refused request, the revision in force.
    action
        ``change``, ``rollback`` or ``import``.
    differences
        Each changed key with its old and new value; for a refused request, the changes
        that it asked for.
    refusal
        Code of the failure; empty if the request was accepted.
    reasons
        Descriptions of why the request was refused; empty if it was accepted.
    previous
        Hash of the entry before.
    hash
        Hash of all other fields, by `entry_hash`.
    """

    sequence: int
    at: datetime
    operator: str
    address: str
    request_id: str
    revision: int
    action: str
    differences: tuple[Difference, ...]
    refusal: str
    reasons: tuple[str, ...]
    previous: str
    hash: str


class AuditAnchor(NamedTuple):
    """The last pruned entry, whose hash the oldest kept entry carries."""

    sequence: int
    hash: str


class AuditSnapshot(NamedTuple):
    """The contents of an audit trail."""

    anchor: AuditAnchor
    entries: tuple[AuditEntry, ...]


class AuditFault(NamedTuple):
    """A place at which the chain of entries is broken.

    Parameters
    ----------
    sequence
        Sequence number that was expected at this place.
    """

    sequence: int
    reason: str


_EMPTY_ANCHOR = AuditAnchor(0, "")


class Audit:
    """A bounded audit trail, in which each entry carries the hash of the one before.

    The oldest entries are pruned; the hash of the last pruned one is kept, so that the
    others can still be verified.

    Parameters
    ----------
    max_entries, max_differences
        Maximum numbers of entries, and of differences in all entries together. The
        newest entry is kept even if it exceeds them.
    """

    def __init__(
        self, max_entries: int = MAX_ENTRIES, max_differences: int = MAX_DIFFERENCES
    ) -> None:
        self._max_entries = max_entries
        self._max_differences = max_differences
        self._anchor = _EMPTY_ANCHOR
        self._entries: deque[AuditEntry] = deque()
        self._difference_count = 0

    @property
    def entries(self) -> tuple[AuditEntry, ...]:
        """The entries that are kept, oldest first."""
        return tuple(self._entries)

    @property
    def anchor(self) -> AuditAnchor:
        """The last pruned entry; sequence 0 and an empty hash before the first one."""
        return self._anchor

    @property
    def newest_sequence(self) -> int:
        """The sequence number of the newest entry; 0 if there never was one."""
        return self._last().sequence

    def append(self, entry: AuditEntry) -> AuditEntry:
        """Append an entry and return it with its sequence and hashes set.

        Only the first `MAX_REASONS` reasons are kept.
        """
        last = self._last()
        linked = entry._replace(
            sequence=last.sequence + 1,
            previous=last.hash,
            reasons=entry.reasons[:MAX_REASONS],
        )
        hashed = linked._replace(hash=entry_hash(linked))
        self._entries.append(hashed)
        self._difference_count += len(hashed.differences)
        self._prune()
        return hashed

    def snapshot(self) -> AuditSnapshot:
        """Return the contents of the trail."""
        return AuditSnapshot(self._anchor, self.entries)

    def restore(self, snapshot: AuditSnapshot) -> None:
        """Replace the contents of the trail by those of a snapshot."""
        self._anchor = snapshot.anchor
        self._entries = deque(snapshot.entries)
        self._difference_count = sum(len(entry.differences) for entry in self._entries)

    def verify(self) -> tuple[AuditFault, ...]:
        """Return every place at which an entry is missing or was edited."""
        return verify_chain(self._anchor, self._entries)

    def _last(self) -> AuditAnchor:
        if not self._entries:
            return self._anchor
        return AuditAnchor(self._entries[-1].sequence, self._entries[-1].hash)

    def _prune(self) -> None:
        while len(self._entries) > 1 and (
            len(self._entries) > self._max_entries
            or self._difference_count > self._max_differences
        ):
            pruned = self._entries.popleft()
            self._difference_count -= len(pruned.differences)
            self._anchor = AuditAnchor(pruned.sequence, pruned.hash)


def verify_chain(
    anchor: AuditAnchor, entries: Iterable[AuditEntry]
) -> tuple[AuditFault, ...]:
    """Return every place at which a chain has a gap or an edited entry."""
    faults = []
    before = anchor
    for entry in entries:
        expected = before.sequence + 1
        if entry.sequence != expected:
            reason = f"entry {entry.sequence} follows entry {before.sequence}"
            faults.append(AuditFault(expected, reason))
        elif entry.previous != before.hash:
            reason = "the entry does not carry the hash of the one before"
            faults.append(AuditFault(expected, reason))
        if entry.hash != entry_hash(entry):
            faults.append(AuditFault(entry.sequence, "the entry was edited"))
        before = AuditAnchor(entry.sequence, entry.hash)
    return tuple(faults)


def entry_hash(entry: AuditEntry) -> str:
    """Return the SHA-256 hash of all fields of an entry except `hash`, in hex."""
    digest = sha256()
    for text in _fields(entry):
        # Without the length, different fields could give the same bytes when joined.
        data = text.encode("utf-8", "surrogatepass")
        digest.update(f"{len(data)}:".encode())
        digest.update(data)
    return digest.hexdigest()


def _fields(entry: AuditEntry) -> Iterator[str]:
    yield str(entry.sequence)
    yield entry.at.isoformat()
    yield from (entry.operator, entry.address, entry.request_id)
    yield str(entry.revision)
    yield from (entry.action, entry.refusal, entry.previous)
    yield str(len(entry.differences))
    for difference in entry.differences:
        yield from (
            difference.path,
            difference.key,
            repr(difference.old),
            repr(difference.new),
        )
    yield str(len(entry.reasons))
    yield from entry.reasons
