"""When a sub-request that is out for long is sent to one more replica."""

from collections.abc import Sequence
from datetime import timedelta

from lovagetray.queries.search._replica_stats_store import (
    ReplicaStatsStore,
    ReplicaView,
)
from lovagetray.queries.search._settings import SearchSettings

# Before enough replies were seen, a hedge waits for this share of the time limit.
_UNKNOWN_SHARE = 0.25
# A slow shard raises the percentile of its whole service, so the delay alone would not
# show that its replicas are slow.
_SLOW = 4
_SHORTEST = timedelta(milliseconds=1)


def hedge_delay(
    stats: ReplicaStatsStore, service: str, settings: SearchSettings, budget: timedelta
) -> timedelta:
    """Return how long a sub-request may be out before it is hedged.

    Parameters
    ----------
    budget
        The time limit of the query.
    """
    delay = stats.percentile(service, settings.hedge_percentile)
    if delay is None:
        return max(_SHORTEST, budget * _UNKNOWN_SHARE)
    return max(_SHORTEST, delay)


def fast_enough(
    views: Sequence[ReplicaView], delay: timedelta, typical: timedelta, urgent: bool
) -> list[ReplicaView]:
    """Return the replicas that would probably reply within a hedge delay.

    Parameters
    ----------
    typical
        Median latency of the service, or zero while it is not known.
    urgent
        Whether a replica that is avoided is better than none.

    If there is none, all replicas of the shard are slow and a hedge would only add
    load.
    """
    longest = min(delay, typical * _SLOW) if typical else delay
    return [
        view
        for view in views
        if (urgent or not view.avoided) and view.latency + view.queue_wait <= longest
    ]
