"""Throttling of the slots in use at a replica, and averages of its exchange times."""

from datetime import timedelta

_REGROWTH_INTERVAL = timedelta(seconds=1)
_ZERO = timedelta(0)
# A shorter timeout would mistake ordinary scheduling delays for a silent connection.
_MIN_FIRST_BYTE_TIMEOUT = timedelta(milliseconds=50)
# Multiple of the mean plus two mean deviations; less than 1% of exponentially
# distributed times exceed it.
_LATENCY_MULTIPLE = 2
# Weight of the newest sample in the moving averages; they follow a change within about
# ten samples.
_SAMPLE_WEIGHT = 0.1


class SlotThrottle:
    """Throttle of the slots in use after a cold start and after load shedding."""

    def __init__(self) -> None:
        self._shed_slots: int | None = None
        self._shed_at = _ZERO
        self._halved_at = _ZERO

    def slots(
        self,
        allowed: int,
        ready_at: timedelta | None,
        ramp: timedelta,
        now: timedelta,
    ) -> int:
        """Return how many of the allowed slots to use now; at least 1 if any.

        Parameters
        ----------
        allowed
            Slots that the quota allows.
        ready_at
            Monotonic time at which the target became ready; None if that was long ago.
        ramp
            Time after a cold start over which the slots rise to their full number.
        """
        if allowed <= 0:
            return 0
        slots = allowed
        if ready_at is not None and now - ready_at < ramp:
            slots = int(allowed * ((now - ready_at) / ramp))
        if self._shed_slots is not None:
            regrown = self._shed_slots + (now - self._shed_at) // _REGROWTH_INTERVAL
            if regrown >= allowed:
                self._shed_slots = None
            slots = min(slots, regrown)
        return max(1, slots)

    def shed(self, slots: int, started_at: timedelta, now: timedelta) -> None:
        """Halve the slots after a replica shed a request that started at `started_at`.

        A shed request that started before the last halving does not halve them again:
        it reports the same overload.
        """
        if self._shed_slots is None or started_at >= self._halved_at:
            self._shed_slots = max(1, slots // 2)
            self._halved_at = now
        else:
            self._shed_slots = min(self._shed_slots, max(1, slots))
        self._shed_at = now


class Latency:
    """Moving averages of a replica's exchange times: mean and mean deviation."""

    def __init__(self) -> None:
        self._mean: timedelta | None = None
        self._deviation = _ZERO

    @property
    def mean(self) -> timedelta:
        """The moving average; zero before the first exchange."""
        return self._mean or _ZERO

    def add(self, duration: timedelta) -> None:
        """Add the duration of one exchange."""
        if self._mean is None:
            self._mean, self._deviation = duration, duration / 2
            return
        difference = duration - self._mean
        self._mean += difference * _SAMPLE_WEIGHT
        self._deviation += (abs(difference) - self._deviation) * _SAMPLE_WEIGHT

    def first_byte_timeout(
        self, time_left: timedelta, connect_cost: timedelta
    ) -> timedelta | None:
        """Return how long to wait for a first byte before a new connection is tried.

        Returns
        -------
        timedelta or None
            None if a second attempt could not finish in the time left: a timeout would
            then only cut off late replies.
        """
        if self._mean is None:
            return time_left / 2
        expected = self._mean + 2 * self._deviation
        latest = time_left - connect_cost - self._mean - self._deviation
        if latest < expected:
            return None
        return min(latest, max(_MIN_FIRST_BYTE_TIMEOUT, _LATENCY_MULTIPLE * expected))
