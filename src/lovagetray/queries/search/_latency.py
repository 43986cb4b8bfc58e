"""Recent latency and load-shedding rate of one service."""

from collections import deque
from datetime import timedelta
from math import ceil

_MAX_SAMPLES = 500
_MIN_SAMPLES = 20
# Sorting 500 samples after every reply would cost more than the rest of the merge.
_SAMPLES_PER_SORT = 25
_SHED_HALF_LIFE = timedelta(seconds=1)
# Share of shed requests at which hedging stops; a single replica that sheds load must
# not stop the hedges of a whole service.
_SHEDDING_SHARE = 0.05
_MIN_SHEDS = 2.0


class ServiceLatency:
    """Recent latencies of a service and the share of its requests that were shed."""

    def __init__(self) -> None:
        self._samples: deque[timedelta] = deque(maxlen=_MAX_SAMPLES)
        self._sorted: list[timedelta] = []
        self._unsorted = 0
        self._outcomes = 0.0
        self._sheds = 0.0
        self._counted_at = timedelta(0)

    def add(self, latency: timedelta) -> None:
        """Add the latency of a reply, or the age of an attempt that was given up."""
        self._samples.append(latency)
        self._unsorted += 1

    def percentile(self, percent: float) -> timedelta | None:
        """Return a percentile of recent latency, or None with fewer than 20 samples."""
        if len(self._samples) < _MIN_SAMPLES:
            return None
        if not self._sorted or self._unsorted >= _SAMPLES_PER_SORT:
            self._sorted = sorted(self._samples)
            self._unsorted = 0
        index = ceil(len(self._sorted) * percent / 100) - 1
        return self._sorted[max(0, index)]

    def count_outcome(self, shed: bool, now: timedelta) -> None:
        """Count an outcome for the share of shed requests."""
        self._decay(now)
        self._outcomes += 1
        self._sheds += shed

    def is_shedding(self, now: timedelta) -> bool:
        """Return whether replicas of the service are shedding load."""
        self._decay(now)
        share = self._sheds / max(1.0, self._outcomes)
        return self._sheds >= _MIN_SHEDS and share >= _SHEDDING_SHARE

    def _decay(self, now: timedelta) -> None:
        factor = 0.5 ** ((now - self._counted_at) / _SHED_HALF_LIFE)
        self._outcomes *= factor
        self._sheds *= factor
        self._counted_at = now
