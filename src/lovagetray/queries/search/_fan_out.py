"""Scatter/gather: sends a query to each shard of a snapshot and gathers replies."""

from collections.abc import Sequence
from datetime import timedelta
from heapq import heappop, heappush
from statistics import median_low

from curio import Queue
from expression import Result
from msgspec import Struct

from lovagetray._errors import Failure
from lovagetray._telemetry import LATE_REPLIES, SUB_REQUESTS
from lovagetray._types import (
    Answer,
    MissingReason,
    Snapshot,
    SubReply,
    SubRequest,
)
from lovagetray._violations import ForeignReply
from lovagetray.queries.search._attempts import Attempt, AttemptKind, ShardAttempts
from lovagetray.queries.search._choose import choose_replica
from lovagetray.queries.search._dependencies import Query, SearchDependencies
from lovagetray.queries.search._hedge import fast_enough, hedge_delay
from lovagetray.queries.search._merge import Merge
from lovagetray.queries.search._replica_stats_store import ReplicaView
from lovagetray.queries.search._reply_check import checked_reply
from lovagetray.queries.search._retry_budget import HEDGE_RESERVE
from lovagetray.queries.search._snapshot import (
    newer_complete_snapshot,
    replicas_by_shard,
)
from lovagetray.state import Listing
from lovagetray.targets import SubOutcome

_ZERO = timedelta(0)
# Median queue wait, as a share of the service's time limit, at which the pressure is 1.
_PRESSURE_QUEUE_SHARE = 0.1
# Pressure reported when fewer than half of the shards replied.
_PRESSURE_WITHOUT_REPLIES = 2.0
# Number of hedge delays after which a reply is improbable; a hedge is then urgent and
# may use the retry budget, as after a failure.
_DELAYS_UNTIL_URGENT = 3


class Gathered(Struct, frozen=True):
    """Outcome of a fan-out in which each shard replied or is missing for a reason."""

    answer: Answer


class SnapshotLost(Struct, frozen=True):
    """Outcome of a fan-out whose snapshot has no replica left for a shard.

    Parameters
    ----------
    newer
        A newer, complete snapshot at which the query can restart.
    """

    newer: Snapshot


