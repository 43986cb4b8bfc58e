"""Turns of connections whose input costs much processor time.

Tasks run until they wait, and input that is always there never makes them wait. So a
connection that has used its share is served in short turns: one such connection at a
time, and between two turns all other tasks that are ready run once. Without other tasks
a turn follows at once, so a single long request is not delayed.
"""

from collections.abc import Callable, Coroutine, Generator
from datetime import timedelta
from types import coroutine
from typing import Any, TypeVar

from curio import Lock

from lovagetray._clock import Clock
from lovagetray._gateway_settings import DEFAULT_CONNECTION_SHARE
from lovagetray._telemetry import PROCESSOR_TURNS
from lovagetray.state import ProcessorUse

T = TypeVar("T")


class ProcessorTurns:
    """The turns of all connections of a process.

    Parameters
    ----------
    share
        Share of a processor that a connection may use without waiting for turns.
    """

    def __init__(self, clock: Clock, share: float = DEFAULT_CONNECTION_SHARE) -> None:
        self._clock = clock
        self._share = share
        self._lock = Lock()

    def new_use(self) -> ProcessorUse:
        """Return the use of a new connection."""
        return ProcessorUse(self._share)

    async def run(self, use: ProcessorUse, work: Callable[[], T]) -> T:
        """Return the result of short work, done in a turn if the share is used up."""
        if not use.exceeds_share(self._clock.monotonic_time()):
            return self._measure(use, work)
        PROCESSOR_TURNS.inc()
        async with self._lock:
            result = self._measure(use, work)
            # Ends the turn after all other tasks that are ready have run.
            await self._clock.sleep(timedelta(0))
        return result

    async def wait(self) -> None:
        """Return in a turn of its own, for work that is costly whoever asks for it."""
        async with self._lock:
            await self._clock.sleep(timedelta(0))

    async def charge(self, use: ProcessorUse, work: Coroutine[Any, Any, T]) -> T:
        """Return the result of work whose processor time counts for a connection."""
        result: T = await _measured(work, use, self._clock)
        return result

    def _measure(self, use: ProcessorUse, work: Callable[[], T]) -> T:
        # The time of a busy machine does not count for the connection.
        started_at = self._clock.processor_time()
        try:
            return work()
        finally:
            spent = self._clock.processor_time() - started_at
            use.record(spent, self._clock.monotonic_time())


@coroutine
def _measured(
    work: Coroutine[Any, Any, T], use: ProcessorUse, clock: Clock
) -> Generator[Any, Any, T]:
    """Run a coroutine and record the time of each step between two waits."""
    resume: Callable[[Any], Any] = work.send
    value: Any = None
    while True:
        started_at = clock.processor_time()
        try:
            trap = resume(value)
        except StopIteration as end:
            result: T = end.value
            return result
        finally:
            spent = clock.processor_time() - started_at
            use.record(spent, clock.monotonic_time())
        try:
            value = yield trap
            resume = work.send
        except BaseException as error:
            # Cancellations are for the work, which may handle them.
            value = error
            resume = work.throw
