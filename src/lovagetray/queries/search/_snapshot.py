"""Which snapshot a query reads."""

from datetime import timedelta

from lovagetray._types import Snapshot
from lovagetray.queries.search._replica_stats_store import ReplicaStatsStore
from lovagetray.state import Listing, TargetDirectory


def choose_snapshot(
    directory: TargetDirectory, stats: ReplicaStatsStore, service: str, now: timedelta
) -> Snapshot | None:
    """Return the newest snapshot that is complete, or else the most complete one.

    Parameters
    ----------
    now
        The time on the monotonic clock.

    Returns
    -------
    Snapshot or None
        None if no target announced a snapshot.
    """
    best: Snapshot | None = None
    best_share = -1.0
    for snapshot in directory.snapshots(service):
        share = _usable_share(directory, stats, service, snapshot, now)
        if share > best_share:
            best, best_share = snapshot, share
        if share == 1.0:
            break
    return best


def newer_complete_snapshot(
    directory: TargetDirectory,
    stats: ReplicaStatsStore,
    service: str,
    version: int,
    now: timedelta,
) -> Snapshot | None:
    """Return the newest complete snapshot above a version, or None."""
    for snapshot in directory.snapshots(service):
        if snapshot.version <= version:
            return None
        if _usable_share(directory, stats, service, snapshot, now) == 1.0:
            return snapshot
    return None


def replicas_by_shard(
    directory: TargetDirectory,
    stats: ReplicaStatsStore,
    service: str,
    snapshot: Snapshot,
    now: timedelta,
) -> dict[int, list[Listing]]:
    """Return the usable replicas of each shard that has any.

    A replica that said after its announcement that it lacks the snapshot is left out.
    """
    found: dict[int, list[Listing]] = {}
    for listing in directory.listings(service):
        if not directory.usable(listing, now) or stats.lacks(listing, snapshot):
            continue
        for holding in listing.announcement.holdings:
            if holding.snapshot == snapshot:
                found.setdefault(holding.shard, []).append(listing)
    return found


def _usable_share(
    directory: TargetDirectory,
    stats: ReplicaStatsStore,
    service: str,
    snapshot: Snapshot,
    now: timedelta,
) -> float:
    found = replicas_by_shard(directory, stats, service, snapshot, now)
    return len(found) / snapshot.shards
