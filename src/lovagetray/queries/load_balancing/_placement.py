"""Ways of placing requests, and the choice of a replica by expected completion.

A replica's expected completion time is its slowness times the cost of the request and
its share of the remaining work. It is noisy in proportion to the age of what is known,
so that instances that read the same load do not all choose the same replica.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import NamedTuple

from lovagetray._gateway_settings import Placement
from lovagetray._routing_types import ReplicaNotice, ReplicaReply, Route
from lovagetray._telemetry import ESTIMATE_RELIANCE, PREDICTION_RATIO
from lovagetray.queries.load_balancing._choose import (
    AVAILABILITY_PENALTY,
    COST_NOISE,
    FAILURE_PENALTY,
    REMOTE_PENALTY,
    STALL_PENALTY,
    WARM_UP_PENALTY,
)
from lovagetray.queries.load_balancing._cost import CostEstimator, ExpectedWork
from lovagetray.queries.load_balancing._remaining_work import ReplicaWork, SentWork
from lovagetray.queries.load_balancing._stats import ReplicaStats
from lovagetray.targets import Availability

# Further noise for information of this age in seconds or older. Older reports are
# ignored, so more noise would only hide the speed of the replica.
_MAX_AGE_NOISE = 0.1
_OLD_INFORMATION = 0.3


# A replica without a queue that is not slower than this need not be compared.
_USUAL_SLOWNESS = 1.5


class Room(NamedTuple):
    """What the best replica of a service offers a new request; times in seconds.

    Parameters
    ----------
    wait
        Time until the request would start to run.
    run
        Time that it would then take.
    """

    wait: float
    run: float


@dataclass(frozen=True, slots=True)
class LatencyPlacement:
    """Placement by the latency of replicas relative to the mean of the route."""


@dataclass(frozen=True, slots=True)
class ExpectedCostPlacement:
    """Placement by the expected cost of requests and the work of replicas.

    Parameters
    ----------
    costs
        Expected costs.
    work
        Work and speed of the replicas by name.
    """

    costs: CostEstimator = field(default_factory=CostEstimator)
    work: dict[str, ReplicaWork] = field(default_factory=dict)

    def work_of(self, replica: str) -> ReplicaWork:
        """Return the work of a replica."""
        work = self.work.get(replica)
        if work is None:
            work = self.work[replica] = ReplicaWork()
        return work

    def record_reply(
        self,
        route: Route,
        replica: str,
        reply: ReplicaReply,
        seconds: float,
        now: timedelta,
        sent: SentWork | None,
        quantile: float,
    ) -> None:
        """Learn the load of a replica, and speed and cost from a success.

        Parameters
        ----------
        seconds
            Latency in seconds.
        sent
            What was expected of the exchange.
        quantile
            Quantile of the latency after which a hedge is sent.
        """
        work, at = self.work_of(replica), now.total_seconds()
        if reply.load is not None:
            work.record_load(reply.load, at)
        if sent is None or not reply.succeeded:
            return
        expected = sent.expected
        relative = seconds / sent.predicted
        work.record_response(relative, at)
        costs = self.costs.current_costs(route)
        if costs is None:
            return
        costs.observe_ratio(seconds / expected.cost, quantile)
        if self.costs.is_needed(costs, expected.service):
            # The speed of the replica is not taken out: a cost that is too high would
            # be taken for a fast replica and never corrected. Costs are those of
            # replicas of the usual mixture of speeds.
            self.costs.observe(costs, expected, relative * expected.cost, at)
            PREDICTION_RATIO.observe(relative / sent.slowness)
            ESTIMATE_RELIANCE.set(self.costs.reliance)


PlacementMode = LatencyPlacement | ExpectedCostPlacement


def placement_mode(placement: Placement) -> PlacementMode:
    """Return the way of placing requests that the settings name."""
    match placement:
        case Placement.LATENCY:
            return LatencyPlacement()
        case Placement.EXPECTED_COST:
            return ExpectedCostPlacement()


def choose_by_completion(
    candidates: Sequence[ReplicaNotice],
    tried: Collection[str],
    placement: ExpectedCostPlacement,
    stats_of: Callable[[str], ReplicaStats],
    expected: ExpectedWork,
    data_centre: str,
    now: timedelta,
    random: Random,
    availability_of: Callable[[ReplicaNotice, timedelta], Availability],
) -> ReplicaNotice | None:
    """Return the replica with the earliest expected completion, or None.

    Parameters
    ----------
    candidates
        Replicas that accept requests.
    tried
        Replicas that the request was already sent to; they are not chosen again.
    placement
        Work of the replicas.
    stats_of
        Returns the failures and the backoff of a replica.
    expected
        Expected cost of the request.
    data_centre
        Data centre of this instance.
    now
        Current time on the monotonic clock.
    random
        Adds noise, so that instances do not all choose the same replica.
    availability_of
        Returns how an exchange with a replica could start.
    """
    best: ReplicaNotice | None = None
    best_score = 0.0
    seconds = now.total_seconds()
    for notice in candidates:
        replica = notice.replica
        if replica in tried:
            continue
        stats = stats_of(replica)
        if now < stats.refuses_until:
            continue
        work = placement.work_of(replica)
        work.slots = notice.slots or 1
        score = completion_score(work, expected, seconds)
        score *= 1 + noise(seconds - work.reported_at) * random.random()
        if work.in_flight and work.is_overdue(seconds):
            score += STALL_PENALTY
        score += _penalty(notice, stats, data_centre, now)
        # The availability only adds to the score, so it is not needed for a higher one.
        if best is None or score < best_score:
            score += AVAILABILITY_PENALTY[availability_of(notice, now)]
            if best is None or score < best_score:
                best, best_score = notice, score
    return best


def completion_score(work: ReplicaWork, expected: ExpectedWork, now: float) -> float:
    """Return the expected completion time in multiples of the cost of the request."""
    wait = work.expected_wait(now, expected.flat)
    return work.slowness_at(now) * (1 + wait / expected.cost)


def best_room(
    candidates: Sequence[ReplicaNotice],
    placement: ExpectedCostPlacement,
    stats_of: Callable[[str], ReplicaStats],
    expected: ExpectedWork,
    now: timedelta,
) -> Room:
    """Return the room at the replica that would complete a request first.

    Without any candidate there is room: the dispatch says why it cannot be used.
    """
    best = None
    seconds = now.total_seconds()
    for notice in candidates:
        stats = stats_of(notice.replica)
        if now < stats.refuses_until or now < stats.backoff_until:
            continue
        work = placement.work_of(notice.replica)
        work.slots = notice.slots or 1
        slowness = work.slowness_at(seconds)
        wait = slowness * work.wait(seconds, expected.flat)
        if wait == 0.0 and slowness < _USUAL_SLOWNESS:
            return Room(0.0, slowness * expected.cost)
        room = Room(wait, slowness * expected.cost)
        if best is None or sum(room) < sum(best):
            best = room
    return Room(0.0, expected.cost) if best is None else best


def noise(age: float) -> float:
    """Return the relative noise for information of an age in seconds."""
    return COST_NOISE + _MAX_AGE_NOISE * min(1.0, age / _OLD_INFORMATION)


def _penalty(
    notice: ReplicaNotice, stats: ReplicaStats, data_centre: str, now: timedelta
) -> float:
    """Return what failures, backoff, warm-up and distance add, in costs."""
    penalty = 0.0
    if stats.failure_rate:
        penalty = FAILURE_PENALTY * stats.decayed(now)[1]
        if now < stats.backoff_until:
            penalty += 2 * STALL_PENALTY
    if notice.warm_up:
        penalty += WARM_UP_PENALTY
    if notice.data_centre != data_centre:
        penalty += REMOTE_PENALTY
    return penalty
