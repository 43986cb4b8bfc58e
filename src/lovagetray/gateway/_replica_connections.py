"""Connections from a gateway to replicas: limits and opening ahead of use."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from lovagetray._clock import Clock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._routing_types import ReplicaNotice, ReplicaState
from lovagetray.queries.load_balancing import LoadBalancer, connection_limits
from lovagetray.state import ReplicaDirectory, RoutingState, route_services
from lovagetray.targets import ConnectionLimits, ConnectionPool

_ROUND_INTERVAL = timedelta(seconds=1)
# Connections opened ahead of use in one round; limited so that an instance that starts
# does not overload the replicas.
_MAX_OPENED_PER_ROUND = 12


class ReplicaConnections(NamedTuple):
    """The connections of an instance to replicas: limits and opening ahead of use.

    Parameters
    ----------
    instances
        Returns the number of instances that share the connections that a replica
        accepts.
    """

    settings: GatewaySettings
    routing: RoutingState
    directory: ReplicaDirectory
    balancer: LoadBalancer
    clock: Clock
    instances: Callable[[], int]

    def limits(self, notice: ReplicaNotice) -> ConnectionLimits:
        """Return the limits of this instance's connections to a replica.

        They are this instance's share of the connections that the replica accepts, or
        1 if the service of the replica is not in the routing document.
        """
        table = self.routing.table
        spec = None if table is None else table.services.get(notice.service)
        if spec is None:
            return ConnectionLimits(1, 1)
        return connection_limits(
            notice,
            lambda: self.balancer.usable(notice.service),
            spec.max_connections,
            self.instances(),
            self.settings.name,
            self.settings.data_centre,
        )

    def has_ended(self, notice: ReplicaNotice) -> bool:
        """Return whether a replica is no longer used at the address of a notice.

        If it is not used at any address, its statistics are discarded.
        """
        known = self.directory.find(notice.replica)
        if known is None or known.state is ReplicaState.LEFT:
            self.balancer.remove_stats(notice.replica)
            return True
        return known.address != notice.address

    async def keep_warm(
        self, connection_pool: ConnectionPool, ready: Callable[[], bool]
    ) -> None:
        """Open up to 12 missing connections per second while ready, until cancelled."""
        while True:
            await self.clock.sleep(_ROUND_INTERVAL)
            if ready():
                for notice in self._unconnected(connection_pool)[
                    :_MAX_OPENED_PER_ROUND
                ]:
                    await connection_pool.connect(notice)

    def _unconnected(self, connection_pool: ConnectionPool) -> list[ReplicaNotice]:
        """Return the replicas that this instance needs to connect to.

        These are the usable replicas of all routes, except connected ones, those in
        backoff, and those whose soft limit is zero.
        """
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
            for notice in self.balancer.usable(service)
            if connection_pool.needs_connection(notice)
            and now >= self.balancer.replica_stats(notice.replica).backoff_until
            and self.limits(notice).soft_limit
        ]
