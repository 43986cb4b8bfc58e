"""When a sub-request that is out for long is sent to one more replica."""

from collections.abc import Sequence
from datetime import timedelta

from lovagetray.queries.search._replica_book import ReplicaBook, ReplicaView
from lovagetray.queries.search._settings import SearchSettings

# Before enough replies were seen, a hedge waits for this share of the time limit.
_UNKNOWN_SHARE = 0.25
_SHORTEST = timedelta(milliseconds=1)


def hedge_delay(
    book: ReplicaBook, service: str, settings: SearchSettings, budget: timedelta
) -> timedelta:
    """Return how long a sub-request may be out before it is hedged.

    Parameters
    ----------
    budget
        The time limit of the query.
    """
    delay = book.percentile(service, settings.hedge_percentile)
    if delay is None:
        return max(_SHORTEST, budget * _UNKNOWN_SHARE)
    return max(_SHORTEST, delay)


def fast_enough(views: Sequence[ReplicaView], delay: timedelta) -> list[ReplicaView]:
    """Return the replicas that would probably reply within a hedge delay.

    If there is none, all replicas of the shard are slow and a hedge would only add
    load.
    """
    return [
        view
        for view in views
        if not view.avoided and view.latency + view.queue_wait <= delay
    ]
