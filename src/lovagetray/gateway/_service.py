"""Begin and end of the service of a gateway to callers."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray.commands.agreement import Agreement
from lovagetray.gateway._instances import Instances
from lovagetray.gateway._interfaces import CallerFrontend
from lovagetray.queries.dispatch import stop_schedule
from lovagetray.replicated_log import wait_until_caught_up
from lovagetray.state import AnswerLimit, InstanceState, RoutingState

_log = get_logger()
# An instance with a disk serves its stored document if no leader is found by then.
_CATCH_UP_TIMEOUT = timedelta(seconds=10)
_POLL_INTERVAL = timedelta(milliseconds=50)
_LEADERSHIP_TRANSFER_TIMEOUT = timedelta(seconds=2)


class Service(NamedTuple):
    """The service of a gateway to callers: how it begins and how it ends."""

    settings: GatewaySettings
    routing: RoutingState
    instances: Instances
    agreement: Agreement
    answer_limit: AnswerLimit
    clock: Clock

    async def start_serving(self, serve: Callable[[], Awaitable[None]]) -> None:
        """Serve callers once the routing document is current.

        Otherwise an outdated document could take effect. No connection is accepted
        earlier: a refused connection makes a caller turn to another instance at once.
        """
        timeout = None if self.settings.data_folder is None else _CATCH_UP_TIMEOUT
        caught_up = await wait_until_caught_up(self.agreement, self.clock, timeout)
        while self.routing.table is None:
            await self.clock.sleep(_POLL_INTERVAL)
        if self.instances.members.own_record.state is not InstanceState.STARTING:
            # The signal to stop came first.
            return
        await self.instances.change_state(InstanceState.SERVING)
        _log.info(
            "gateway_serving",
            address=str(self.settings.addresses.front),
            version=self.routing.version,
            confirmed=caught_up,
        )
        await serve()

    async def stop(self, frontend: CallerFrontend) -> None:
        """Stop gracefully within the grace period.

        The instance leaves the address lists and transfers leadership. It still
        accepts requests of callers whose address lists include it, as far as they can
        be answered in time, and finally waits for the requests in flight.
        """
        started_at = self.clock.monotonic_time()
        schedule = stop_schedule(started_at, self.settings.grace_period)
        await self.answer_limit.begin(schedule.answer_by)
        await self.instances.change_state(InstanceState.LEAVING)
        _log.info("gateway_stopping")
        frontend.drain()
        await self.clock.with_timeout(
            _LEADERSHIP_TRANSFER_TIMEOUT, self.agreement.transfer_leadership()
        )
        await self.clock.sleep(schedule.accept_until - self.clock.monotonic_time())
        await frontend.close()
        while (
            frontend.running_requests()
            and self.clock.monotonic_time() < schedule.exit_by
        ):
            await self.clock.sleep(_POLL_INTERVAL)
        _log.info(
            "gateway_stopped",
            took_ms=round(
                (self.clock.monotonic_time() - started_at) / timedelta(milliseconds=1)
            ),
            unanswered=frontend.running_requests(),
        )
