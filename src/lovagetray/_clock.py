"""Time as an interface, so that tests can run tasks in virtual time."""

from collections.abc import Awaitable
from datetime import datetime, timedelta, timezone
from time import monotonic
from typing import Protocol, TypeVar

from curio import TaskTimeout, sleep, timeout_after
from expression import Error, Ok, Result

from lovagetray._errors import TimedOut

T = TypeVar("T")


class Clock(Protocol):
    """Tells the time, sleeps and limits how long work may take."""

    def now(self) -> datetime:
        """Return the UTC wall time. It may jump; use it in records only."""

    def monotonic_time(self) -> timedelta:
        """Return monotonic time since an arbitrary origin, for limits and leases."""

    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for `duration`."""

    async def with_timeout(
        self, limit: timedelta, work: Awaitable[T]
    ) -> Result[T, TimedOut]:
        """Return the result of `work`, or `TimedOut` once `limit` has passed."""


class SystemClock:
    """The clock of the machine, used under the curio kernel."""

    def now(self) -> datetime:
        return datetime.now(timezone.utc)

    def monotonic_time(self) -> timedelta:
        return timedelta(seconds=monotonic())

    async def sleep(self, duration: timedelta) -> None:
        await sleep(max(0.0, duration.total_seconds()))

    async def with_timeout(
        self, limit: timedelta, work: Awaitable[T]
    ) -> Result[T, TimedOut]:
        try:
            done: T = await timeout_after(max(0.0, limit.total_seconds()), work)
        except TaskTimeout:
            return Error(TimedOut(limit))
        return Ok(done)
