"""Statistics of one replica, as observed by this instance."""

from datetime import timedelta

from lovagetray._types import Announcement, Snapshot

_ZERO = timedelta(0)
_LATENCY_WEIGHT = 0.2
# The age of an attempt that was given up is a lower bound of the latency.
_GIVEN_UP_WEIGHT = 0.5
# Service times vary so much that averages below this multiple of the service's median
# are noise; a choice by them would load equal replicas unequally.
_NOISE_FACTOR = 2.5
# Old observations decay, so that a recovered replica is tried again.
_LATENCY_HALF_LIFE = timedelta(seconds=3)
_ERROR_WEIGHT = 0.3
_ERROR_HALF_LIFE = timedelta(seconds=2)
_MIN_BACKOFF = timedelta(milliseconds=250)
# A longer backoff left half of the replicas unused for seconds after a service had
# recovered.
_MAX_BACKOFF = timedelta(seconds=2)
_FAILURES_BEFORE_BACKOFF = 2
# The owner probes connections that were idle for 5 s and may close them.
_MAX_CONNECTION_IDLE = timedelta(seconds=5)


class ReplicaStats:
    """In-flight work, latency, queue wait and errors of one replica."""

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._open: dict[str, timedelta] = {}
        self._latency: timedelta | None = None
        self._latency_at = _ZERO
        self._queue_wait = _ZERO
        self._queue_wait_at = _ZERO
        self._error_rate = 0.0
        self._error_rate_at = _ZERO
        self._consecutive_failures = 0
        self._backoff_until = _ZERO
        self._used_at: timedelta | None = None
        self._refused_snapshots: dict[Snapshot, timedelta] = {}

    @property
    def refused_snapshots(self) -> dict[Snapshot, timedelta]:
        """Time of the last refusal for each snapshot that the target did not have."""
        return self._refused_snapshots

    @property
    def incarnation(self) -> int:
        """Incarnation of the target that the statistics refer to."""
        return self._incarnation

    @property
    def in_flight(self) -> int:
        """Sub-requests of this instance without an outcome."""
        return len(self._open)

    def record_sent(self, request_id: str, now: timedelta) -> None:
        """Record a sent sub-request."""
        self._open[request_id] = now

    def record_ended(self, request_id: str, now: timedelta) -> timedelta:
        """Close a sub-request and return how long it was in flight."""
        return now - self._open.pop(request_id, now)

    def record_reply(
        self, age: timedelta, queue_wait: timedelta, now: timedelta
    ) -> None:
        """Record a reply and the queue wait that the owner reported with it."""
        self._update_latency(age, _LATENCY_WEIGHT, now)
        self._queue_wait = queue_wait
        self._queue_wait_at = now
        self._error_rate = self.error_rate(now) * (1 - _ERROR_WEIGHT)
        self._error_rate_at = now
        self._consecutive_failures = 0
        self._used_at = now

    def record_given_up(self, age: timedelta, now: timedelta) -> None:
        """Record that a sub-request was given up without an outcome.

        The second in a row starts backoff, because a frozen replica would otherwise
        exhaust the hedge budget of the whole instance.
        """
        if self._latency is None or age > self._latency:
            self._update_latency(age, _GIVEN_UP_WEIGHT, now)
        self._consecutive_failures += 1
        if self._consecutive_failures >= _FAILURES_BEFORE_BACKOFF:
            self._back_off_exponentially(
                self._consecutive_failures - _FAILURES_BEFORE_BACKOFF, now
            )

    def record_failure(self, now: timedelta) -> None:
        """Record an error and start backoff, which grows with consecutive errors."""
        self._error_rate = self.error_rate(now) * (1 - _ERROR_WEIGHT) + _ERROR_WEIGHT
        self._error_rate_at = now
        self._back_off_exponentially(self._consecutive_failures, now)
        self._consecutive_failures += 1

    def back_off(self, duration: timedelta, now: timedelta) -> None:
        """Start or extend backoff."""
        self._backoff_until = max(self._backoff_until, now + duration)

    def backoff_left(self, now: timedelta) -> timedelta:
        """Return the remaining backoff.

        After backoff, the replica gets one sub-request at a time until it replies.
        """
        left = max(_ZERO, self._backoff_until - now)
        if self._consecutive_failures >= _FAILURES_BEFORE_BACKOFF and self._open:
            return max(left, _MIN_BACKOFF)
        return left

    def latency(self, median: timedelta, now: timedelta) -> timedelta:
        """Return the expected latency.

        This is the average, decayed to the median of the service, but at least the age
        of the oldest sub-request in flight.

        Parameters
        ----------
        median
            Median latency of the service.
        """
        expected = median
        if self._latency is not None and self._latency > median * _NOISE_FACTOR:
            weight = _decay_factor(now - self._latency_at, _LATENCY_HALF_LIFE)
            expected += (self._latency - median) * weight
        for sent_at in self._open.values():
            return max(expected, now - sent_at)
        return expected

    def queue_wait(self, median: timedelta, now: timedelta) -> timedelta:
        """Return the queue wait that the owner reported, decayed with its age.

        Parameters
        ----------
        median
            Median latency of the service, used as the half-life because a queue
            changes within about this time. A fixed half-life of 100 ms kept requests
            away from replicas whose queue had drained long before.
        """
        if self._queue_wait == _ZERO or median == _ZERO:
            return _ZERO
        return self._queue_wait * _decay_factor(now - self._queue_wait_at, median)

    def error_rate(self, now: timedelta) -> float:
        """Return the recent error rate, decayed with its age."""
        if self._error_rate == 0.0:
            return 0.0
        return self._error_rate * _decay_factor(
            now - self._error_rate_at, _ERROR_HALF_LIFE
        )

    def connect_cost(self, announcement: Announcement, now: timedelta) -> timedelta:
        """Return the cost of opening a connection, or zero if one is probably open."""
        if self._used_at is not None and now - self._used_at < _MAX_CONNECTION_IDLE:
            return _ZERO
        return announcement.connect_cost

    def idle_since(self, instant: timedelta) -> bool:
        """Return whether the replica has been unused since an instant."""
        return not self._open and (self._used_at is None or self._used_at < instant)

    def _update_latency(self, age: timedelta, weight: float, now: timedelta) -> None:
        if self._latency is None:
            self._latency = age
        else:
            self._latency += (age - self._latency) * weight
        self._latency_at = now

    def _back_off_exponentially(self, step: int, now: timedelta) -> None:
        duration = _MIN_BACKOFF * 2 ** min(step, 5)
        self.back_off(min(duration, _MAX_BACKOFF), now)


def _decay_factor(age: timedelta, half_life: timedelta) -> float:
    return float(0.5 ** (age / half_life))
