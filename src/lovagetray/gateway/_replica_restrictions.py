"""Restrictions on the replicas that get requests: evacuations and cold replicas."""

from datetime import timedelta

from expression import Result

from lovagetray._clock import Clock
from lovagetray._errors import Failure
from lovagetray._evacuation_errors import InvalidDataCentre, OrderNotApplied
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._proposals import Proposer
from lovagetray._telemetry import (
    COLD_REPLICAS,
    EVACUATED_DATA_CENTRES,
    EVACUATED_REPLICAS,
)
from lovagetray.commands.agreement import Agreement
from lovagetray.commands.evacuation import order_evacuation
from lovagetray.gateway._listing import Listing
from lovagetray.queries.load_balancing import ColdLimit
from lovagetray.replicated_log import NamespaceProposer, StateNamespace
from lovagetray.state import (
    EvacuationOrder,
    Evacuations,
    ReplicaDirectory,
    RoutingState,
)

# The list of instances is refreshed every 200 ms when it is read.
_FOLLOW_INTERVAL = timedelta(milliseconds=500)


class ReplicaRestrictions:
    """Evacuated data centres and limits of cold replicas of one instance."""

    def __init__(
        self,
        settings: GatewaySettings,
        routing: RoutingState,
        directory: ReplicaDirectory,
        listing: Listing,
        clock: Clock,
    ) -> None:
        self._routing = routing
        self._directory = directory
        self._clock = clock
        self._agreement: Agreement | None = None
        self.evacuations = Evacuations()
        self.cold_limit = ColdLimit(
            settings.name,
            settings.cold_limits,
            self._cold_rate,
            lambda: listing.listed_names,
            directory.cold_until,
            self._confirmed_at,
        )

    def attach(self, agreement: Agreement) -> None:
        """Set the replicated log, which is opened with the evacuations."""
        self._agreement = agreement

    async def order(
        self, order: EvacuationOrder
    ) -> Result[None, Failure | InvalidDataCentre | OrderNotApplied]:
        """Return once an order is committed, or why it is refused or unconfirmed."""
        assert self._agreement is not None
        proposer: Proposer = NamespaceProposer(
            self._agreement, StateNamespace.EVACUATIONS
        )
        return await order_evacuation(order, proposer, self._clock)

    async def follow_list(self) -> None:
        """Note changes of the list of instances when they happen, until cancelled.

        Otherwise the first request to a cold replica would wait for the hand-over time
        of a change that is long past.
        """
        while True:
            await self._clock.sleep(_FOLLOW_INTERVAL)
            if self._routing.limits_cold_replicas:
                self.cold_limit.follow_list(self._clock.monotonic_time())

    def update_metrics(self) -> None:
        """Set the metrics of evacuated data centres and restricted replicas."""
        now = self._clock.monotonic_time()
        names = self.evacuations.names
        usable = [
            known.notice for known in self._directory.known_replicas() if known.usable
        ]
        EVACUATED_DATA_CENTRES.set(len(names))
        EVACUATED_REPLICAS.set(sum(notice.data_centre in names for notice in usable))
        COLD_REPLICAS.set(
            sum(self.cold_limit.is_limited(notice, now) for notice in usable)
        )

    def _cold_rate(self, service: str) -> float:
        table = self._routing.table
        spec = None if table is None else table.services.get(service)
        return 0.0 if spec is None else spec.cold_rate

    def _confirmed_at(self) -> timedelta | None:
        return None if self._agreement is None else self._agreement.state_confirmed_at()
