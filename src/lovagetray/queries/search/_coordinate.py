"""Runs one search: fans out to every shard of a snapshot and merges the replies."""

from datetime import timedelta
from uuid import uuid4

from curio import Queue
from expression import Error, Ok, Result

from lovagetray._clock import Clock
from lovagetray._errors import Failure, Incomplete, UnknownService
from lovagetray._types import (
    Answer,
    MissingReason,
    SearchRequest,
    Snapshot,
    SubRequest,
)
from lovagetray._violations import ForeignReply, Violations
from lovagetray.queries.search._merge import Merge
from lovagetray.queries.search._snapshot import choose_snapshot
from lovagetray.state import Directory
from lovagetray.targets import SubOutcome, SubRequestSender

_LARGEST_ATTEMPTS = 3


class Searcher:
    """Answers searches; one call runs in the task of the caller's connection."""

    def __init__(
        self,
        directory: Directory,
        sender: SubRequestSender,
        clock: Clock,
        violations: Violations,
    ) -> None:
        self._directory = directory
        self._sender = sender
        self._clock = clock
        self._violations = violations

    async def search(self, request: SearchRequest) -> Result[Answer, Failure]:
        """Return the answer to a search within its budget, or why there is none."""
        now = self._clock.elapsed()
        snapshot = choose_snapshot(self._directory, request.service, now)
        if snapshot is None:
            return Error(UnknownService(request.service))
        run = _Run(self, request, snapshot, now + request.budget)
        answer = await run.gather()
        if request.require_complete and not answer.coverage.complete:
            missing = tuple(gap.shard for gap in answer.coverage.missing)
            return Error(Incomplete(missing, answer.coverage.shards))
        return Ok(answer)


class _Run:
    """One query at one snapshot."""

    def __init__(
        self,
        searcher: Searcher,
        request: SearchRequest,
        snapshot: Snapshot,
        deadline: timedelta,
    ) -> None:
        self._searcher = searcher
        self._request = request
        self._deadline = deadline
        self._query_id = uuid4().hex
        self._inbox: Queue = Queue()
        self._sent: dict[str, SubRequest] = {}
        self._tried: dict[int, set[str]] = {}
        self._merge = Merge(self._query_id, snapshot, searcher._violations)

    async def gather(self) -> Answer:
        clock = self._searcher._clock
        await self._send_to_shards(self._merge.open_shards)
        while self._merge.open_shards:
            left = self._deadline - clock.elapsed()
            match await clock.within(left, self._inbox.get()):
                case Result(tag="ok", ok=outcome):
                    await self._take(outcome)
                case _:
                    break
        await self._searcher._sender.cancel(list(self._sent))
        return self._merge.answer(self._request)

    async def _take(self, outcome: SubOutcome) -> None:
        sub_request = self._sent.pop(outcome.request_id, None)
        if sub_request is None:
            violation = ForeignReply(self._query_id, outcome.request_id)
            self._searcher._violations.report(violation)
            return
        match outcome.result:
            case Result(tag="ok", ok=reply):
                self._merge.add(reply)
            case _:
                await self._send_to_shards([sub_request.shard])

    async def _send_to_shards(self, shards: list[int]) -> None:
        requests = []
        for shard in shards:
            request = self._next_attempt(shard)
            if request is None:
                reason = MissingReason.FAILED
                if not self._tried.get(shard):
                    reason = MissingReason.NO_REPLICA
                self._merge.miss(shard, reason)
                continue
            self._sent[request.request_id] = request
            requests.append(request)
        await self._searcher._sender.send(requests, self._inbox)

    def _next_attempt(self, shard: int) -> SubRequest | None:
        """Return a sub-request to a replica that was not tried yet."""
        now = self._searcher._clock.elapsed()
        tried = self._tried.setdefault(shard, set())
        if len(tried) >= _LARGEST_ATTEMPTS:
            return None
        for listing in self._searcher._directory.candidates(
            self._request.service, self._merge.snapshot, shard, now
        ):
            name = listing.announcement.target
            if name in tried:
                continue
            tried.add(name)
            return SubRequest(
                request_id=uuid4().hex,
                query_id=self._query_id,
                service=self._request.service,
                target=name,
                shard=shard,
                snapshot=self._merge.snapshot,
                budget=self._deadline - now,
                terms=self._request.terms,
                limit=self._request.limit,
            )
        return None
