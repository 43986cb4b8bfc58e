"""Selects the replica for a request by expected latency.

Replicas differ in speed, stall for short times, shed load and fail. The replica with
the lowest expected latency is preferred; stalled and unreachable ones are penalised.
"""

from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from random import Random

from lovagetray._routing_types import ReplicaNotice
from lovagetray.queries.load_balancing._stats import ReplicaStats
from lovagetray.targets import Availability

# A replica counts as stalled if an exchange is in flight for more than this many times
# the hedge delay of the route.
_STALL_FACTOR = 1.5
# Penalties are in multiples of the mean latency of the route.
STALL_PENALTY = 20.0
FAILURE_PENALTY = 8.0
WARM_UP_PENALTY = 0.6
# Traffic between data centres costs money, and a round trip there takes up to a
# quarter of the latency of a short answer. A local replica is therefore preferred
# until its latency is higher by half of the mean.
REMOTE_PENALTY = 0.5
COST_NOISE = 0.1
# A new connection takes a round trip and the replica's handshake; a connection above
# the soft limit may be reset.
AVAILABILITY_PENALTY = {
    Availability.IDLE: 0.0,
    Availability.NEW: 0.3,
    Availability.ABOVE_SOFT_LIMIT: 0.8,
    Availability.FULL: 2.0,
}


def choose_replica(
    candidates: Sequence[ReplicaNotice],
    tried: Collection[str],
    stats_of: Callable[[str], ReplicaStats],
    hedge_delay: timedelta,
    data_centre: str,
    now: timedelta,
    random: Random,
    availability_of: Callable[[ReplicaNotice, timedelta], Availability],
) -> ReplicaNotice | None:
    """Return the replica with the lowest expected latency.

    Parameters
    ----------
    candidates
        Replicas that accept requests.
    tried
        Replicas that the request was already sent to; they are not chosen again.
    stats_of
        Returns the statistics of a replica.
    hedge_delay
        Upper quantile of the latency on the route. A replica counts as stalled after
        1.5 times this without a response.
    data_centre
        Data centre of this instance.
    now
        Current time on the monotonic clock.
    random
        Adds noise to the costs, so that instances do not all choose the same replica.
    availability_of
        Returns whether an exchange with a replica could start on an idle connection,
        a new one, one above the soft limit, or not at once.

    Returns
    -------
    ReplicaNotice or None
        None if all candidates were tried or refuse requests, or there are none.
    """
    best: ReplicaNotice | None = None
    best_cost = 0.0
    for notice in candidates:
        if notice.replica in tried:
            continue
        stats = stats_of(notice.replica)
        if now < stats.refuses_until:
            continue
        cost = replica_cost(notice, stats, hedge_delay, data_centre, now)
        cost *= 1 + COST_NOISE * random.random()
        # The availability only adds to the cost, so it is not needed for a higher one.
        if best is None or cost < best_cost:
            cost += AVAILABILITY_PENALTY[availability_of(notice, now)]
            if best is None or cost < best_cost:
                best, best_cost = notice, cost
    return best


def replica_cost(
    notice: ReplicaNotice,
    stats: ReplicaStats,
    hedge_delay: timedelta,
    data_centre: str,
    now: timedelta,
) -> float:
    """Return the expected latency of a replica relative to the mean of the route."""
    relative_latency, failure_rate = stats.decayed(now)
    cost = relative_latency * (1 + stats.load_per_slot(notice.slots, now))
    cost += FAILURE_PENALTY * failure_rate
    if stats.oldest_age(now) > hedge_delay * _STALL_FACTOR:
        cost += STALL_PENALTY
    if now < stats.backoff_until:
        cost += 2 * STALL_PENALTY
    if notice.warm_up:
        cost += WARM_UP_PENALTY
    if notice.data_centre != data_centre:
        cost += REMOTE_PENALTY
    return cost
