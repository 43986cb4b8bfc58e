"""How many slots of a replica to use, and how long its exchanges take."""

from datetime import timedelta

_GROW_EACH = timedelta(seconds=1)
_NO_TIME = timedelta(0)
# A smaller limit would mistake ordinary scheduling delays for silence.
_LEAST_FIRST_BYTE = timedelta(milliseconds=50)
# Of the mean and two mean deviations; exceeded by less than 1% of exponential times.
_LATENCY_MULTIPLE = 2
# Weight of the newest sample; the mean follows a change within about ten samples.
_WEIGHT = 0.1


class SlotThrottle:
    """Lowers the slots in use after a cold start and after shed replies."""

    def __init__(self) -> None:
        self._shed_slots: int | None = None
        self._shed_at = _NO_TIME
        self._halved_at = _NO_TIME

    def slots(
        self,
        allowed: int,
        ready_at: timedelta | None,
        ramp: timedelta,
        now: timedelta,
    ) -> int:
        """Return how many of the allowed slots to use now; at least 1 of them.

        Parameters
        ----------
        ready_at
            When the target became ready; None if that was long ago.
        ramp
            Time over which a target that started cold gets all of its slots.
        """
        if allowed <= 0:
            return 0
        slots = allowed
        if ready_at is not None and now - ready_at < ramp:
            slots = int(allowed * ((now - ready_at) / ramp))
        if self._shed_slots is not None:
            grown = self._shed_slots + (now - self._shed_at) // _GROW_EACH
            if grown >= allowed:
                self._shed_slots = None
            slots = min(slots, grown)
        return max(1, slots)

    def shed(self, slots: int, started_at: timedelta, now: timedelta) -> None:
        """Halve the slots after a shed reply to work that started at `started_at`.

        Replies to work that started before the last halving do not halve again: they
        report the same overload.
        """
        if self._shed_slots is None or started_at >= self._halved_at:
            self._shed_slots = max(1, slots // 2)
            self._halved_at = now
        else:
            self._shed_slots = min(self._shed_slots, max(1, slots))
        self._shed_at = now


class Latency:
    """Recent exchange times of a replica: mean and mean deviation."""

    def __init__(self) -> None:
        self._mean: timedelta | None = None
        self._deviation = _NO_TIME

    @property
    def mean(self) -> timedelta:
        """The recent mean; zero before the first exchange."""
        return self._mean or _NO_TIME

    def add(self, taken: timedelta) -> None:
        """Take in the time of one exchange."""
        if self._mean is None:
            self._mean, self._deviation = taken, taken / 2
            return
        difference = taken - self._mean
        self._mean += difference * _WEIGHT
        self._deviation += (abs(difference) - self._deviation) * _WEIGHT

    def first_byte_limit(
        self, left: timedelta, connect_cost: timedelta
    ) -> timedelta | None:
        """Return how long to wait for a first byte before a fresh connection is tried.

        None if a second attempt could not end in the time left: then an early limit
        would only cut off replies that are still coming.
        """
        if self._mean is None:
            return left / 2
        expected = self._mean + 2 * self._deviation
        latest = left - connect_cost - self._mean - self._deviation
        if latest < expected:
            return None
        return min(latest, max(_LEAST_FIRST_BYTE, _LATENCY_MULTIPLE * expected))
