"""Clock interface, so that tests can run tasks in virtual time."""

from collections.abc import Awaitable
from datetime import datetime, timedelta, timezone
from time import CLOCK_BOOTTIME, clock_gettime, thread_time
from typing import Protocol, TypeVar

from curio import TaskTimeout, sleep, timeout_after
from expression import Error, Ok, Result

from lovagetray._errors import TimedOut

T = TypeVar("T")


def monotonic() -> float:
    """Return the seconds since the machine started, suspensions included.

    `time.monotonic` stands still during a suspension, so that a leader would wake with
    a lease that has ended for all others.
    """
    return clock_gettime(CLOCK_BOOTTIME)


class Clock(Protocol):
    """Source of wall-clock and monotonic time, sleep and timeouts."""

    def now(self) -> datetime:
        """Return UTC wall-clock time, which may jump; for records only."""

    def monotonic_time(self) -> timedelta:
        """Return monotonic time since an arbitrary origin, for timeouts and leases."""

    def processor_time(self) -> timedelta:
        """Return the processor time of the calling thread since an arbitrary origin."""

    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for `duration`."""

    async def with_timeout(
        self, timeout: timedelta, work: Awaitable[T]
    ) -> Result[T, TimedOut]:
        """Return the result of `work`, or `TimedOut` once `timeout` has passed."""


class SystemClock:
    """The system clock; its waits need the curio kernel."""

    def now(self) -> datetime:
        return datetime.now(timezone.utc)

    def monotonic_time(self) -> timedelta:
        return timedelta(seconds=monotonic())

    def processor_time(self) -> timedelta:
        return timedelta(seconds=thread_time())

    async def sleep(self, duration: timedelta) -> None:
        await sleep(max(0.0, duration.total_seconds()))

    async def with_timeout(
        self, timeout: timedelta, work: Awaitable[T]
    ) -> Result[T, TimedOut]:
        try:
            result: T = await timeout_after(max(0.0, timeout.total_seconds()), work)
        except TaskTimeout:
            return Error(TimedOut(timeout))
        return Ok(result)
