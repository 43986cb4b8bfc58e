"""Curio kernel in virtual time, for runs that are fast and deterministic."""

from collections.abc import Awaitable, Callable
from logging import CRITICAL
from selectors import BaseSelector, DefaultSelector
from typing import Any, TypeVar
from unittest.mock import patch

from curio import Kernel
from structlog import configure, make_filtering_bound_logger

T = TypeVar("T")
_START_SECONDS = 1000.0


class DeadlockError(Exception):
    """Deadlock of a run: all tasks wait and no timer is set."""


class VirtualSelector(BaseSelector):
    """Selector that advances a virtual clock instead of waiting.

    Events of real file descriptors are never reported.
    """

    def __init__(self) -> None:
        self._selector = DefaultSelector()
        self._now = _START_SECONDS

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise DeadlockError
        self._now += max(0.0, timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> Any:
        return self._selector.unregister(fileobj)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> Any:
        return self._selector.modify(fileobj, events, data)

    def get_map(self) -> Any:
        return self._selector.get_map()

    def close(self) -> None:
        self._selector.close()


class VirtualKernel:
    """Kernel in virtual time; its tasks continue in the next `run`."""

    def __init__(self) -> None:
        self._selector = VirtualSelector()
        self._kernel = self._run_patched(lambda: Kernel(selector=self._selector))

    def run(self, work: Callable[..., Awaitable[T]], *arguments: Any) -> T:
        """Return the result of `work` after running it to its end."""
        result: T = self._run_patched(lambda: self._kernel.run(work, *arguments))
        return result

    def close(self) -> None:
        """Cancel all tasks."""
        self._run_patched(lambda: self._kernel.run(shutdown=True))

    def _run_patched(self, action: Callable[[], Any]) -> Any:
        clock = self._selector.monotonic
        with patch("time.monotonic", clock):
            with patch("lovagetray._clock.monotonic", clock):
                return action()


def run_in_virtual_time(work: Callable[..., Awaitable[T]], *arguments: Any) -> T:
    """Return the result of `work` after running it to its end in virtual time."""
    kernel = VirtualKernel()
    try:
        return kernel.run(work, *arguments)
    finally:
        kernel.close()


def silence_logs() -> None:
    """Drop the log events of the code under test.

    Runs do not read them: they check the recorded violations instead.
    """
    configure(wrapper_class=make_filtering_bound_logger(CRITICAL))
