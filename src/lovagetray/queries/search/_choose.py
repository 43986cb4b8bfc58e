"""Which replica of a shard gets a sub-request."""

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

# Costs this close are noise; always taking the lower one would send every instance to
# the same replica.
_NEAR = 1.25
# How often the lower load report decides a near-tie. Reports may be frozen, so the
# other replica keeps most of its share.
_REPORT_WEIGHT = 0.6
# Under overload all replicas are avoided now and then; taking only the one with the
# shortest time left would send everything to it.
_ABOUT = timedelta(milliseconds=250)
# An error costs a round trip and a retry, more than a slow reply does.
_ERROR_PENALTY = 10


def choose(
    policy: Policy, views: Sequence[ReplicaView], random: Random
) -> ReplicaView | None:
    """Return the replica to use, or None if there is none.

    Replicas that are avoided are chosen only if all are, and then only those that are
    avoided for about the shortest time.
    """
    if not views:
        return None
    longest = min(view.avoided for view in views)
    if longest:
        longest += _ABOUT
    usable = [view for view in views if view.avoided <= longest]
    match policy:
        case RandomReplica():
            return random.choice(usable)
        case LeastInFlight():
            least = min(view.in_flight for view in usable)
            return random.choice([view for view in usable if view.in_flight == least])
        case LowestCost():
            return _lowest_cost(usable, random)


def _cost(view: ReplicaView) -> timedelta:
    """Return the expected time to a reply, with a penalty for recent errors."""
    waiting = view.latency * (view.in_flight / view.slots)
    penalty = view.latency * (_ERROR_PENALTY * view.errors)
    return view.latency + waiting + view.queue_wait + view.connect_cost + penalty


def _lowest_cost(usable: list[ReplicaView], random: Random) -> ReplicaView:
    random.shuffle(usable)
    ranked = sorted(usable, key=_cost)
    best = ranked[0]
    if len(ranked) == 1 or _cost(ranked[1]) > _cost(best) * _NEAR:
        return best
    second = ranked[1]
    if best.reported == second.reported:
        return random.choice((best, second))
    lower, higher = sorted((best, second), key=lambda view: view.reported)
    return lower if random.random() < _REPORT_WEIGHT else higher
