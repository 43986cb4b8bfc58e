"""Hedging: when a slow sub-request is also sent to a second replica."""

from collections.abc import Sequence
from datetime import timedelta

from lovagetray.queries.search._replica_stats_store import (
    ReplicaStatsStore,
    ReplicaView,
)
from lovagetray.queries.search._settings import SearchSettings

# Hedge delay as a share of the time limit while there are too few latency samples.
_DEFAULT_DELAY_SHARE = 0.25
# Replicas above this multiple of the service's median latency count as slow. A slow
# shard raises the latency percentile of its whole service, so comparing with the hedge
# delay alone would not reveal that all of its replicas are slow.
_SLOW_FACTOR = 4
_MIN_DELAY = timedelta(milliseconds=1)


def hedge_delay(
    stats: ReplicaStatsStore,
    service: str,
    settings: SearchSettings,
    time_limit: timedelta,
) -> timedelta:
    """Return how long a sub-request may be in flight before it is hedged.

    Parameters
    ----------
    stats
        Statistics of each replica and service.
    service
        Service that the query searches.
    settings
        Settings in force for the service.
    time_limit
        Time limit of the query.
    """
    delay = stats.percentile(service, settings.hedge_percentile)
    if delay is None:
        return max(_MIN_DELAY, time_limit * _DEFAULT_DELAY_SHARE)
    return max(_MIN_DELAY, delay)


def fast_enough(
    views: Sequence[ReplicaView], delay: timedelta, median: timedelta, urgent: bool
) -> list[ReplicaView]:
    """Return the replicas that are expected to reply within a hedge delay.

    If there is none, all replicas of the shard are slow and a hedge would only add
    load.

    Parameters
    ----------
    views
        Candidate replicas.
    delay
        Hedge delay of the query.
    median
        Median latency of the service, or zero while it is unknown.
    urgent
        Whether replicas in backoff are included.
    """
    max_latency = min(delay, median * _SLOW_FACTOR) if median else delay
    return [
        view
        for view in views
        if (urgent or not view.backoff_left)
        and view.latency + view.queue_wait <= max_latency
    ]
