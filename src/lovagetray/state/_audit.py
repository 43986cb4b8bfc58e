"""The audit trail: what operators changed or tried to change."""

from collections import deque
from collections.abc import Iterable, Iterator
from datetime import datetime
from hashlib import sha256
from typing import NamedTuple

from lovagetray.state._settings_commands import Difference

# About 1.5 KB of memory for an entry and 0.3 KB for a difference: at most 17 MB, an
# eighth of what control may use on a node.
MAX_ENTRIES = 5_000
MAX_DIFFERENCES = 30_000

# A refused import can be wrong in thousands of places; the trail names the first ones.
MAX_REASONS = 50


class AuditEntry(NamedTuple):
    """One request of an operator and what became of it.

    Parameters
    ----------
    sequence
        Counts the entries from 1 without gaps.
    revision
        The revision that the request made; for a refused one, that in force then.
    action
        ``change``, ``rollback`` or ``import``.
    differences
        Each key with old and new value; for a refused request, what it asked for.
    refusal
        The code of the failure; empty if the request was accepted.
    reasons
        Why the request was refused.
    previous
        The hash of the entry before.
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
    """The last entry that was pruned, to which the oldest kept one is chained."""

    sequence: int
    hash: str


class AuditSnapshot(NamedTuple):
    """The whole audit trail as a record."""

    anchor: AuditAnchor
    entries: tuple[AuditEntry, ...]


class AuditFault(NamedTuple):
    """Where the chain of entries is broken.

    Parameters
    ----------
    sequence
        The sequence number that was expected at this place.
    """

    sequence: int
    reason: str


_START = AuditAnchor(0, "")


class Audit:
    """A bounded chain of entries, each of which carries the hash of the one before.

    Pruning drops the oldest entries and keeps the hash of the last one dropped, so the
    rest can still be verified.
    """

    def __init__(
        self, max_entries: int = MAX_ENTRIES, max_differences: int = MAX_DIFFERENCES
    ) -> None:
        self._max_entries = max_entries
        self._max_differences = max_differences
        self._anchor = _START
        self._entries: deque[AuditEntry] = deque()
        self._differences = 0

    @property
    def entries(self) -> tuple[AuditEntry, ...]:
        """The entries kept, the oldest first."""
        return tuple(self._entries)

    @property
    def anchor(self) -> AuditAnchor:
        """The last entry that was pruned."""
        return self._anchor

    @property
    def newest(self) -> int:
        """The sequence number of the newest entry; 0 if there never was one."""
        return self._last().sequence

    def append(self, entry: AuditEntry) -> AuditEntry:
        """Add an entry and return it with sequence and hashes filled in."""
        last = self._last()
        linked = entry._replace(
            sequence=last.sequence + 1,
            previous=last.hash,
            reasons=entry.reasons[:MAX_REASONS],
        )
        sealed = linked._replace(hash=entry_hash(linked))
        self._entries.append(sealed)
        self._differences += len(sealed.differences)
        self._prune()
        return sealed

    def snapshot(self) -> AuditSnapshot:
        """Return the trail as a record."""
        return AuditSnapshot(self._anchor, self.entries)

    def restore(self, snapshot: AuditSnapshot) -> None:
        """Replace the trail by a recorded one."""
        self._anchor = snapshot.anchor
        self._entries = deque(snapshot.entries)
        self._differences = sum(len(entry.differences) for entry in self._entries)

    def verify(self) -> tuple[AuditFault, ...]:
        """Return every place where an entry is missing or was edited."""
        return verify_chain(self._anchor, self._entries)

    def _last(self) -> AuditAnchor:
        if not self._entries:
            return self._anchor
        return AuditAnchor(self._entries[-1].sequence, self._entries[-1].hash)

    def _prune(self) -> None:
        while len(self._entries) > 1 and (
            len(self._entries) > self._max_entries
            or self._differences > self._max_differences
        ):
            pruned = self._entries.popleft()
            self._differences -= len(pruned.differences)
            self._anchor = AuditAnchor(pruned.sequence, pruned.hash)


def verify_chain(
    anchor: AuditAnchor, entries: Iterable[AuditEntry]
) -> tuple[AuditFault, ...]:
    """Return every place where a chain has a gap or an edited entry."""
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
    """Return the SHA-256 hash of all fields of an entry but its own hash."""
    digest = sha256()
    for text in _fields(entry):
        # The length keeps apart fields that would read alike when joined.
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
    for one in entry.differences:
        yield from (one.path, one.key, repr(one.old), repr(one.new))
    yield str(len(entry.reasons))
    yield from entry.reasons
