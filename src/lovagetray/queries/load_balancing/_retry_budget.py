"""Limits the second attempts of all instances together."""

from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta

from lovagetray._clock import Clock

# Instances see the fleet with a delay; what one holds too much, this leaves over.
_SAFETY = 0.8
_KEPT_FOR_RETRIES = 0.15


class _Window:
    """Counts events of the last `length`."""

    def __init__(self, length: timedelta) -> None:
        self._length = length
        self._times: deque[timedelta] = deque()

    def add(self, now: timedelta) -> None:
        self._times.append(now)

    def count(self, now: timedelta) -> int:
        while self._times and now - self._times[0] > self._length:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Second attempts by service, within a sliding window.

    In any window a service may get `ratio` times its requests plus `fixed` second
    attempts, over all instances. Each instance uses the ratio of its own requests and
    its part of the fixed number.

    Parameters
    ----------
    instances
        Returns how many instances share the fixed number.
    """

    def __init__(
        self,
        ratio: float,
        fixed: int,
        window: timedelta,
        clock: Clock,
        instances: Callable[[], int],
    ) -> None:
        self._ratio = ratio
        self._fixed = fixed
        self._window = window
        self._clock = clock
        self._instances = instances
        self._requests: dict[str, _Window] = {}
        self._extras: dict[str, _Window] = {}

    def record_requests(self, services: Iterable[str]) -> None:
        """Count a request for each of some services."""
        now = self._clock.monotonic_time()
        for service in services:
            window = self._requests.get(service)
            if window is None:
                window = self._requests[service] = _Window(self._window)
            window.add(now)
            window.count(now)

    def _left(self, service: str, share: float) -> float:
        now = self._clock.monotonic_time()
        requests = self._requests.get(service)
        extras = self._extras.get(service)
        counted = 0 if requests is None else requests.count(now)
        used = 0 if extras is None else extras.count(now)
        allowed = self._ratio * counted + self._fixed / max(1, self._instances())
        return allowed * _SAFETY * share - used

    def spend(self, service: str, hedge: bool = False) -> bool:
        """Use one second attempt; False if none is left.

        Parameters
        ----------
        hedge
            Whether the first attempt may still answer; some attempts are kept for
            requests whose first attempt has failed.
        """
        kept = _KEPT_FOR_RETRIES if hedge else 0.0
        if self._left(service, 1 - kept) < 1:
            return False
        window = self._extras.get(service)
        if window is None:
            window = self._extras[service] = _Window(self._window)
        window.add(self._clock.monotonic_time())
        return True
