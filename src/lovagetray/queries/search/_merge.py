"""Merges the replies of one snapshot into an answer."""

from heapq import nlargest

from lovagetray._types import (
    Answer,
    Coverage,
    MissingReason,
    MissingShard,
    Record,
    SearchRequest,
    Snapshot,
    SubReply,
    SubRequest,
)
from lovagetray._violations import (
    ForeignReply,
    MixedSnapshot,
    ShardCountedTwice,
    UntrueCoverage,
    Violations,
)


class Merge:
    """Replies of one query, at most one for each shard, and their merged answer.

    Parameters
    ----------
    query_id
        Identifier of the query, for reports of violations.
    snapshot
        Snapshot that all replies must have.
    violations
        Receives violations of invariants.
    """

    def __init__(
        self, query_id: str, snapshot: Snapshot, violations: Violations
    ) -> None:
        self._query_id = query_id
        self._snapshot = snapshot
        self._violations = violations
        self._open = set(range(snapshot.shards))
        self._replies: dict[int, SubReply] = {}
        self._missing: dict[int, MissingReason] = {}

    @property
    def snapshot(self) -> Snapshot:
        """Snapshot that all replies must have."""
        return self._snapshot

    @property
    def open_shards(self) -> list[int]:
        """Shards with neither a reply nor a reason for being missing."""
        return sorted(self._open)

    @property
    def finished(self) -> bool:
        """Whether no shard is open."""
        return not self._open

    def is_open(self, shard: int) -> bool:
        """Return whether a shard has no reply and no reason for being missing."""
        return shard in self._open

    def add(self, request: SubRequest, reply: SubReply) -> None:
        """Add the reply to a sub-request; report it if it breaks an invariant."""
        if reply.request_id != request.request_id:
            self._violations.report(ForeignReply(self._query_id, reply.request_id))
            return
        if reply.snapshot != self._snapshot:
            self._violations.report(MixedSnapshot(self._query_id))
            return
        if reply.shard in self._replies:
            self._violations.report(ShardCountedTwice(self._query_id, reply.shard))
            return
        self._missing.pop(reply.shard, None)
        self._open.discard(reply.shard)
        self._replies[reply.shard] = reply

    def mark_missing(self, shard: int, reason: MissingReason) -> None:
        """Record why a shard is missing, unless it has replied."""
        if shard not in self._replies:
            self._open.discard(shard)
            self._missing[shard] = reason

    def answer(self, request: SearchRequest) -> Answer:
        """Return the highest-scoring records and their coverage.

        Shards that are still open count as missing because of a timeout.
        """
        for shard in self.open_shards:
            self.mark_missing(shard, MissingReason.TIMEOUT)
        coverage = self._coverage()
        self._check_coverage(coverage)
        records = nlargest(
            request.limit,
            (record for reply in self._replies.values() for record in reply.records),
            key=_rank,
        )
        return Answer(
            request_id=request.request_id,
            query_id=self._query_id,
            service=request.service,
            snapshot=self._snapshot,
            coverage=coverage,
            records=tuple(records),
        )

    def _coverage(self) -> Coverage:
        return Coverage(
            shards=self._snapshot.shards,
            included=tuple(sorted(self._replies)),
            missing=tuple(
                MissingShard(shard, self._missing[shard])
                for shard in sorted(self._missing)
            ),
        )

    def _check_coverage(self, coverage: Coverage) -> None:
        merged = {reply.shard for reply in self._replies.values()}
        missing = {missing_shard.shard for missing_shard in coverage.missing}
        all_shards = set(range(self._snapshot.shards))
        listed = len(coverage.included) + len(coverage.missing)
        if (
            set(coverage.included) != merged
            or missing != all_shards - merged
            or listed != len(all_shards)
            or coverage.shards != len(all_shards)
        ):
            self._violations.report(UntrueCoverage(self._query_id))


def _rank(record: Record) -> tuple[float, str]:
    return record.score, record.id
