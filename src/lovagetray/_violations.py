"""Invariants that the running program checks, and the record of broken ones."""

from dataclasses import dataclass
from typing import ClassVar

from prometheus_client import Counter
from structlog import get_logger

_log = get_logger()
_violations_total = Counter(
    "lovagetray_invariant_violations_total",
    "Broken invariants; any value above zero is a bug",
    ["invariant"],
)


@dataclass(frozen=True, slots=True)
class MixedSnapshot:
    """An answer held records of more than one snapshot."""

    code: ClassVar[str] = "mixed_snapshot"
    query_id: str


@dataclass(frozen=True, slots=True)
class UntrueCoverage:
    """The stated coverage differs from the shards that were merged."""

    code: ClassVar[str] = "untrue_coverage"
    query_id: str


@dataclass(frozen=True, slots=True)
class ShardCountedTwice:
    """A shard was merged twice into one answer."""

    code: ClassVar[str] = "shard_counted_twice"
    query_id: str
    shard: int


@dataclass(frozen=True, slots=True)
class ForeignReply:
    """A reply to another request was about to be merged."""

    code: ClassVar[str] = "foreign_reply"
    query_id: str
    request_id: str


@dataclass(frozen=True, slots=True)
class BudgetExceeded:
    """More hedges or retries were sent than their budget allows."""

    code: ClassVar[str] = "budget_exceeded"
    budget: str


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """More slots or connections of a replica were in use than allowed."""

    code: ClassVar[str] = "limit_exceeded"
    target: str
    limit: int
    used: int


@dataclass(frozen=True, slots=True)
class SentTwice:
    """A non-idempotent request was sent again after it may have run."""

    code: ClassVar[str] = "sent_twice"
    key: str


@dataclass(frozen=True, slots=True)
class FalseNotRun:
    """A refusal said "not run" although the request may have run."""

    code: ClassVar[str] = "false_not_run"
    request_id: str


@dataclass(frozen=True, slots=True)
class RevisionFell:
    """The settings revision in force fell."""

    code: ClassVar[str] = "revision_fell"
    before: int
    after: int


@dataclass(frozen=True, slots=True)
class TwoLeaders:
    """Two instances led in one term."""

    code: ClassVar[str] = "two_leaders"
    term: int


@dataclass(frozen=True, slots=True)
class CommittedEntryChanged:
    """A committed log entry differs from the one applied before."""

    code: ClassVar[str] = "committed_entry_changed"
    index: int


@dataclass(frozen=True, slots=True)
class TwoOutcomes:
    """One request id had two different outcomes."""

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
    """Records broken invariants: each is logged, counted and kept."""

    def __init__(self) -> None:
        self._found: list[Violation] = []

    @property
    def found(self) -> tuple[Violation, ...]:
        """The violations recorded so far."""
        return tuple(self._found)

    def report(self, violation: Violation) -> None:
        """Record one broken invariant."""
        self._found.append(violation)
        _violations_total.labels(violation.code).inc()
        _log.error(
            "invariant_violated", invariant=violation.code, violation=repr(violation)
        )
