"""What an instance has measured of replicas and of routes."""

from dataclasses import dataclass, field
from datetime import timedelta

from lovagetray._routing_types import ReplicaLoad

# Weight of the newest of about ten observations.
_SMOOTHING = 0.15
# Step of the quantile estimate, as a share of the current estimate.
_QUANTILE_STEP = 0.05
_FIRST_AVOIDANCE = timedelta(milliseconds=250)
_LONGEST_AVOIDANCE = timedelta(seconds=2)
# What is known of a replica that gets no requests loses half of its weight in this
# time, so that one that has recovered is tried again. Replicas are slow for 8 s at a
# time, and each try of a slow one costs a second attempt.
_SLOWNESS_HALF_LIFE = timedelta(seconds=4)
_FAILURE_HALF_LIFE = timedelta(seconds=1)
# A report of load describes the moment of the reply; it fades within this time.
_LOAD_FADES = timedelta(milliseconds=300)


@dataclass(slots=True)
class ReplicaStats:
    """What this instance knows of one replica from its own exchanges.

    Parameters
    ----------
    relative_latency
        Latency relative to the mean of its service's route; 1 is the mean.
    failure_share
        Recent share of exchanges that failed, 0 to 1.
    observed_at
        When the newest answer or failure came.
    in_flight
        When each running exchange was sent, in order.
    """

    relative_latency: float = 1.0
    failure_share: float = 0.0
    observed_at: timedelta = timedelta(0)
    in_flight: dict[object, timedelta] = field(default_factory=dict)
    load: ReplicaLoad | None = None
    load_at: timedelta = timedelta(0)
    backoff_until: timedelta = timedelta(0)
    backoff: timedelta = timedelta(0)

    def succeeded(self, ratio: float, now: timedelta) -> None:
        """Record an answer; `ratio` is its latency over the mean of the route."""
        self._fade(now)
        self.relative_latency += _SMOOTHING * (min(ratio, 10.0) - self.relative_latency)
        self.failure_share -= _SMOOTHING * self.failure_share
        self.backoff = timedelta(0)
        self.backoff_until = timedelta(0)

    def failed(self, now: timedelta) -> None:
        """Record a failure that the replica may be blamed for."""
        self._fade(now)
        self.failure_share += _SMOOTHING * (1 - self.failure_share)

    def _fade(self, now: timedelta) -> None:
        """Let old observations count for less."""
        self.relative_latency, self.failure_share = self.expected(now)
        self.observed_at = now

    def expected(self, now: timedelta) -> tuple[float, float]:
        """Return slowness and share of failures, faded to a moment."""
        age = now - self.observed_at
        relative_latency = 1 + (self.relative_latency - 1) * 0.5 ** (
            age / _SLOWNESS_HALF_LIFE
        )
        return relative_latency, self.failure_share * 0.5 ** (age / _FAILURE_HALF_LIFE)

    def unreachable(self, now: timedelta) -> None:
        """Record that no connection was possible; avoided for a growing time."""
        self.failed(now)
        self.backoff = min(max(_FIRST_AVOIDANCE, 2 * self.backoff), _LONGEST_AVOIDANCE)
        self.backoff_until = now + self.backoff

    def reported(self, load: ReplicaLoad, now: timedelta) -> None:
        """Record the load that came with a reply."""
        self.load = load
        self.load_at = now

    def oldest(self, now: timedelta) -> timedelta:
        """Return how long the oldest running exchange has been out."""
        for sent_at in self.in_flight.values():
            return now - sent_at
        return timedelta(0)

    def busy(self, slots: int, now: timedelta) -> float:
        """Return the expected number of requests ahead, in units of slots."""
        reported = 0.0
        if self.load is not None:
            fresh = max(0.0, 1 - (now - self.load_at) / _LOAD_FADES)
            reported = fresh * (self.load.running + self.load.waiting)
        return max(float(len(self.in_flight)), reported) / max(1, slots)


@dataclass(slots=True)
class RouteStats:
    """Latency of one replica's answers on a route.

    Parameters
    ----------
    mean, late
        Mean and upper quantile, in seconds.
    """

    mean: float
    late: float

    def observe(self, seconds: float, quantile: float) -> None:
        """Record one latency."""
        self.mean += 0.05 * (min(seconds, 10 * self.mean) - self.mean)
        step = _QUANTILE_STEP * self.late
        if seconds > self.late:
            self.late += step * quantile
        else:
            self.late -= step * (1 - quantile)
