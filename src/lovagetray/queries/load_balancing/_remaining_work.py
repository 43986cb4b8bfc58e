"""Work that a replica still has to do: own requests, and those of other instances.

Times are seconds on the monotonic clock: a choice evaluates three replicas for each of
54 shards, and arithmetic on floats takes a quarter of that on durations.
"""

from dataclasses import dataclass, field
from math import sqrt
from typing import NamedTuple

from lovagetray._routing_types import ReplicaLoad
from lovagetray.queries.load_balancing._cost import ExpectedWork

# A request that has run for its expected cost has this share of it still to run: costs
# vary, and a request that is late is likely to be an expensive one.
_MIN_REMAINING = 0.25
# A running request of another instance has done half of its work on average.
_RUNNING_SHARE = 0.5
# A load report says less of the present the more requests have ended since. It loses
# half of its weight in this many mean costs, and at least in the time given.
_REPORT_COSTS = 6.0
_MIN_REPORT_HALF_LIFE = 0.03
# Weight of the newest report in the usual load of the other instances.
_USUAL_STEP = 0.1
# The usual load counts as nothing after this time without a report, in seconds.
_USUAL_LIFETIME = 3.0
_SMOOTHING = 0.15
_MAX_RATIO = 10.0
# A slow replica recovers within 8 s. It must be tried again by then.
_SLOWNESS_HALF_LIFE = 4.0


class SentWork(NamedTuple):
    """A request in flight.

    Parameters
    ----------
    predicted
        Latency that was expected of a replica of usual speed, with the wait.
    slowness
        Slowness of the replica when the request was sent.
    """

    expected: ExpectedWork
    sent_at: float
    predicted: float
    slowness: float
    overdue_at: float


@dataclass(slots=True)
class ReplicaWork:
    """Work and speed of one replica.

    Parameters
    ----------
    slowness
        Time that the replica takes for a request divided by its expected cost.
    observed_at
        Time of the newest response.
    in_flight
        Own requests in flight.
    usual
        Usual work of the other instances, in running requests.
    reported
        Work of the other instances in the newest report, in running requests.
    reported_at
        Time of that report.
    slots
        Number of requests that the replica runs concurrently.
    """

    slowness: float = 1.0
    observed_at: float = 0.0
    in_flight: dict[object, SentWork] = field(default_factory=dict)
    usual: float = 0.0
    reported: float = 0.0
    reported_at: float = 0.0
    slots: int = 1

    def slowness_at(self, now: float) -> float:
        """Return the slowness; it returns to 1 without responses."""
        age = now - self.observed_at
        if age < 0.1:
            return self.slowness
        return 1 + (self.slowness - 1) * float(0.5 ** (age / _SLOWNESS_HALF_LIFE))

    def others_at(self, now: float, cost: float) -> float:
        """Return the expected work of other instances in running requests.

        Parameters
        ----------
        cost
            Mean cost of requests at the service in seconds.
        """
        age = now - self.reported_at
        if age > _USUAL_LIFETIME:
            return 0.0
        half_life = max(_MIN_REPORT_HALF_LIFE, _REPORT_COSTS * cost)
        weight = 0.5 ** (age / half_life)
        usual = self.usual * (1 - age / _USUAL_LIFETIME)
        return float(usual + (self.reported - usual) * weight)

    def remaining(self, now: float, cost: float) -> float:
        """Return the remaining work in seconds of a replica of usual speed.

        Parameters
        ----------
        cost
            Mean cost of requests at the service in seconds.
        """
        work = 0.0
        if self.reported_at:
            work = self.others_at(now, cost) * cost
        for sent in self.in_flight.values():
            own_cost = sent.expected.cost
            left = own_cost - (now - sent.sent_at) / self.slowness
            work += max(left, own_cost * _MIN_REMAINING)
        return work

    def expected_wait(self, now: float, cost: float) -> float:
        """Return the mean time until a new request runs, at the usual speed.

        A replica with free slots has no wait, but not all of its requests are known:
        with one known request of four slots, the wait counts half.
        """
        others = self.others_at(now, cost) if self.reported_at else 0.0
        requests = len(self.in_flight) + others / _RUNNING_SHARE
        busy = sqrt(min(1.0, requests / self.slots))
        return busy * self.remaining(now, cost) / self.slots

    def wait(self, now: float, cost: float) -> float:
        """Return the time in seconds until a new request runs, at the usual speed."""
        others = self.others_at(now, cost) if self.reported_at else 0.0
        requests = len(self.in_flight) + others / _RUNNING_SHARE
        if requests < self.slots:
            return 0.0
        return self.remaining(now, cost) / self.slots

    def is_overdue(self, now: float) -> bool:
        """Return whether a request takes longer than it is expected to."""
        for sent in self.in_flight.values():
            if now > sent.overdue_at:
                return True
        return False

    def record_sent(self, token: object, expected: ExpectedWork, now: float) -> None:
        """Record the start of an exchange, identified by `token`."""
        predicted = expected.cost + self.wait(now, expected.flat)
        slowness = self.slowness_at(now)
        overdue_at = now + max(expected.overdue_after, slowness * predicted)
        self.in_flight[token] = SentWork(expected, now, predicted, slowness, overdue_at)

    def record_response(self, ratio: float, now: float) -> None:
        """Record the latency of a response, divided by that of a usual replica."""
        self.slowness = self.slowness_at(now)
        self.observed_at = now
        self.slowness += _SMOOTHING * (min(ratio, _MAX_RATIO) - self.slowness)

    def record_load(self, load: ReplicaLoad, now: float) -> None:
        """Record a load report, from which own requests are subtracted."""
        own = len(self.in_flight)
        running = max(0, load.running - own)
        waiting = max(0, load.waiting - max(0, own - load.running))
        self.reported = _RUNNING_SHARE * running + waiting
        self.usual += _USUAL_STEP * (self.reported - self.usual)
        self.reported_at = now
