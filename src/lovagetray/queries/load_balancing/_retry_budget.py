"""Retry budget: limits retries and hedges across all instances."""

from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta

from lovagetray._clock import Clock

# Factor on each instance's part of the budget. Instances learn the number of instances
# with a delay; without the factor, their parts could exceed the total for a while.
_SAFETY_FACTOR = 0.8
# Share of the budget that only retries may use.
_RETRY_RESERVE = 0.15


class _Window:
    """Events within a sliding window of `length`."""

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
    """Budget of retries and hedges for each service within a sliding window.

    Within any window, all instances together may send a service `ratio` times its
    requests plus `fixed` further attempts. Each instance may use `ratio` times its own
    requests and an equal part of `fixed`.

    Parameters
    ----------
    ratio
        Further attempts allowed for each request.
    fixed
        Further attempts allowed in each window irrespective of the number of requests.
    window
        Length of the sliding window.
    clock
        Source of monotonic time.
    instances
        Returns the number of instances that share `fixed`.
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
        self._attempts: dict[str, _Window] = {}

    def record_requests(self, services: Iterable[str]) -> None:
        """Count one request for each of the services."""
        now = self._clock.monotonic_time()
        for service in services:
            window = self._requests.get(service)
            if window is None:
                window = self._requests[service] = _Window(self._window)
            window.add(now)
            window.count(now)

    def _remaining(self, service: str, share: float) -> float:
        now = self._clock.monotonic_time()
        requests = self._requests.get(service)
        attempts = self._attempts.get(service)
        counted = 0 if requests is None else requests.count(now)
        used = 0 if attempts is None else attempts.count(now)
        allowed = self._ratio * counted + self._fixed / max(1, self._instances())
        return allowed * _SAFETY_FACTOR * share - used

    def spend(self, service: str, hedge: bool = False) -> bool:
        """Spend one further attempt and return whether the budget allowed it.

        Parameters
        ----------
        service
            Service that the attempt is for.
        hedge
            Whether the first attempt is still in flight. 15% of the budget is reserved
            for retries, whose earlier attempts have failed.
        """
        reserved = _RETRY_RESERVE if hedge else 0.0
        if self._remaining(service, 1 - reserved) < 1:
            return False
        window = self._attempts.get(service)
        if window is None:
            window = self._attempts[service] = _Window(self._window)
        window.add(self._clock.monotonic_time())
        return True
