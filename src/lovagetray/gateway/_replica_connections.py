"""Which connections a gateway keeps to replicas."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from lovagetray._clock import Clock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._routing_types import ReplicaNotice, ReplicaState
from lovagetray.queries.placing import Placement, connection_limits
from lovagetray.state import ReplicaBook, RoutingState, route_services
from lovagetray.targets import Channels, ConnectionLimits

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
    book: ReplicaBook
    placement: Placement
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
            lambda: self.book.usable(notice.service, self.clock.elapsed()),
            spec.connections,
            self.instances(),
            self.settings.name,
            self.settings.data_centre,
        )

    def has_ended(self, replica: str) -> bool:
        """Tell whether a replica is not used any more, and forget its answers if so."""
        notice = self.book.find(replica)
        if notice is not None and notice.state is not ReplicaState.LEFT:
            return False
        self.placement.forget(replica)
        return True

    async def keep_warm(self, channels: Channels, ready: Callable[[], bool]) -> None:
        """Open connections to replicas that will get work and have none, in rounds."""
        while True:
            await self.clock.sleep(_ROUND)
            if ready():
                for notice in self._missing(channels)[:_MOST_EACH_ROUND]:
                    await channels.connect(notice)

    def _missing(self, channels: Channels) -> list[ReplicaNotice]:
        """Return the replicas that lack a connection of this instance."""
        table = self.routing.table
        if table is None:
            return []
        services = {
            service
            for route in table.document.routes
            for service in route_services(route)
        }
        now = self.clock.elapsed()
        return [
            notice
            for service in sorted(services)
            for notice in self.book.usable(service, now)
            if not channels.knows(notice)
            and now >= self.placement.record(notice.replica).avoid_until
            and self.limits(notice).usual
        ]
