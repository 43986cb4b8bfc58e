"""Merges replies of one snapshot into an answer."""

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
    """The replies of one query so far, at most one for each shard."""

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
        """The snapshot that every reply must have."""
        return self._snapshot

    @property
    def open_shards(self) -> list[int]:
        """The shards that have neither a reply nor a reason to be missing."""
        return sorted(self._open)

    @property
    def finished(self) -> bool:
        """Whether no shard is open."""
        return not self._open

    def is_open(self, shard: int) -> bool:
        """Tell whether a shard has neither a reply nor a reason to be missing."""
        return shard in self._open

    def add(self, request: SubRequest, reply: SubReply) -> None:
        """Take the reply to a sub-request."""
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

    def miss(self, shard: int, reason: MissingReason) -> None:
        """Record why a shard will be missing."""
        if shard not in self._replies:
            self._open.discard(shard)
            self._missing[shard] = reason

    def answer(self, request: SearchRequest) -> Answer:
        """Return the best records, with what they cover."""
        for shard in self.open_shards:
            self.miss(shard, MissingReason.TIMEOUT)
        coverage = self._coverage()
        self._check(coverage)
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

    def _check(self, coverage: Coverage) -> None:
        merged = {reply.shard for reply in self._replies.values()}
        missing = {gap.shard for gap in coverage.missing}
        every = set(range(self._snapshot.shards))
        listed = len(coverage.included) + len(coverage.missing)
        if (
            set(coverage.included) != merged
            or missing != every - merged
            or listed != len(every)
            or coverage.shards != len(every)
        ):
            self._violations.report(UntrueCoverage(self._query_id))


def _rank(record: Record) -> tuple[float, str]:
    return record.score, record.id