class FanOut:
    """Fan-out of one query to the shards of one snapshot.

    Parameters
    ----------
    dependencies
        Dependencies shared by all queries.
    query
        The query to run.
    snapshot
        Snapshot that all replies must have.
    may_restart
        Whether the query may restart at a newer snapshot.
    """

    def __init__(
        self,
        dependencies: SearchDependencies,
        query: Query,
        snapshot: Snapshot,
        may_restart: bool,
    ) -> None:
        self._dependencies = dependencies
        self._query = query
        self._settings = query.settings
        self._request = query.request
        self._limits = query.limits
        self._may_restart = may_restart
        self._outcome_queue: Queue = Queue()
        self._open: dict[str, Attempt] = {}
        self._closed: set[str] = set()
        self._hedge_times: list[tuple[timedelta, str]] = []
        self._hedge_delay = hedge_delay(
            dependencies.stats,
            query.request.service,
            query.settings,
            query.limits.time_left,
        )
        self._shards = [ShardAttempts(shard) for shard in range(snapshot.shards)]
        self._merge = Merge(query.id, snapshot, dependencies.violations)
        self._queue_waits: list[timedelta] = []
        self._newer: Snapshot | None = None
        self._sent = 0

    @property
    def sent(self) -> int:
        """Number of sub-requests passed to the sender."""
        return self._sent

    @property
    def pressure(self) -> float:
        """Median queue wait relative to a tenth of the time limit.

        A value above 1 lowers the concurrency limit of the service. The value is 2 if
        fewer than half of the shards replied.
        """
        if 2 * len(self._queue_waits) < len(self._shards):
            return _PRESSURE_WITHOUT_REPLIES
        seconds = median_low(wait.total_seconds() for wait in self._queue_waits)
        return timedelta(seconds=seconds) / (
            self._settings.deadline * _PRESSURE_QUEUE_SHARE
        )

    async def gather(self) -> Gathered | SnapshotLost:
        """Send the sub-requests and gather replies until the deadline at the latest."""
        try:
            await self._send_first()
            while not self._merge.finished and self._newer is None:
                left = self._time_left()
                if left <= _ZERO:
                    break
                wait = min(left, self._time_to_hedge())
                match await self._dependencies.clock.with_timeout(
                    wait, self._outcome_queue.get()
                ):
                    case Result(tag="ok", ok=outcome):
                        await self._process_outcome(outcome)
                    case _:
                        await self._send_due_hedges()
        finally:
            await self._cancel(tuple(self._open.values()))
        if self._newer is not None:
            return SnapshotLost(self._newer)
        return Gathered(self._merge.answer(self._request))

    async def _send_first(self) -> None:
        now = self._dependencies.clock.monotonic_time()
        service = self._request.service
        dependencies = self._dependencies
        replicas = replicas_by_shard(
            dependencies.directory,
            dependencies.stats,
            service,
            self._merge.snapshot,
            now,
        )
        first = []
        for shard in self._shards:
            view = self._choose(replicas.get(shard.shard, []), now)
            if view is None:
                self._mark_missing(shard, self._reason_without_replica(shard, now))
            else:
                first.append(self._attempt(shard, view, AttemptKind.FIRST, now))
        self._dependencies.hedges.deposit(len(first), self._settings.hedge_budget)
        self._dependencies.retries.deposit(len(first), self._settings.retry_budget)
        await self._send(first)

    async def _process_outcome(self, outcome: SubOutcome) -> None:
        attempt = self._open.get(outcome.request_id)
        if attempt is None:
            if outcome.request_id in self._closed:
                LATE_REPLIES.labels(self._request.service).inc()
            else:
                violation = ForeignReply(self._query.id, outcome.request_id)
                self._dependencies.violations.report(violation)
            return
        self._close(attempt)
        match self._check_reply(attempt.request, outcome.result):
            case Result(tag="ok", ok=reply):
                await self._accept(attempt, reply)
            case Result(error=failure):
                await self._fail(attempt, failure)

    def _check_reply(
        self, request: SubRequest, result: Result[SubReply, Failure]
    ) -> Result[SubReply, Failure]:
        return checked_reply(request, result)

    async def _accept(self, attempt: Attempt, reply: SubReply) -> None:
        now = self._dependencies.clock.monotonic_time()
        self._dependencies.stats.record_reply(attempt.request, reply, now)
        self._queue_waits.append(reply.queue_wait)
        self._merge.add(attempt.request, reply)
        await self._cancel(self._shards[reply.shard].open)

    async def _fail(self, attempt: Attempt, failure: Failure) -> None:
        """Retry at another replica, or record that the shard is missing.

        No retry is sent while the newest open attempt is within its hedge delay. While
        any attempt is open, the shard is not missing and its next hedge is scheduled.
        """
        now = self._dependencies.clock.monotonic_time()
        self._dependencies.stats.record_failure(attempt.request, failure, now)
        shard = self._shards[attempt.request.shard]
        shard.record_failure(attempt, failure)
        if shard.open and shard.open[-1].sent_at + self._hedge_delay > now:
            return
        view = self._choose(self._candidates(shard, now), now)
        if view is not None and self._may_retry(view):
            await self._send([self._attempt(shard, view, AttemptKind.RETRY, now)])
        elif shard.open:
            self._schedule_hedge(shard.open[-1].request.request_id, now)
        elif view is None or shard.reason() is MissingReason.OVERLOADED:
            self._mark_missing(shard, shard.reason())
        else:
            # A replica is left, but the budget or the time does not allow a retry.
            self._mark_missing(shard, shard.reason())
            self._merge.mark_missing(shard.shard, MissingReason.FAILED)

    def _may_retry(self, view: ReplicaView) -> bool:
        return self._has_time_for(view) and self._dependencies.retries.spend(
            self._settings.retry_budget
        )

    def _reason_without_replica(
        self, shard: ShardAttempts, now: timedelta
    ) -> MissingReason:
        announced = self._dependencies.directory.candidates(
            self._request.service, self._merge.snapshot, shard.shard, now
        )
        return MissingReason.SNAPSHOT_GONE if announced else MissingReason.NO_REPLICA

    def _mark_missing(self, shard: ShardAttempts, reason: MissingReason) -> None:
        """Record a missing shard and look for a newer snapshot to restart at."""
        self._merge.mark_missing(shard.shard, reason)
        gone = reason in (MissingReason.SNAPSHOT_GONE, MissingReason.NO_REPLICA)
        if gone and self._may_restart and self._time_left() > _ZERO:
            self._newer = newer_complete_snapshot(
                self._dependencies.directory,
                self._dependencies.stats,
                self._request.service,
                self._merge.snapshot.version,
                self._dependencies.clock.monotonic_time(),
            )

    async def _send_due_hedges(self) -> None:
        now = self._dependencies.clock.monotonic_time()
        due = []
        while self._hedge_times and self._hedge_times[0][0] <= now:
            _, request_id = heappop(self._hedge_times)
            attempt = self._open.get(request_id)
            if attempt is None:
                continue
            shard = self._shards[attempt.request.shard]
            newest = shard.open[-1].request.request_id
            if newest != request_id:
                continue
            hedge = self._hedge(shard, attempt.sent_at, now)
            if hedge is None:
                self._schedule_hedge(request_id, now)
            else:
                due.append(hedge)
        await self._send(due)

    def _hedge(
        self, shard: ShardAttempts, sent_at: timedelta, now: timedelta
    ) -> Attempt | None:
        """Return a hedge for a shard if the budget allows it and it may be faster."""
        service = self._request.service
        if self._dependencies.stats.is_shedding(service, now):
            return None
        listings = self._candidates(shard, now)
        views = self._dependencies.stats.views(service, listings, now)
        median = self._dependencies.stats.median_latency(service)
        urgent = now - sent_at >= self._hedge_delay * _DELAYS_UNTIL_URGENT
        fast = fast_enough(views, self._hedge_delay, median, urgent)
        view = choose_replica(self._settings.policy, fast, self._dependencies.random)
        if view is None or not self._has_time_for(view):
            return None
        reserved = 0.0 if urgent else HEDGE_RESERVE
        if self._dependencies.hedges.spend(self._settings.hedge_budget, reserved):
            return self._attempt(shard, view, AttemptKind.HEDGE, now)
        if urgent and self._dependencies.retries.spend(self._settings.retry_budget):
            return self._attempt(shard, view, AttemptKind.RETRY, now)
        return None

    async def _send(self, attempts: Sequence[Attempt]) -> None:
        if not attempts:
            return
        for attempt in attempts:
            request = attempt.request
            self._open[request.request_id] = attempt
            self._shards[request.shard].record_sent(attempt)
            self._dependencies.stats.record_sent(request, attempt.sent_at)
            self._schedule_hedge(request.request_id, attempt.sent_at)
            SUB_REQUESTS.labels(request.service, attempt.kind.value).inc()
        requests = [attempt.request for attempt in attempts]
        sending = self._dependencies.sender.send(requests, self._outcome_queue)
        await self._dependencies.clock.with_timeout(self._time_left(), sending)

    async def _cancel(self, attempts: Sequence[Attempt]) -> None:
        """Cancel attempts whose outcome is no longer needed and update statistics."""
        if not attempts:
            return
        now = self._dependencies.clock.monotonic_time()
        for shard in {attempt.request.shard for attempt in attempts}:
            if self._merge.is_open(shard):
                reason = self._shards[shard].reason_at(now)
                self._merge.mark_missing(shard, reason)
        for attempt in attempts:
            self._close(attempt)
            if now - attempt.sent_at >= self._hedge_delay:
                self._dependencies.stats.record_given_up(attempt.request, now)
            else:
                self._dependencies.stats.record_dropped(attempt.request, now)
        ids = [attempt.request.request_id for attempt in attempts]
        cancelling = self._dependencies.sender.cancel(ids)
        await self._dependencies.clock.with_timeout(
            self._limits.cancel_timeout, cancelling
        )

    def _close(self, attempt: Attempt) -> None:
        request_id = attempt.request.request_id
        del self._open[request_id]
        self._closed.add(request_id)
        self._shards[attempt.request.shard].record_ended(attempt)

    def _attempt(
        self, shard: ShardAttempts, view: ReplicaView, kind: AttemptKind, now: timedelta
    ) -> Attempt:
        self._sent += 1
        request = SubRequest(
            request_id=f"{self._query.id}-{self._merge.snapshot.version}-{self._sent}",
            query_id=self._query.id,
            service=self._request.service,
            target=view.target,
            shard=shard.shard,
            snapshot=self._merge.snapshot,
            time_left=self._limits.deadline - now,
            terms=self._request.terms,
            limit=self._request.limit,
        )
        return Attempt(request, kind, now, view.queue_wait)

    def _candidates(self, shard: ShardAttempts, now: timedelta) -> list[Listing]:
        snapshot = self._merge.snapshot
        listings = self._dependencies.directory.candidates(
            self._request.service, snapshot, shard.shard, now
        )
        return shard.eligible(
            [
                listing
                for listing in listings
                if not self._dependencies.stats.lacks_snapshot(listing, snapshot)
            ]
        )

    def _choose(
        self, listings: Sequence[Listing], now: timedelta
    ) -> ReplicaView | None:
        views = self._dependencies.stats.views(self._request.service, listings, now)
        return choose_replica(self._settings.policy, views, self._dependencies.random)

    def _schedule_hedge(self, request_id: str, now: timedelta) -> None:
        heappush(self._hedge_times, (now + self._hedge_delay, request_id))

    def _time_to_hedge(self) -> timedelta:
        if not self._hedge_times:
            return timedelta.max
        return self._hedge_times[0][0] - self._dependencies.clock.monotonic_time()

    def _time_left(self) -> timedelta:
        return self._limits.deadline - self._dependencies.clock.monotonic_time()

    def _has_time_for(self, view: ReplicaView) -> bool:
        return self._time_left() > view.latency
