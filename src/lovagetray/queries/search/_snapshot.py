"""Which snapshot a query reads."""

from datetime import timedelta

from lovagetray._types import Snapshot
from lovagetray.state import Directory


def choose_snapshot(
    directory: Directory, service: str, now: timedelta, newer_than: int = -1
) -> Snapshot | None:
    """Return the newest snapshot that is complete, or else the most complete one.

    Parameters
    ----------
    now
        The time on the monotonic clock.
    newer_than
        Only versions above this one are considered.

    Returns
    -------
    Snapshot or None
        None if no target announced a snapshot.
    """
    best: Snapshot | None = None
    best_share = -1.0
    for snapshot in directory.snapshots(service):
        if snapshot.version <= newer_than:
            continue
        share = _usable_share(directory, service, snapshot, now)
        if share > best_share:
            best, best_share = snapshot, share
        if share == 1.0:
            break
    return best


def _usable_share(
    directory: Directory, service: str, snapshot: Snapshot, now: timedelta
) -> float:
    usable = {
        holding.shard
        for listing in directory.listings(service)
        if directory.usable(listing, now)
        for holding in listing.announcement.holdings
        if holding.snapshot == snapshot
    }
    return len(usable) / snapshot.shards
