"""Selects the snapshot that a query reads."""

from datetime import timedelta

from lovagetray._types import Snapshot
from lovagetray.queries.search._replica_stats_store import ReplicaStatsStore
from lovagetray.state import Listing, TargetDirectory


def choose_snapshot(
    directory: TargetDirectory, stats: ReplicaStatsStore, service: str, now: timedelta
) -> Snapshot | None:
    """Return the newest complete snapshot, or else the most complete one.

    Parameters
    ----------
    directory
        Announced targets.
    stats
        Statistics of each replica.
    service
        Service to search.
    now
        Current time on the monotonic clock.

    Returns
    -------
    Snapshot or None
        None if no target announced a snapshot of the service.
    """
    best: Snapshot | None = None
    best_fraction = -1.0
    for snapshot in directory.snapshots(service):
        fraction = _usable_fraction(directory, stats, service, snapshot, now)
        if fraction > best_fraction:
            best, best_fraction = snapshot, fraction
        if fraction == 1.0:
            break
    return best


def newer_complete_snapshot(
    directory: TargetDirectory,
    stats: ReplicaStatsStore,
    service: str,
    version: int,
    now: timedelta,
) -> Snapshot | None:
    """Return the newest complete snapshot later than a version, or None."""
    for snapshot in directory.snapshots(service):
        if snapshot.version <= version:
            return None
        if _usable_fraction(directory, stats, service, snapshot, now) == 1.0:
            return snapshot
    return None


def replicas_by_shard(
    directory: TargetDirectory,
    stats: ReplicaStatsStore,
    service: str,
    snapshot: Snapshot,
    now: timedelta,
) -> dict[int, list[Listing]]:
    """Return the usable replicas of each shard that has at least one.

    Replicas whose target refused the snapshot since its last announcement are left
    out.
    """
    by_shard: dict[int, list[Listing]] = {}
    for listing in directory.listings(service):
        if not directory.usable(listing, now) or stats.lacks_snapshot(
            listing, snapshot
        ):
            continue
        for holding in listing.announcement.holdings:
            if holding.snapshot == snapshot:
                by_shard.setdefault(holding.shard, []).append(listing)
    return by_shard


def _usable_fraction(
    directory: TargetDirectory,
    stats: ReplicaStatsStore,
    service: str,
    snapshot: Snapshot,
    now: timedelta,
) -> float:
    by_shard = replicas_by_shard(directory, stats, service, snapshot, now)
    return len(by_shard) / snapshot.shards
