"""Invariants that are checked at run time, and the recorder of their violations."""

from typing import ClassVar

from msgspec import Struct
from prometheus_client import Counter
from structlog import get_logger

_log = get_logger()
_violations_total = Counter(
    "lovagetray_invariant_violations_total",
    "Broken invariants; any value above zero is a bug",
    ["invariant"],
)


class MixedSnapshot(Struct, frozen=True):
    """An answer with records of more than one snapshot."""

    code: ClassVar[str] = "mixed_snapshot"
    query_id: str


class UntrueCoverage(Struct, frozen=True):
    """A stated coverage that differs from the shards that were merged."""

    code: ClassVar[str] = "untrue_coverage"
    query_id: str


class ShardCountedTwice(Struct, frozen=True):
    """A shard that was merged twice into one answer."""

    code: ClassVar[str] = "shard_counted_twice"
    query_id: str
    shard: int


class ForeignReply(Struct, frozen=True):
    """A reply to another request that was about to be merged."""

    code: ClassVar[str] = "foreign_reply"
    query_id: str
    request_id: str


class BudgetExceeded(Struct, frozen=True):
    """Hedges or retries beyond their budget."""

    code: ClassVar[str] = "budget_exceeded"
    budget: str


class LimitExceeded(Struct, frozen=True):
    """Slots or connections of a replica in use beyond the allowed number."""

    code: ClassVar[str] = "limit_exceeded"
    target: str
    limit: int
    used: int


class SentTwice(Struct, frozen=True):
    """A non-idempotent request that was sent again after it may have run."""

    code: ClassVar[str] = "sent_twice"
    key: str


class FalseNotRun(Struct, frozen=True):
    """A refusal that stated "not run" although the request may have run."""

    code: ClassVar[str] = "false_not_run"
    request_id: str


class RevisionFell(Struct, frozen=True):
    """A decrease of the settings revision in force or of the applied log index."""

    code: ClassVar[str] = "revision_fell"
    before: int
    after: int


class TwoLeaders(Struct, frozen=True):
    """Two leaders in the same term."""

    code: ClassVar[str] = "two_leaders"
    term: int


class CommittedEntryChanged(Struct, frozen=True):
    """A log entry of the leader that differs from the committed one at its index."""

    code: ClassVar[str] = "committed_entry_changed"
    index: int


class TwoOutcomes(Struct, frozen=True):
    """Two different outcomes of one request id."""

    code: ClassVar[str] = "two_outcomes"
    request_id: str


Violation = (
    MixedSnapshot
    | UntrueCoverage
    | ShardCountedTwice
    | ForeignReply
    | BudgetExceeded
    | LimitExceeded
    | SentTwice
    | FalseNotRun
    | RevisionFell
    | TwoLeaders
    | CommittedEntryChanged
    | TwoOutcomes
)


class Violations:
    """Recorder of violated invariants: logs, counts and stores each of them."""

    def __init__(self) -> None:
        self._found: list[Violation] = []

    @property
    def found(self) -> tuple[Violation, ...]:
        """Violations recorded so far."""
        return tuple(self._found)

    def report(self, violation: Violation) -> None:
        """Record one violated invariant."""
        self._found.append(violation)
        _violations_total.labels(violation.code).inc()
        _log.error(
            "invariant_violated", invariant=violation.code, violation=repr(violation)
        )
