"""Which connections a gateway keeps to replicas."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from lovagetray._clock import Clock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._routing_types import ReplicaNotice, ReplicaState
from lovagetray.queries.load_balancing import LoadBalancer, connection_limits
from lovagetray.state import ReplicaDirectory, RoutingState, route_services
from lovagetray.targets import ConnectionLimits, ConnectionPool

_ROUND = timedelta(seconds=1)
# Connections opened ahead in one round, so that a start does not crowd the replicas.
_MOST_EACH_ROUND = 12


class ReplicaConnections(NamedTuple):
    """Limits the connections to each replica and opens them ahead of their first use.

    Parameters
    ----------
    instances
        Returns how many instances share the connections that a replica accepts.
    """

    settings: GatewaySettings
    routing: RoutingState
    directory: ReplicaDirectory
    balancer: LoadBalancer
    clock: Clock
    instances: Callable[[], int]

    def limits(self, notice: ReplicaNotice) -> ConnectionLimits:
        """Return this instance's part of a replica's connections."""
        table = self.routing.table
        spec = None if table is None else table.services.get(notice.service)
        if spec is None:
            return ConnectionLimits(1, 1)
        return connection_limits(
            notice,
            lambda: self.directory.usable(notice.service, self.clock.monotonic_time()),
            spec.max_connections,
            self.instances(),
            self.settings.name,
            self.settings.data_centre,
        )

    def has_ended(self, replica: str) -> bool:
        """Tell whether a replica is not used any more, and forget its answers if so."""
        notice = self.directory.find(replica)
        if notice is not None and notice.state is not ReplicaState.LEFT:
            return False
        self.balancer.forget(replica)
        return True

    async def keep_warm(
        self, connection_pool: ConnectionPool, ready: Callable[[], bool]
    ) -> None:
        """Open connections to replicas that will get work and have none, in rounds."""
        while True:
            await self.clock.sleep(_ROUND)
            if ready():
                for notice in self._missing(connection_pool)[:_MOST_EACH_ROUND]:
                    await connection_pool.connect(notice)

    def _missing(self, connection_pool: ConnectionPool) -> list[ReplicaNotice]:
        """Return the replicas that lack a connection of this instance."""
        table = self.routing.table
        if table is None:
            return []
        services = {
            service
            for route in table.document.routes
            for service in route_services(route)
        }
        now = self.clock.monotonic_time()
        return [
            notice
            for service in sorted(services)
            for notice in self.directory.usable(service, now)
            if not connection_pool.is_connected(notice)
            and now >= self.balancer.replica_stats(notice.replica).backoff_until
            and self.limits(notice).soft_limit
        ]
