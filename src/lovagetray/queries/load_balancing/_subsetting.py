"""Chooses the replicas that an instance keeps connections to.

Answers deployments with more instances than a replica takes connections: each instance
keeps one connection to one replica of each service, and opens others only when that one
is slow, full or gone.
"""

from collections.abc import Callable, Sequence

from xxhash import xxh32_intdigest

from lovagetray._routing_types import ReplicaNotice
from lovagetray.targets import ConnectionLimits


def connection_limits(
    notice: ReplicaNotice,
    replicas: Callable[[], Sequence[ReplicaNotice]],
    connections: int,
    instances: int,
    instance: str,
    data_centre: str,
) -> ConnectionLimits:
    """Return an instance's part of a replica's connections.

    Parameters
    ----------
    replicas
        Returns the usable replicas of the service; asked only where connections are
        short, because the limits are looked up for each sub-request.
    connections
        What a replica accepts from all instances.
    """
    # One instance more than are known leaves room for a start or a restart.
    part = connections // (instances + 1)
    if part:
        return ConnectionLimits(max(1, part // 2), part)
    home = home_replica(replicas(), instance, data_centre)
    return ConnectionLimits(int(home in (None, notice.replica)), 1)


def home_replica(
    replicas: Sequence[ReplicaNotice], instance: str, data_centre: str
) -> str | None:
    """Return the replica that an instance uses first, or None without one.

    A replica in the same data centre goes first. Among equals a hash of both names
    decides, so that instances spread evenly and a change moves only the instances of
    the replicas that changed.
    """
    if not replicas:
        return None
    local = [one for one in replicas if one.data_centre == data_centre]
    return max(
        (one.replica for one in local or replicas),
        key=lambda replica: xxh32_intdigest(f"{instance} {replica}".encode()),
    )
