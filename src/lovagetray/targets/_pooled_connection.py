"""A pooled connection: runs one job at a time and detects dead connections."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple, Protocol

from curio import Queue, Task
from expression import Error, Ok, Result

from lovagetray._clock import Clock
from lovagetray._errors import (
    ConnectFailed,
    DeadlinePassed,
    Failure,
    WrongReply,
)
from lovagetray._telemetry import SILENT_CONNECTIONS, SUB_REQUESTS
from lovagetray._types import Announcement
from lovagetray._violations import ForeignReply, SentTwice, Violations
from lovagetray.targets._connection import NoFirstByte, TargetConnection, TargetDialer
from lovagetray.targets._throttle import Latency
from lovagetray.targets._work import Execute, Job, Reply, Search, Work

_CONNECT_TIMEOUT = timedelta(seconds=1)
_ZERO = timedelta(0)


class PoolRetryBudget(Protocol):
    """Budget for second attempts on a new connection."""

    def reserve(self, service: str) -> bool:
        """Reserve one attempt; return whether the budget had one left."""

    def refund(self, service: str) -> None:
        """Return a reserved attempt that was not needed."""


class UnlimitedRetryBudget:
    """A budget without a limit."""

    def reserve(self, service: str) -> bool:
        """Reserve one attempt; return whether the budget had one left."""
        return True

    def refund(self, service: str) -> None:
        """Return a reserved attempt that was not needed."""


class TargetSettings(NamedTuple):
    """Settings of a service that apply to its targets.

    Parameters
    ----------
    ramp
        Time after a cold start over which the slots in use rise to their full number.
    idle_check
        Idle time after which a connection is checked before it is reused.
    """

    ramp: timedelta = timedelta(seconds=10)
    idle_check: timedelta = timedelta(seconds=5)


def default_target_settings(service: str) -> TargetSettings:
    """Return the default settings, which are the same for all services."""
    return TargetSettings()


class PoolDependencies(NamedTuple):
    """Dependencies that all pools of an instance share.

    Parameters
    ----------
    dialer
        Opens connections to targets.
    clock
        Source of monotonic time.
    violations
        Receives violations of invariants.
    retry_budget
        Budget for second attempts on a new connection.
    target_settings
        Returns the settings in force for a service.
    """

    dialer: TargetDialer
    clock: Clock
    violations: Violations
    retry_budget: PoolRetryBudget = UnlimitedRetryBudget()
    target_settings: Callable[[str], TargetSettings] = default_target_settings


class PooledConnection:
    """A connection of a pool, used by one task.

    Parameters
    ----------
    announcement
        The latest announcement of the replica.
    dependencies
        Dependencies that all pools of the instance share.
    latency
        Exchange times of the replica, shared by the connections of its pool.
    on_dead_connection
        Called after a dead connection was replaced by a new one that carried a reply;
        closes the other idle connections that were not used after the given time.
    """

    def __init__(
        self,
        announcement: Announcement,
        dependencies: PoolDependencies,
        latency: Latency,
        on_dead_connection: Callable[["PooledConnection", timedelta], Awaitable[None]],
    ) -> None:
        self.jobs: Queue = Queue()
        self.job: Job | None = None
        self.task: Task | None = None
        self.ending = False
        self._announcement = announcement
        self._dependencies = dependencies
        self._latency = latency
        self._on_dead_connection = on_dead_connection
        self._connection: TargetConnection | None = None

    @property
    def used_at(self) -> timedelta:
        """Monotonic time at which the last exchange ended."""
        return _ZERO if self._connection is None else self._connection.used_at

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and can carry another exchange."""
        return self._connection is not None and self._connection.reusable

    async def open(self, timeout: timedelta) -> Result[TargetConnection, ConnectFailed]:
        """Return the connection; open it if necessary."""
        if self._connection is not None:
            return Ok(self._connection)
        opened = await self._dependencies.dialer.open(
            self._announcement, min(timeout, _CONNECT_TIMEOUT)
        )
        match opened:
            case Result(tag="ok", ok=connection):
                self._connection = connection
        return opened

    async def close(self) -> None:
        """Close the connection if it is open."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()

    async def run(self, job: Job) -> Result[Reply, Failure]:
        """Run a job and return its outcome.

        A search that gets no first byte on a reused connection is sent a second time on
        a new connection, if the budget allows.
        """
        await self._close_if_dead(job.work)
        reused = self._connection is not None and self._connection.exchanges > 0
        time_left = job.deadline - self._dependencies.clock.monotonic_time()
        if time_left <= _ZERO:
            return Error(DeadlinePassed())
        match await self.open(time_left):
            case Result(tag="ok", ok=connection):
                pass
            case Result(error=connect_failure):
                return Error(connect_failure)
        connect_cost = self._announcement.connect_cost
        first_byte_timeout = self._latency.first_byte_timeout(time_left, connect_cost)
        service = self._announcement.service
        may_retry = (
            reused and first_byte_timeout is not None and self.may_retry(job.work)
        )
        # Without a reserved attempt, this timeout would only cut off late replies.
        if not may_retry or not self._dependencies.retry_budget.reserve(service):
            return await self._attempt(connection, job, None)
        sent_before = job.times_sent
        try:
            return await self._attempt(connection, job, first_byte_timeout)
        finally:
            if job.times_sent <= sent_before + 1:
                self._dependencies.retry_budget.refund(service)

    async def _attempt(
        self,
        connection: TargetConnection,
        job: Job,
        first_byte_timeout: timedelta | None,
    ) -> Result[Reply, Failure]:
        match await self._exchange(connection, job, first_byte_timeout):
            case Result(tag="ok", ok=reply):
                await self._close_unless_reusable()
                return Ok(reply)
            case Result(error=failure):
                return await self._handle_failure(
                    job, failure, first_byte_timeout is not None
                )

    def may_retry(self, work: Work) -> bool:
        """Return whether a request may be sent again if no first byte arrived."""
        match work:
            case Search():
                return True
            case Execute():
                return False

    async def _handle_failure(
        self, job: Job, failure: Failure | NoFirstByte, may_retry: bool
    ) -> Result[Reply, Failure]:
        """Return the outcome after a failed exchange; try again if allowed."""
        match failure:
            case NoFirstByte(failure=failure):
                await self.close()
                if may_retry:
                    SUB_REQUESTS.labels(self._announcement.service, "retry").inc()
                    return await self._retry_on_new_connection(job, failure)
                return Error(failure)
            case _:
                await self._close_unless_reusable()
                return Error(failure)

    async def _retry_on_new_connection(
        self, job: Job, first_failure: Failure
    ) -> Result[Reply, Failure]:
        """Send a job on a new connection; a reply proves that the old one was dead."""
        time_left = job.deadline - self._dependencies.clock.monotonic_time()
        match await self.open(time_left):
            case Result(tag="ok", ok=connection):
                pass
            case _:
                # The first attempt may have run: `ConnectFailed` would claim that the
                # request did not run.
                return Error(first_failure)
        replied = await self._exchange(connection, job, None)
        match replied:
            case Result(tag="error", error=NoFirstByte()):
                pass
            case _:
                SILENT_CONNECTIONS.labels(self._announcement.service).inc()
                await self._on_dead_connection(
                    self, self._dependencies.clock.monotonic_time()
                )
        match replied:
            case Result(tag="ok", ok=reply):
                await self._close_unless_reusable()
                return Ok(reply)
            case Result(error=failure):
                return await self._handle_failure(job, failure, False)

    async def _exchange(
        self,
        connection: TargetConnection,
        job: Job,
        first_byte_timeout: timedelta | None,
    ) -> Result[Reply, Failure | NoFirstByte]:
        started_at = self._dependencies.clock.monotonic_time()
        time_left = job.deadline - started_at
        if time_left <= _ZERO and not job.times_sent:
            return Error(DeadlinePassed())
        job.times_sent += 1
        match job.work:
            case Execute(request=request) if job.times_sent > 1:
                self._dependencies.violations.report(SentTwice(request.key))
        replied = await connection.exchange(
            job.work, max(time_left, _ZERO), first_byte_timeout
        )
        match replied:
            case Result(tag="ok", ok=reply):
                self._latency.add(
                    self._dependencies.clock.monotonic_time() - started_at
                )
                return await self._check_reply(job, reply)
        return replied

    async def _check_reply(
        self, job: Job, reply: Reply
    ) -> Result[Reply, Failure | NoFirstByte]:
        """Return the reply, or `WrongReply` if it belongs to another request."""
        if reply.request_id == job.request_id:
            return Ok(reply)
        query_id = getattr(job.work.request, "query_id", "")
        self._dependencies.violations.report(ForeignReply(query_id, reply.request_id))
        await self.close()
        return Error(WrongReply(self._announcement.target, "request id"))

    async def _close_if_dead(self, work: Work) -> None:
        if self._connection is None:
            return
        idle_time = self._dependencies.clock.monotonic_time() - self._connection.used_at
        match work:
            case Execute():
                must_check = True
            case Search():
                settings = self._dependencies.target_settings(
                    self._announcement.service
                )
                must_check = idle_time > settings.idle_check
        if must_check and self._connection.readable:
            await self.close()

    async def _close_unless_reusable(self) -> None:
        if self._connection is not None and not self._connection.reusable:
            await self.close()
