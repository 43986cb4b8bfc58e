"""The owner's side of a replica: queue, slots and connections."""

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

_NO_TIME = timedelta(0)
_CONNECT_LIMIT = timedelta(seconds=1)
# A wait beyond any deadline; it stands for "no slots are expected".
_LONGEST_WAIT = timedelta(hours=1)
# Cancelled exchanges close their connections, so a second set is kept warm.
_CONNECTIONS_PER_SLOT = 2


class ReplicaPool:
    """Runs jobs on one owned replica, one task for each connection.

    Parameters
    ----------
    listing
        The replica, as it was last announced.
    allowance
        Returns what this instance may use of the replica now.
    group
        Where the tasks of the connections run.
    contacted
        Called after each successful exchange.
    """

    def __init__(
        self,
        listing: Listing,
        allowance: Callable[[Announcement], ReplicaQuota],
        dependencies: PoolDependencies,
        group: TaskGroup,
        contacted: Callable[[Announcement], None] = lambda announcement: None,
    ) -> None:
        self._listing = listing
        self._allowance = allowance
        self._dependencies = dependencies
        self._group = group
        self._contacted = contacted
        self._waiting: deque[Job] = deque()
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
        """The replica, as it was last announced."""
        return self._listing.announcement

    @property
    def in_flight(self) -> int:
        """The requests that the replica works on now."""
        return self._usage.slots

    @property
    def open_connections(self) -> int:
        """The connections that are open or being opened or closed."""
        return self._usage.connections

    @property
    def in_use(self) -> bool:
        """Whether anything waits, runs or is connected."""
        return bool(self._waiting or self._usage.slots or self._connections)

    @property
    def released(self) -> bool:
        """Whether the pool was released and nothing of it is left."""
        return self._releasing and not self.in_use

    def update(self, listing: Listing) -> None:
        """Take in a newer announcement of the same incarnation."""
        self._listing = listing
        if listing.announcement.state is TargetState.LEAVING:
            self._draining = True

    def expected_wait(self) -> timedelta:
        """Return how long a new job would wait for a slot."""
        allowance = self._allowance(self.announcement)
        slots = self._slots(allowance)
        ahead = len(self._waiting) + self._usage.slots + 1 - slots
        if slots == 0:
            return min(_LONGEST_WAIT, allowance.available_in)
        return min(_LONGEST_WAIT, max(0, ahead) * self._slot_time.mean / slots)

    async def submit(self, job: Job) -> None:
        """Queue a job, or refuse it at once; its outcome goes to its inbox."""
        now = self._dependencies.clock.monotonic_time()
        left = job.deadline - now
        wait = self.expected_wait()
        target = self.announcement.target
        job.submitted_at = now
        if self._releasing or self._closed:
            await job.settle(Error(NotOwner(target)))
        elif self._draining:
            await job.settle(Error(RefusedByTarget(target, "draining")))
        elif left <= _NO_TIME:
            await job.settle(Error(DeadlinePassed()))
        elif wait > _NO_TIME and wait + self._latency.mean > left:
            # What would start too late to end in time only takes slots from others.
            await job.settle(Error(Overloaded(wait + self._latency.mean)))
        else:
            self._waiting.append(job)
            await self._dispatch()

    async def cancel(self, request_id: str) -> None:
        """Drop a queued job, or close the connection of a running one."""
        for job in self._waiting:
            if job.request_id == request_id:
                job.drop()
                self._waiting.remove(job)
                return
        for connection in self._connections:
            if connection.job is not None and connection.job.request_id == request_id:
                connection.job.drop()
                await self._end(connection)
                return

    async def release(self) -> None:
        """Refuse new jobs, finish queued and running ones, close connections."""
        self._releasing = True
        await self._dispatch()

    async def close(self, failure: Failure) -> None:
        """Refuse queued jobs with `failure` and cut off running ones."""
        self._closed = True
        await self._refuse_waiting(failure)
        for connection in list(self._connections):
            await self._end(connection)

    async def enforce_limits(self) -> None:
        """Apply limits that changed with time, and refuse jobs that waited too long."""
        allowance = self._allowance(self.announcement)
        if allowance.orphaned:
            await self._cut_to(allowance)
        await self._dispatch()

    def _slots(self, allowance: ReplicaQuota) -> int:
        now = self._dependencies.clock.monotonic_time()
        ramp = self._dependencies.target_settings(self.announcement.service).ramp
        return self._throttle.slots(allowance.slots, self._listing.ready_at, ramp, now)

    def _has_free_slot(self, allowance: ReplicaQuota) -> bool:
        return self._usage.slots < self._slots(allowance)

    def _may_connect(self, allowance: ReplicaQuota) -> bool:
        most = min(allowance.connections, _CONNECTIONS_PER_SLOT * allowance.slots)
        return len(self._connections) < most

    async def _dispatch(self) -> None:
        """Hand waiting jobs to connections as far as the limits allow."""
        await self._drop_late()
        if self._draining:
            target = self.announcement.target
            await self._refuse_waiting(RefusedByTarget(target, "draining"))
        allowance = self._allowance(self.announcement)
        if self._releasing and allowance.slots == 0:
            await self._refuse_waiting(NotOwner(self.announcement.target))
        while self._waiting and self._has_free_slot(allowance):
            if not self._idle and not self._may_connect(allowance):
                break
            job = self._waiting.popleft()
            self._take_slot(allowance, job)
            if self._idle:
                connection = self._idle.pop()
            else:
                connection = await self._connect(allowance)
            connection.job = job
            await connection.jobs.put(job)
        surplus = max(0, len(self._connections) - allowance.connections)
        if (self._releasing or self._draining) and not self._waiting:
            surplus = len(self._idle)
        for connection in self._idle[:surplus]:
            await self._end(connection)

    def _take_slot(self, allowance: ReplicaQuota, job: Job) -> None:
        job.started_at = self._dependencies.clock.monotonic_time()
        service = self.announcement.service
        QUEUE_WAIT_SECONDS.labels(service).observe(
            (job.started_at - job.submitted_at).total_seconds()
        )
        self._usage.take_slot(allowance.slots)

    async def _connect(self, allowance: ReplicaQuota) -> PooledConnection:
        connection = self._new_connection()
        self._connections.append(connection)
        self._usage.connect(allowance.connections)
        connection.task = await self._group.spawn(self._serve, connection, daemon=True)
        return connection

    def _new_connection(self) -> PooledConnection:
        return PooledConnection(
            self.announcement, self._dependencies, self._latency, self._close_idle
        )

    async def _serve(self, connection: PooledConnection) -> None:
        """Run jobs on one connection until it ends; the task ends with it."""
        try:
            while not connection.ending:
                job = await connection.jobs.get()
                if job is not None:
                    await self._finish(connection, job, await connection.run(job))
                    continue
                opened = await connection.open(_CONNECT_LIMIT)
                await self._rest(connection, opened.is_ok())
        except CancelledError:
            pass
        finally:
            connection.ending = True
            async with disable_cancellation():
                await self._retire(connection)

    async def _finish(
        self, connection: PooledConnection, job: Job, result: Result[Reply, Failure]
    ) -> None:
        now = self._dependencies.clock.monotonic_time()
        self._slot_time.add(now - job.started_at)
        self._note(job, result, now)
        self._free_slot(connection)
        match result:
            case Result(tag="ok", ok=SubReply() as reply):
                wait = self.expected_wait()
                await job.settle(Ok(reply._replace(queue_wait=wait)))
            case _:
                await job.settle(result)
        await self._rest(connection, connection.is_open)

    def _note(self, job: Job, result: Result[Reply, Failure], now: timedelta) -> None:
        """Take from an outcome what it says of the replica."""
        announcement = self.announcement
        match result:
            case Result(tag="ok"):
                self._contacted(announcement)
            case Result(error=RefusedByTarget(reason="shed")):
                SHEDS.labels(announcement.service).inc()
                slots = self._slots(self._allowance(announcement))
                self._throttle.shed(slots, job.started_at, now)
            case Result(error=RefusedByTarget(reason="draining")):
                self._draining = True

    def _free_slot(self, connection: PooledConnection) -> None:
        if connection.job is not None:
            connection.job = None
            self._usage.free_slot()

    async def _rest(self, connection: PooledConnection, is_open: bool) -> None:
        """Make a connection available again, or let it end."""
        if not is_open or connection.ending:
            connection.ending = True
            return
        self._idle.append(connection)
        await self._dispatch()

    async def _retire(self, connection: PooledConnection) -> None:
        """Close a connection, free its slot and let another take its place."""
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
        allowance = self._allowance(self.announcement)
        if cancelled and not self._releasing and self._may_connect(allowance):
            warm = await self._connect(allowance)
            await warm.jobs.put(None)
        await self._dispatch()

    async def _end(self, connection: PooledConnection) -> None:
        """End a connection now, whatever runs on it."""
        if connection in self._idle:
            self._idle.remove(connection)
        if connection.ending or connection.task is None:
            return
        connection.ending = True
        # A task cannot cancel itself; its loop ends because of `ending`.
        if connection.task is not await current_task():
            await connection.task.cancel(blocking=False)

    async def _close_idle(self, fresh: PooledConnection, before: timedelta) -> None:
        """Close the idle connections that were last used before a time."""
        for connection in [one for one in self._idle if one is not fresh]:
            if connection.used_at <= before:
                await self._end(connection)

    async def _cut_to(self, allowance: ReplicaQuota) -> None:
        """Cut off connections above the allowance, non-idempotent work last."""
        by_value = sorted(self._connections, key=_worth)
        for connection in by_value[: max(0, len(by_value) - allowance.connections)]:
            await self._end(connection)

    async def _drop_late(self) -> None:
        now = self._dependencies.clock.monotonic_time()
        for job in [one for one in self._waiting if one.deadline <= now]:
            self._waiting.remove(job)
            await job.settle(Error(DeadlinePassed()))

    async def _refuse_waiting(self, failure: Failure) -> None:
        while self._waiting:
            await self._waiting.popleft().settle(Error(failure))


def _worth(connection: PooledConnection) -> int:
    """Return how much is lost if a connection is cut off."""
    match connection.job:
        case None:
            return 0
        case Job(work=Search()):
            return 1
        case Job(work=Execute()):
            return 2
    return 0
