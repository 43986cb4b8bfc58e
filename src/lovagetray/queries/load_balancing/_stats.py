"""Statistics of replicas and routes, as observed by this instance."""

from dataclasses import dataclass, field
from datetime import timedelta

from lovagetray._routing_types import ReplicaLoad

# Weight of the newest observation; the average covers about ten observations.
_SMOOTHING = 0.15
# Step size of the quantile estimate, as a share of the current estimate.
_QUANTILE_STEP = 0.05
_MIN_BACKOFF = timedelta(milliseconds=250)
_MAX_BACKOFF = timedelta(seconds=2)
# Observations of a replica decay with this half-life while it gets no requests, so that
# a recovered replica is tried again. Replicas stay slow for 8 s, and each request to a
# slow replica costs a hedge.
_LATENCY_HALF_LIFE = timedelta(seconds=4)
_FAILURE_HALF_LIFE = timedelta(seconds=1)
# A load report describes the moment of the reply; its weight falls linearly to zero
# within this time.
_LOAD_REPORT_LIFETIME = timedelta(milliseconds=300)
# Share of the difference by which the longest time left of callers approaches a shorter
# one, so that it follows callers that wait for less time within some hundred requests.
_TIME_LEFT_STEP = 0.002
# The same for the longest latency of recent answers; it halves within 70 shorter ones.
_LONGEST_STEP = 0.01


@dataclass(slots=True)
class ReplicaStats:
    """Statistics of one replica from the exchanges of this instance.

    Parameters
    ----------
    relative_latency
        Latency relative to the mean of the route; 1 is the mean.
    failure_rate
        Recent failure rate of exchanges, from 0 to 1.
    observed_at
        Time of the newest answer or failure.
    in_flight
        Send time of each exchange in flight, oldest first.
    load
        Load report of the newest reply that had one.
    load_at
        Time of that reply.
    backoff_until
        End of the backoff.
    backoff
        Duration of the last backoff; zero after an answer.
    refuses_until
        Until then the replica has asked this instance to send no requests.
    """

    relative_latency: float = 1.0
    failure_rate: float = 0.0
    observed_at: timedelta = timedelta(0)
    in_flight: dict[object, timedelta] = field(default_factory=dict)
    load: ReplicaLoad | None = None
    load_at: timedelta = timedelta(0)
    backoff_until: timedelta = timedelta(0)
    backoff: timedelta = timedelta(0)
    refuses_until: timedelta = timedelta(0)

    def record_success(self, ratio: float, now: timedelta) -> None:
        """Record an answer.

        Parameters
        ----------
        ratio
            Latency divided by the mean of the route; values above 10 count as 10.
        """
        self._decay(now)
        self.relative_latency += _SMOOTHING * (min(ratio, 10.0) - self.relative_latency)
        self.failure_rate -= _SMOOTHING * self.failure_rate
        self.backoff = timedelta(0)
        self.backoff_until = timedelta(0)

    def record_failure(self, now: timedelta) -> None:
        """Record a failure attributed to the replica."""
        self._decay(now)
        self.failure_rate += _SMOOTHING * (1 - self.failure_rate)

    def _decay(self, now: timedelta) -> None:
        """Decay the statistics to the current time."""
        self.relative_latency, self.failure_rate = self.decayed(now)
        self.observed_at = now

    def decayed(self, now: timedelta) -> tuple[float, float]:
        """Return the relative latency and the failure rate, decayed with their age."""
        age = now - self.observed_at
        relative_latency = 1 + (self.relative_latency - 1) * 0.5 ** (
            age / _LATENCY_HALF_LIFE
        )
        failure_rate = self.failure_rate
        if failure_rate:
            failure_rate *= 0.5 ** (age / _FAILURE_HALF_LIFE)
        return relative_latency, failure_rate

    def record_connect_failed(self, now: timedelta) -> None:
        """Record a failed connection attempt; start exponential backoff."""
        self.record_failure(now)
        self.backoff = min(max(_MIN_BACKOFF, 2 * self.backoff), _MAX_BACKOFF)
        self.backoff_until = now + self.backoff

    def record_refusal(self, refuses_for: timedelta, now: timedelta) -> None:
        """Record that the replica wants no requests for a time."""
        self.refuses_until = max(self.refuses_until, now + refuses_for)

    def record_load(self, load: ReplicaLoad, now: timedelta) -> None:
        """Record the load report of a reply."""
        self.load = load
        self.load_at = now

    def oldest_age(self, now: timedelta) -> timedelta:
        """Return how long the oldest exchange has been in flight."""
        for sent_at in self.in_flight.values():
            return now - sent_at
        return timedelta(0)

    def load_per_slot(self, slots: int, now: timedelta) -> float:
        """Return the expected number of running and queued requests for each slot."""
        reported = 0.0
        if self.load is not None:
            weight = max(0.0, 1 - (now - self.load_at) / _LOAD_REPORT_LIFETIME)
            reported = weight * (self.load.running + self.load.waiting)
        return max(float(len(self.in_flight)), reported) / max(1, slots)


@dataclass(slots=True)
class RouteStats:
    """Latency of the answers of single replicas on a route, and times of its callers.

    Parameters
    ----------
    mean, upper_quantile
        Mean and upper quantile in seconds.
    longest
        Longest latency of recent answers in seconds.
    longest_time_left
        Longest time that callers have left when a request arrives: that of a first
        attempt on an open connection.
    """

    mean: float
    upper_quantile: float
    longest: float = 0.0
    longest_time_left: timedelta = timedelta(0)

    def time_spent(self, time_left: timedelta) -> timedelta:
        """Return the time that a caller has spent on a request before it arrived.

        Callers state the time that they have left of the same timeout. The difference
        went into a new connection, a refusal or another attempt.

        Parameters
        ----------
        time_left
            Time that the caller has left.
        """
        self.longest_time_left -= _TIME_LEFT_STEP * (self.longest_time_left - time_left)
        self.longest_time_left = max(self.longest_time_left, time_left)
        return self.longest_time_left - time_left

    def observe(self, seconds: float, quantile: float) -> None:
        """Update the mean, the quantile and the longest latency with one latency.

        Parameters
        ----------
        seconds
            Latency in seconds.
        quantile
            Quantile that `upper_quantile` estimates, from 0 to 1.
        """
        self.mean += 0.05 * (min(seconds, 10 * self.mean) - self.mean)
        self.longest -= _LONGEST_STEP * (self.longest - seconds)
        self.longest = max(self.longest, seconds)
        step = _QUANTILE_STEP * self.upper_quantile
        if seconds > self.upper_quantile:
            self.upper_quantile += step * quantile
        else:
            self.upper_quantile -= step * (1 - quantile)
