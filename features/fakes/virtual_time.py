"""Runs curio tasks in virtual time: minutes pass in milliseconds, repeatably."""

from collections.abc import Awaitable, Callable
from logging import CRITICAL
from selectors import BaseSelector, DefaultSelector
from typing import Any, TypeVar
from unittest.mock import patch

from curio import Kernel
from structlog import configure, make_filtering_bound_logger

T = TypeVar("T")
_START = 1000.0


class DeadlockError(Exception):
    """Every task waits and no timer is set, so nothing can happen any more."""


class VirtualSelector(BaseSelector):
    """Advances a virtual clock instead of waiting; real descriptors never wake."""

    def __init__(self) -> None:
        self._selector = DefaultSelector()
        self._now = _START

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
    """A kernel in virtual time; tasks that it started go on in the next `run`."""

    def __init__(self) -> None:
        self._selector = VirtualSelector()
        self._kernel = self._patched(lambda: Kernel(selector=self._selector))

    def run(self, work: Callable[..., Awaitable[T]], *arguments: Any) -> T:
        """Run `work` to its end and return its result."""
        result: T = self._patched(lambda: self._kernel.run(work, *arguments))
        return result

    def close(self) -> None:
        """Cancel all tasks."""
        self._patched(lambda: self._kernel.run(shutdown=True))

    def _patched(self, act: Callable[[], Any]) -> Any:
        clock = self._selector.monotonic
        with patch("time.monotonic", clock):
            with patch("lovagetray._clock.monotonic", clock):
                return act()


def run_in_virtual_time(work: Callable[..., Awaitable[T]], *arguments: Any) -> T:
    """Run `work` to its end in virtual time and return its result."""
    kernel = VirtualKernel()
    try:
        return kernel.run(work, *arguments)
    finally:
        kernel.close()


def silence_logs() -> None:
    """Drop log events of the code under test; violations are checked directly."""
    configure(wrapper_class=make_filtering_bound_logger(CRITICAL))
