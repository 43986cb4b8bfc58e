"""Subsetting: selects the replicas that an instance keeps connections to.

Needed where there are more instances than a replica accepts connections. Each instance
then keeps one connection to one replica of each service, and connects to other replicas
only when that replica is slow, full or gone.
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
    """Return the connection limits of an instance for one replica.

    Parameters
    ----------
    notice
        The replica.
    replicas
        Returns the usable replicas of the service. It is called only if there are fewer
        connections than instances, because the limits are looked up for each
        sub-request.
    connections
        Number of connections that a replica accepts from all instances together.
    instances
        Number of known instances.
    instance
        Name of this instance.
    data_centre
        Data centre of this instance.
    """
    # One more than the known instances, for an instance that starts or restarts.
    limit = connections // (instances + 1)
    if limit:
        return ConnectionLimits(max(1, limit // 2), limit)
    preferred = preferred_replica(replicas(), instance, data_centre)
    return ConnectionLimits(int(preferred in (None, notice.replica)), 1)


def preferred_replica(
    replicas: Sequence[ReplicaNotice], instance: str, data_centre: str
) -> str | None:
    """Return the preferred replica of an instance, or None if there are no replicas.

    Replicas in the same data centre take precedence. Among these, rendezvous hashing
    of the instance and replica names decides, so that instances are spread evenly and a
    change reassigns only the instances of the replicas that changed.
    """
    if not replicas:
        return None
    local = [notice for notice in replicas if notice.data_centre == data_centre]
    return max(
        (notice.replica for notice in local or replicas),
        key=lambda replica: xxh32_intdigest(f"{instance} {replica}".encode()),
    )
