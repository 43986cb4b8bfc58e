"""One connection of a pool: runs one job at a time and finds silent connections."""

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

_CONNECT_LIMIT = timedelta(seconds=1)
_NO_TIME = timedelta(0)


class PoolRetryBudget(Protocol):
    """The budget from which a second attempt on a fresh connection is taken."""

    def reserve(self, service: str) -> bool:
        """Set one attempt aside; return whether there was one."""

    def refund(self, service: str) -> None:
        """Return an attempt that was set aside and is not needed."""


class UnlimitedRetryBudget:
    """Allows every second attempt."""

    def reserve(self, service: str) -> bool:
        """Set one attempt aside; return whether there was one."""
        return True

    def refund(self, service: str) -> None:
        """Return an attempt that was set aside and is not needed."""


class TargetSettings(NamedTuple):
    """The settings of a service that concern its targets.

    Parameters
    ----------
    ramp
        Time over which a target that started cold gets all of its slots.
    idle_check
        Idle time after which a connection is checked before it is used.
    """

    ramp: timedelta = timedelta(seconds=10)
    idle_check: timedelta = timedelta(seconds=5)


def default_target_settings(service: str) -> TargetSettings:
    """Return the defaults of the settings."""
    return TargetSettings()


class PoolDependencies(NamedTuple):
    """What all pools of an instance share.

    Parameters
    ----------
    target_settings
        Returns the settings in force for a service.
    """

    dialer: TargetDialer
    clock: Clock
    violations: Violations
    retry_budget: PoolRetryBudget = UnlimitedRetryBudget()
    target_settings: Callable[[str], TargetSettings] = default_target_settings


class PooledConnection:
    """A connection of a pool with the one task that uses it.

    Parameters
    ----------
    found_silent
        Closes idle connections that were last used before a time, after a fresh one
        answered where this one was silent.
    """

    def __init__(
        self,
        announcement: Announcement,
        dependencies: PoolDependencies,
        latency: Latency,
        found_silent: Callable[["PooledConnection", timedelta], Awaitable[None]],
    ) -> None:
        self.jobs: Queue = Queue()
        self.job: Job | None = None
        self.task: Task | None = None
        self.ending = False
        self._announcement = announcement
        self._dependencies = dependencies
        self._latency = latency
        self._found_silent = found_silent
        self._connection: TargetConnection | None = None

    @property
    def used_at(self) -> timedelta:
        """When the last exchange ended, on the monotonic clock."""
        return _NO_TIME if self._connection is None else self._connection.used_at

    @property
    def is_open(self) -> bool:
        """Whether there is a connection that can take another exchange."""
        return self._connection is not None and self._connection.reusable

    async def open(self, limit: timedelta) -> Result[TargetConnection, ConnectFailed]:
        """Return the connection, opened if need be."""
        if self._connection is not None:
            return Ok(self._connection)
        opened = await self._dependencies.dialer.open(
            self._announcement, min(limit, _CONNECT_LIMIT)
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
        """Return the outcome of a job, with a second attempt after silence."""
        await self._close_if_dead(job.work)
        reused = self._connection is not None and self._connection.exchanges > 0
        left = job.deadline - self._dependencies.clock.monotonic_time()
        if left <= _NO_TIME:
            return Error(DeadlinePassed())
        match await self.open(left):
            case Result(tag="ok", ok=connection):
                pass
            case Result(error=not_connected):
                return Error(not_connected)
        cost = self._announcement.connect_cost
        first_byte = self._latency.first_byte_limit(left, cost)
        service = self._announcement.service
        watched = reused and first_byte is not None and self.may_retry(job.work)
        # Without an attempt set aside, silence would only cut off a late reply.
        if not watched or not self._dependencies.retry_budget.reserve(service):
            return await self._attempt(connection, job, None)
        sent_before = job.times_sent
        try:
            return await self._attempt(connection, job, first_byte)
        finally:
            if job.times_sent <= sent_before + 1:
                self._dependencies.retry_budget.refund(service)

    async def _attempt(
        self, connection: TargetConnection, job: Job, first_byte: timedelta | None
    ) -> Result[Reply, Failure]:
        match await self._exchange(connection, job, first_byte):
            case Result(tag="ok", ok=reply):
                await self._close_unless_reusable()
                return Ok(reply)
            case Result(error=failure):
                return await self._after(job, failure, first_byte is not None)

    def may_retry(self, work: Work) -> bool:
        """Tell whether work may be sent again after silence."""
        match work:
            case Search():
                return True
            case Execute():
                return False

    async def _after(
        self, job: Job, failure: Failure | NoFirstByte, may_retry: bool
    ) -> Result[Reply, Failure]:
        """Return what a failed exchange means, after a second attempt if allowed."""
        match failure:
            case NoFirstByte(failure=failure):
                await self.close()
                if may_retry:
                    SUB_REQUESTS.labels(self._announcement.service, "retry").inc()
                    return await self._run_on_fresh(job, failure)
                return Error(failure)
            case _:
                await self._close_unless_reusable()
                return Error(failure)

    async def _run_on_fresh(self, job: Job, silent: Failure) -> Result[Reply, Failure]:
        """Try a job again; an answer proves that the old connection was dead."""
        left = job.deadline - self._dependencies.clock.monotonic_time()
        match await self.open(left):
            case Result(tag="ok", ok=connection):
                pass
            case _:
                # The first attempt may have run, so "not connected" is no proof.
                return Error(silent)
        replied = await self._exchange(connection, job, None)
        match replied:
            case Result(tag="error", error=NoFirstByte()):
                pass
            case _:
                SILENT_CONNECTIONS.labels(self._announcement.service).inc()
                await self._found_silent(
                    self, self._dependencies.clock.monotonic_time()
                )
        match replied:
            case Result(tag="ok", ok=reply):
                await self._close_unless_reusable()
                return Ok(reply)
            case Result(error=failure):
                return await self._after(job, failure, False)

    async def _exchange(
        self, connection: TargetConnection, job: Job, first_byte: timedelta | None
    ) -> Result[Reply, Failure | NoFirstByte]:
        started = self._dependencies.clock.monotonic_time()
        left = job.deadline - started
        if left <= _NO_TIME and not job.times_sent:
            return Error(DeadlinePassed())
        job.times_sent += 1
        match job.work:
            case Execute(request=request) if job.times_sent > 1:
                self._dependencies.violations.report(SentTwice(request.key))
        replied = await connection.exchange(job.work, max(left, _NO_TIME), first_byte)
        match replied:
            case Result(tag="ok", ok=reply):
                self._latency.add(self._dependencies.clock.monotonic_time() - started)
                return await self._checked(job, reply)
        return replied

    async def _checked(
        self, job: Job, reply: Reply
    ) -> Result[Reply, Failure | NoFirstByte]:
        """Return a reply unless it belongs to another request."""
        if reply.request_id == job.request_id:
            return Ok(reply)
        query_id = getattr(job.work.request, "query_id", "")
        self._dependencies.violations.report(ForeignReply(query_id, reply.request_id))
        await self.close()
        return Error(WrongReply(self._announcement.target, "request id"))

    async def _close_if_dead(self, work: Work) -> None:
        if self._connection is None:
            return
        idle = self._dependencies.clock.monotonic_time() - self._connection.used_at
        match work:
            case Execute():
                must_check = True
            case Search():
                settings = self._dependencies.target_settings(
                    self._announcement.service
                )
                must_check = idle > settings.idle_check
        if must_check and self._connection.readable:
            await self.close()

    async def _close_unless_reusable(self) -> None:
        if self._connection is not None and not self._connection.reusable:
            await self.close()
