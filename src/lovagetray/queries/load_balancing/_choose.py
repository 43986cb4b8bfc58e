"""Chooses the replica for a request.

Answers the load of replicas that differ in speed, pause for moments, shed and fail: it
prefers those that are expected to answer first and avoids those that do not answer.
"""

from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from random import Random

from lovagetray._routing_types import ReplicaNotice
from lovagetray.queries.load_balancing._stats import ReplicaStats
from lovagetray.targets import Availability

# An exchange that is out for this many times the usual late answer shows a stall.
_STALL_FACTOR = 1.5
_STALL_PENALTY = 20.0
_FAILURE_PENALTY = 8.0
_COLD_PENALTY = 0.6
# Bytes between data centres are paid for, and a round trip there takes up to a quarter
# of a short answer; a replica that is half as slow again is still nearer.
_REMOTE_PENALTY = 0.5
_NOISE = 0.1
# A new connection takes a round trip and the replica's handshake; one beyond the usual
# number may be reset.
_ROOM_PENALTY = {
    Availability.IDLE: 0.0,
    Availability.NEW: 0.3,
    Availability.ABOVE_SOFT_LIMIT: 0.8,
    Availability.FULL: 2.0,
}


def choose_replica(
    candidates: Sequence[ReplicaNotice],
    tried: Collection[str],
    record_of: Callable[[str], ReplicaStats],
    late: timedelta,
    data_centre: str,
    now: timedelta,
    random: Random,
    availability_of: Callable[[ReplicaNotice, timedelta], Availability],
) -> ReplicaNotice | None:
    """Return the replica with the lowest expected latency, or None without one.

    Parameters
    ----------
    candidates
        Replicas that may get work.
    tried
        Replicas that the request was sent to before; they are not chosen again.
    late
        A late answer on the route; longer silence shows a stall.
    availability_of
        Tells how an exchange with a replica could start.
    """
    best: ReplicaNotice | None = None
    best_cost = 0.0
    for notice in candidates:
        if notice.replica in tried:
            continue
        record = record_of(notice.replica)
        cost = replica_cost(notice, record, late, data_centre, now)
        cost *= 1 + _NOISE * random.random()
        cost += _ROOM_PENALTY[availability_of(notice, now)]
        if best is None or cost < best_cost:
            best, best_cost = notice, cost
    return best


def replica_cost(
    notice: ReplicaNotice,
    record: ReplicaStats,
    late: timedelta,
    data_centre: str,
    now: timedelta,
) -> float:
    """Return the expected latency of a replica relative to a mean answer."""
    relative_latency, failure_share = record.expected(now)
    cost = relative_latency * (1 + record.busy(notice.slots, now))
    cost += _FAILURE_PENALTY * failure_share
    if record.oldest(now) > late * _STALL_FACTOR:
        cost += _STALL_PENALTY
    if now < record.backoff_until:
        cost += 2 * _STALL_PENALTY
    if notice.warm_up:
        cost += _COLD_PENALTY
    if notice.data_centre != data_centre:
        cost += _REMOTE_PENALTY
    return cost
