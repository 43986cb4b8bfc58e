"""Load balancing: selects the replica of a shard for a sub-request."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random

from lovagetray.queries.search._replica_stats_store import ReplicaView
from lovagetray.queries.search._settings import (
    LeastInFlight,
    LowestCost,
    Policy,
    RandomReplica,
)

# Costs within this factor differ by noise only; if the lower one always won, all
# instances would send to the same replica.
_NEAR_TIE_FACTOR = 1.25
# Probability that the replica with the lower load report wins a near-tie. Reports may
# be frozen, so the other replica keeps most of its share.
_LOWER_REPORT_PROBABILITY = 0.6
# Tolerance when all replicas are in backoff, as may happen under overload; using only
# the replica with the shortest remaining backoff would send all traffic to it.
_BACKOFF_TOLERANCE = timedelta(milliseconds=250)
# Cost of an error in multiples of the latency. An error costs a round trip and a retry,
# which is more than a slow reply costs.
_ERROR_PENALTY = 10


def choose_replica(
    policy: Policy, views: Sequence[ReplicaView], random: Random
) -> ReplicaView | None:
    """Select a replica by policy.

    Replicas in backoff are used only if all of them are, and then only those whose
    remaining backoff is within 250 ms of the shortest.

    Parameters
    ----------
    policy
        The setting ``search.policy``.
    views
        Candidate replicas.
    random
        Breaks ties and near-ties.

    Returns
    -------
    ReplicaView or None
        None if there are no candidates.
    """
    if not views:
        return None
    max_backoff = min(view.backoff_left for view in views)
    if max_backoff:
        max_backoff += _BACKOFF_TOLERANCE
    usable = [view for view in views if view.backoff_left <= max_backoff]
    match policy:
        case RandomReplica():
            return random.choice(usable)
        case LeastInFlight():
            least = min(view.in_flight for view in usable)
            return random.choice([view for view in usable if view.in_flight == least])
        case LowestCost():
            return _lowest_cost(usable, random)


def _cost(view: ReplicaView) -> timedelta:
    """Return the expected time to a reply plus a penalty for recent errors."""
    expected_wait = view.latency * (view.in_flight / view.slots)
    penalty = view.latency * (_ERROR_PENALTY * view.error_rate)
    return view.latency + expected_wait + view.queue_wait + view.connect_cost + penalty


def _lowest_cost(usable: list[ReplicaView], random: Random) -> ReplicaView:
    random.shuffle(usable)
    ranked = sorted(usable, key=_cost)
    best = ranked[0]
    if len(ranked) == 1 or _cost(ranked[1]) > _cost(best) * _NEAR_TIE_FACTOR:
        return best
    second = ranked[1]
    if best.reported_load == second.reported_load:
        return random.choice((best, second))
    lower, higher = sorted((best, second), key=lambda view: view.reported_load)
    return lower if random.random() < _LOWER_REPORT_PROBABILITY else higher
