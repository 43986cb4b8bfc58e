"""Queue, slots and connections of one owned replica."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

from curio import CancelledError, TaskGroup, current_task, disable_cancellation
from expression import Error, Ok, Result

from lovagetray._errors import (
    ConnectionLost,
    DeadlinePassed,
    Failure,
    NotOwner,
    Overloaded,
    RefusedByTarget,
)
from lovagetray._telemetry import QUEUE_WAIT_SECONDS, SHEDS
from lovagetray._types import Announcement, ReplicaQuota, SubReply, TargetState
from lovagetray.state import Listing
from lovagetray.targets._pooled_connection import PoolDependencies, PooledConnection
from lovagetray.targets._throttle import Latency, SlotThrottle
from lovagetray.targets._usage import Usage
from lovagetray.targets._work import Execute, Job, Reply, Search

_ZERO = timedelta(0)
_CONNECT_TIMEOUT = timedelta(seconds=1)
# Longer than any deadline; reported if no slot is expected to become available.
_MAX_WAIT = timedelta(hours=1)
# Cancelling a request closes its connection; a second connection for each slot is kept
# open so that the next request does not wait for a new one.
_CONNECTIONS_PER_SLOT = 2


class ReplicaPool:
    """Job queue and connections of one owned replica, with a task for each connection.

    Parameters
    ----------
    listing
        The latest announcement of the replica.
    quota
        Returns the slots and connections that this instance may use now.
    dependencies
        Dependencies that all pools of the instance share.
    group
        Task group for the connections.
    contacted
        Called after each successful exchange.
    """

    def __init__(
        self,
        listing: Listing,
        quota: Callable[[Announcement], ReplicaQuota],
        dependencies: PoolDependencies,
        group: TaskGroup,
        contacted: Callable[[Announcement], None] = lambda announcement: None,
    ) -> None:
        self._listing = listing
        self._quota = quota
        self._dependencies = dependencies
        self._group = group
        self._contacted = contacted
        self._queue: deque[Job] = deque()
        self._idle: list[PooledConnection] = []
        self._connections: list[PooledConnection] = []
        service, target = listing.announcement.service, listing.announcement.target
        self._usage = Usage(service, target, dependencies.violations)
        self._throttle = SlotThrottle()
        self._latency = Latency()
        self._slot_time = Latency()
        self._draining = False
        self._releasing = False
        self._closed = False
        self.update(listing)

    @property
    def announcement(self) -> Announcement:
        """The latest announcement of the replica."""
        return self._listing.announcement

    @property
    def in_flight(self) -> int:
        """The number of requests in flight at the replica."""
        return self._usage.slots

    @property
    def open_connections(self) -> int:
        """The number of connections that are open, being opened or being closed."""
        return self._usage.connections

    @property
    def in_use(self) -> bool:
        """Whether a job is queued or in flight, or a connection exists."""
        return bool(self._queue or self._usage.slots or self._connections)

    @property
    def released(self) -> bool:
        """Whether the pool was released and has no job or connection left."""
        return self._releasing and not self.in_use

    def update(self, listing: Listing) -> None:
        """Apply a newer announcement of the same incarnation."""
        self._listing = listing
        if listing.announcement.state is TargetState.LEAVING:
            self._draining = True

    def expected_wait(self) -> timedelta:
        """Return the estimated time that a new job would wait for a slot."""
        quota = self._quota(self.announcement)
        slots = self._slots(quota)
        jobs_ahead = len(self._queue) + self._usage.slots + 1 - slots
        if slots == 0:
            return min(_MAX_WAIT, quota.available_in)
        return min(_MAX_WAIT, max(0, jobs_ahead) * self._slot_time.mean / slots)

    async def submit(self, job: Job) -> None:
        """Queue a job or refuse it at once; its outcome goes to its outcome queue."""
        now = self._dependencies.clock.monotonic_time()
        time_left = job.deadline - now
        wait = self.expected_wait()
        target = self.announcement.target
        job.submitted_at = now
        if self._releasing or self._closed:
            await job.settle(Error(NotOwner(target)))
        elif self._draining:
            await job.settle(Error(RefusedByTarget(target, "draining")))
        elif time_left <= _ZERO:
            await job.settle(Error(DeadlinePassed()))
        elif wait > _ZERO and wait + self._latency.mean > time_left:
            # A job that cannot finish before its deadline would only take a slot from
            # other jobs.
            await job.settle(Error(Overloaded(wait + self._latency.mean)))
        else:
            self._queue.append(job)
            await self._dispatch()

    async def cancel(self, request_id: str) -> None:
        """Remove a queued job, or close the connection of one in flight."""
        for job in self._queue:
            if job.request_id == request_id:
                job.drop()
                self._queue.remove(job)
                return
        for connection in self._connections:
            if connection.job is not None and connection.job.request_id == request_id:
                connection.job.drop()
                await self._end_connection(connection)
                return

    async def release(self) -> None:
        """Refuse new jobs, finish the accepted ones and close the connections."""
        self._releasing = True
        await self._dispatch()

    async def close(self, failure: Failure) -> None:
        """Refuse queued jobs with `failure` and close all connections."""
        self._closed = True
        await self._refuse_queued(failure)
        for connection in list(self._connections):
            await self._end_connection(connection)

    async def enforce_limits(self) -> None:
        """Apply limits that changed over time, and refuse jobs past their deadline."""
        quota = self._quota(self.announcement)
        if quota.orphaned:
            await self._close_surplus(quota)
        await self._dispatch()

    def _slots(self, quota: ReplicaQuota) -> int:
        now = self._dependencies.clock.monotonic_time()
        ramp = self._dependencies.target_settings(self.announcement.service).ramp
        return self._throttle.slots(quota.slots, self._listing.ready_at, ramp, now)

    def _has_free_slot(self, quota: ReplicaQuota) -> bool:
        return self._usage.slots < self._slots(quota)

    def _may_connect(self, quota: ReplicaQuota) -> bool:
        limit = min(quota.connections, _CONNECTIONS_PER_SLOT * quota.slots)
        return len(self._connections) < limit

    async def _dispatch(self) -> None:
        """Assign queued jobs to connections within the limits, close surplus ones."""
        await self._refuse_expired()
        if self._draining:
            target = self.announcement.target
            await self._refuse_queued(RefusedByTarget(target, "draining"))
        quota = self._quota(self.announcement)
        if self._releasing and quota.slots == 0:
            await self._refuse_queued(NotOwner(self.announcement.target))
        while self._queue and self._has_free_slot(quota):
            if not self._idle and not self._may_connect(quota):
                break
            job = self._queue.popleft()
            self._take_slot(quota, job)
            if self._idle:
                connection = self._idle.pop()
            else:
                connection = await self._connect(quota)
            connection.job = job
            await connection.jobs.put(job)
        surplus = max(0, len(self._connections) - quota.connections)
        if (self._releasing or self._draining) and not self._queue:
            surplus = len(self._idle)
        for connection in self._idle[:surplus]:
            await self._end_connection(connection)

    def _take_slot(self, quota: ReplicaQuota, job: Job) -> None:
        job.started_at = self._dependencies.clock.monotonic_time()
        service = self.announcement.service
        QUEUE_WAIT_SECONDS.labels(service).observe(
            (job.started_at - job.submitted_at).total_seconds()
        )
        self._usage.take_slot(quota.slots)

    async def _connect(self, quota: ReplicaQuota) -> PooledConnection:
        connection = self._new_connection()
        self._connections.append(connection)
        self._usage.connect(quota.connections)
        connection.task = await self._group.spawn(
            self._run_connection, connection, daemon=True
        )
        return connection

    def _new_connection(self) -> PooledConnection:
        return PooledConnection(
            self.announcement, self._dependencies, self._latency, self._close_idle
        )

    async def _run_connection(self, connection: PooledConnection) -> None:
        """Run jobs on one connection until it ends."""
        try:
            while not connection.ending:
                job = await connection.jobs.get()
                if job is not None:
                    await self._finish_job(connection, job, await connection.run(job))
                    continue
                opened = await connection.open(_CONNECT_TIMEOUT)
                await self._make_idle(connection, opened.is_ok())
        except CancelledError:
            pass
        finally:
            connection.ending = True
            async with disable_cancellation():
                await self._close_and_replace(connection)

    async def _finish_job(
        self, connection: PooledConnection, job: Job, result: Result[Reply, Failure]
    ) -> None:
        now = self._dependencies.clock.monotonic_time()
        self._slot_time.add(now - job.started_at)
        self._record_outcome(job, result, now)
        self._free_slot(connection)
        match result:
            case Result(tag="ok", ok=SubReply() as reply):
                wait = self.expected_wait()
                await job.settle(Ok(reply._replace(queue_wait=wait)))
            case _:
                await job.settle(result)
        await self._make_idle(connection, connection.is_open)

    def _record_outcome(
        self, job: Job, result: Result[Reply, Failure], now: timedelta
    ) -> None:
        """Update throttling and state of the replica from the outcome of a job."""
        announcement = self.announcement
        match result:
            case Result(tag="ok"):
                self._contacted(announcement)
            case Result(error=RefusedByTarget(reason="shed")):
                SHEDS.labels(announcement.service).inc()
                slots = self._slots(self._quota(announcement))
                self._throttle.shed(slots, job.started_at, now)
            case Result(error=RefusedByTarget(reason="draining")):
                self._draining = True

    def _free_slot(self, connection: PooledConnection) -> None:
        if connection.job is not None:
            connection.job = None
            self._usage.free_slot()

    async def _make_idle(self, connection: PooledConnection, is_open: bool) -> None:
        """Add a connection to the idle ones, or mark it for closing."""
        if not is_open or connection.ending:
            connection.ending = True
            return
        self._idle.append(connection)
        await self._dispatch()

    async def _close_and_replace(self, connection: PooledConnection) -> None:
        """Close a connection and free its slot.

        If its job was cancelled, a new connection is opened in its place.
        """
        cancelled = connection.job is not None and connection.job.settled
        await connection.close()
        job = connection.job
        self._free_slot(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._connections.remove(connection)
        self._usage.disconnect()
        if job is not None:
            await job.settle(Error(ConnectionLost(self.announcement.target)))
        if self._closed:
            return
        quota = self._quota(self.announcement)
        if cancelled and not self._releasing and self._may_connect(quota):
            spare = await self._connect(quota)
            await spare.jobs.put(None)
        await self._dispatch()

    async def _end_connection(self, connection: PooledConnection) -> None:
        """Close a connection now, even if a job is in flight on it."""
        if connection in self._idle:
            self._idle.remove(connection)
        if connection.ending or connection.task is None:
            return
        connection.ending = True
        # A task cannot cancel itself; `_run_connection` checks `ending` instead.
        if connection.task is not await current_task():
            await connection.task.cancel(blocking=False)

    async def _close_idle(self, excluded: PooledConnection, before: timedelta) -> None:
        """Close the idle connections that were not used after `before`."""
        for connection in [other for other in self._idle if other is not excluded]:
            if connection.used_at <= before:
                await self._end_connection(connection)

    async def _close_surplus(self, quota: ReplicaQuota) -> None:
        """Close connections above the quota, those whose loss costs most last."""
        ordered = sorted(self._connections, key=_close_order)
        for connection in ordered[: max(0, len(ordered) - quota.connections)]:
            await self._end_connection(connection)

    async def _refuse_expired(self) -> None:
        now = self._dependencies.clock.monotonic_time()
        for job in [queued for queued in self._queue if queued.deadline <= now]:
            self._queue.remove(job)
            await job.settle(Error(DeadlinePassed()))

    async def _refuse_queued(self, failure: Failure) -> None:
        while self._queue:
            await self._queue.popleft().settle(Error(failure))


def _close_order(connection: PooledConnection) -> int:
    """Return the sort key for closing connections, by what their loss costs.

    Idle connections come first, then those of searches, and those of non-idempotent
    requests last.
    """
    match connection.job:
        case None:
            return 0
        case Job(work=Search()):
            return 1
        case Job(work=Execute()):
            return 2
    return 0
