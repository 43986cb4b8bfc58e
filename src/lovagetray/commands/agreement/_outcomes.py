"""The first outcome of each request id, as part of the replicated state."""

from datetime import datetime, timedelta
from heapq import heapify, heappop, heappush

from expression import Error, Ok, Result

from lovagetray._errors import Failure, ProposalTimeRefused, RequestIdConflict
from lovagetray._log_entries import OutcomeRecord, Proposal


class Outcomes:
    """The outcomes of all proposals less than `retention` older than the newest.

    Ages come from the times in the proposals, not from wall clocks, so every instance
    drops an outcome at the same entry.
    """

    def __init__(self, retention: timedelta) -> None:
        self._retention = retention
        self._latest_at: datetime | None = None
        self._records: dict[str, OutcomeRecord] = {}
        self._by_age: list[tuple[datetime, str]] = []

    @property
    def latest_at(self) -> datetime | None:
        """Newest time of any applied proposal."""
        return self._latest_at

    @property
    def records(self) -> tuple[OutcomeRecord, ...]:
        """All retained outcomes in the order in which they were applied."""
        return tuple(self._records.values())

    def find_record(self, request_id: str) -> OutcomeRecord | None:
        """Return the retained outcome of a request id, or None."""
        return self._records.get(request_id)

    def existing_outcome(self, proposal: Proposal) -> Result[bytes, Failure] | None:
        """Return the outcome that a proposal already has, or None if it is new."""
        if self._latest_at is not None:
            if proposal.at <= self._latest_at - self._retention:
                return Error(ProposalTimeRefused(proposal.request_id))
        record = self._records.get(proposal.request_id)
        if record is None:
            return None
        if record.digest != proposal.digest:
            return Error(RequestIdConflict(proposal.request_id))
        return Ok(record.reply)

    def record(self, proposal: Proposal, reply: bytes) -> None:
        """Store the first outcome of a proposal and drop outcomes past retention."""
        request_id, at = proposal.request_id, proposal.at
        self._records[request_id] = OutcomeRecord(
            request_id, at, proposal.digest, reply
        )
        heappush(self._by_age, (at, request_id))
        self._latest_at = max(at, self._latest_at or at)
        while self._by_age[0][0] <= self._latest_at - self._retention:
            del self._records[heappop(self._by_age)[1]]

    def restore(
        self, latest_at: datetime | None, records: tuple[OutcomeRecord, ...]
    ) -> None:
        """Replace all outcomes with those of a snapshot."""
        self._latest_at = latest_at
        self._records = {record.request_id: record for record in records}
        self._by_age = [(record.at, record.request_id) for record in records]
        heapify(self._by_age)
