"""What this instance has seen of one replica."""

from datetime import timedelta

from lovagetray._types import Announcement, Snapshot

_ZERO = timedelta(0)
_LATENCY_WEIGHT = 0.2
# An attempt that was given up says that a reply takes at least as long.
_GIVEN_UP_WEIGHT = 0.5
# Service times vary so much that an average below this multiple of the service's
# median says nothing; choosing by it would load equal replicas unequally.
_NOISE = 2.5
# Old knowledge fades, so that a replica that has recovered is tried again.
_LATENCY_HALF_LIFE = timedelta(seconds=3)
_ERROR_WEIGHT = 0.3
_ERROR_HALF_LIFE = timedelta(seconds=2)
_FIRST_AVOIDANCE = timedelta(milliseconds=250)
# Longer times left half of the replicas unused for seconds after a service recovered.
_LONGEST_AVOIDANCE = timedelta(seconds=2)
_STRIKES_TO_AVOID = 2
# The owner probes connections that were idle for 5 s, so they may be closed.
_CONNECTION_IDLE = timedelta(seconds=5)


class ReplicaStats:
    """In-flight work, latency, queue wait and errors of one replica."""

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._open: dict[str, timedelta] = {}
        self._latency: timedelta | None = None
        self._latency_at = _ZERO
        self._queue_wait = _ZERO
        self._queue_wait_at = _ZERO
        self._errors = 0.0
        self._errors_at = _ZERO
        self._strikes = 0
        self._avoid_until = _ZERO
        self._used_at: timedelta | None = None
        self._lacks: dict[Snapshot, timedelta] = {}

    @property
    def lacks(self) -> dict[Snapshot, timedelta]:
        """When the target last refused a snapshot that it did not hold."""
        return self._lacks

    @property
    def incarnation(self) -> int:
        """The incarnation of the target that the record is about."""
        return self._incarnation

    @property
    def in_flight(self) -> int:
        """Sub-requests of this instance that wait for an outcome."""
        return len(self._open)

    def sent(self, request_id: str, now: timedelta) -> None:
        """Note a sub-request that was sent."""
        self._open[request_id] = now

    def ended(self, request_id: str, now: timedelta) -> timedelta:
        """Note that a sub-request is no longer open; return how long it was."""
        return now - self._open.pop(request_id, now)

    def replied(self, age: timedelta, queue_wait: timedelta, now: timedelta) -> None:
        """Note a reply and the queue wait that the owner reported with it."""
        self._blend(age, _LATENCY_WEIGHT, now)
        self._queue_wait = queue_wait
        self._queue_wait_at = now
        self._errors = self.errors(now) * (1 - _ERROR_WEIGHT)
        self._errors_at = now
        self._strikes = 0
        self._used_at = now

    def given_up(self, age: timedelta, now: timedelta) -> None:
        """Note that waiting ended without an outcome.

        Two in a row make the instance avoid the replica, because a frozen replica
        would otherwise use up the hedges of the whole instance.
        """
        if self._latency is None or age > self._latency:
            self._blend(age, _GIVEN_UP_WEIGHT, now)
        self._strikes += 1
        if self._strikes >= _STRIKES_TO_AVOID:
            self._back_off(self._strikes - _STRIKES_TO_AVOID, now)

    def failed(self, now: timedelta) -> None:
        """Note an error; each further one makes the replica avoided for longer."""
        self._errors = self.errors(now) * (1 - _ERROR_WEIGHT) + _ERROR_WEIGHT
        self._errors_at = now
        self._back_off(self._strikes, now)
        self._strikes += 1

    def avoid(self, duration: timedelta, now: timedelta) -> None:
        """Prefer other replicas for a time."""
        self._avoid_until = max(self._avoid_until, now + duration)

    def avoided(self, now: timedelta) -> timedelta:
        """Return for how much longer other replicas are preferred.

        A replica that was avoided gets one sub-request at a time until it replies.
        """
        left = max(_ZERO, self._avoid_until - now)
        if self._strikes >= _STRIKES_TO_AVOID and self._open:
            return max(left, _FIRST_AVOIDANCE)
        return left

    def latency(self, typical: timedelta, now: timedelta) -> timedelta:
        """Return the expected latency: the average, or the age of the oldest open."""
        expected = typical
        if self._latency is not None and self._latency > typical * _NOISE:
            weight = _faded(now - self._latency_at, _LATENCY_HALF_LIFE)
            expected += (self._latency - typical) * weight
        for sent_at in self._open.values():
            return max(expected, now - sent_at)
        return expected

    def queue_wait(self, typical: timedelta, now: timedelta) -> timedelta:
        """Return the queue wait that the owner reported, fading with its age.

        Parameters
        ----------
        typical
            Median latency of the service. A queue changes within about this time; a
            fixed 100 ms kept work away from replicas whose queue was long gone.
        """
        if self._queue_wait == _ZERO or typical == _ZERO:
            return _ZERO
        return self._queue_wait * _faded(now - self._queue_wait_at, typical)

    def errors(self, now: timedelta) -> float:
        """Return the recent share of errors, fading with time."""
        if self._errors == 0.0:
            return 0.0
        return self._errors * _faded(now - self._errors_at, _ERROR_HALF_LIFE)

    def connect_cost(self, announcement: Announcement, now: timedelta) -> timedelta:
        """Return what a connection costs if there is probably none open."""
        if self._used_at is not None and now - self._used_at < _CONNECTION_IDLE:
            return _ZERO
        return announcement.connect_cost

    def idle_since(self, instant: timedelta) -> bool:
        """Tell whether the replica was not used since an instant."""
        return not self._open and (self._used_at is None or self._used_at < instant)

    def _blend(self, age: timedelta, weight: float, now: timedelta) -> None:
        if self._latency is None:
            self._latency = age
        else:
            self._latency += (age - self._latency) * weight
        self._latency_at = now

    def _back_off(self, step: int, now: timedelta) -> None:
        duration = _FIRST_AVOIDANCE * 2 ** min(step, 5)
        self.avoid(min(duration, _LONGEST_AVOIDANCE), now)


def _faded(age: timedelta, half_life: timedelta) -> float:
    return float(0.5 ** (age / half_life))
