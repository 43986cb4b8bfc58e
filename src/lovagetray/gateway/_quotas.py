"""Quotas of workspaces in a gateway: admission, reports and answers, assembled."""

from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import Protocol

from expression import Ok, Result
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._gateway_settings import QuotaLimits
from lovagetray._peer_messages import (
    Heartbeat,
    PeerMessage,
    QuotaConfirmation,
    QuotaReport,
)
from lovagetray._routing_errors import (
    ForwardFailure,
    OverQuota,
    QuotaUnconfirmed,
    RequestNotRun,
)
from lovagetray._routing_types import CallerRequest, Route, Workspace
from lovagetray._telemetry import QUOTA_REQUESTS
from lovagetray._types import InstanceId
from lovagetray.commands.quota import Admission, QuotaConfirmer, QuotaReporter
from lovagetray.state import Relays, RoutingState, RoutingTable

_log = get_logger()
# Interval at which an instance looks whether it leads, so that credit accrues before
# the first report.
_OBSERVE_INTERVAL = timedelta(seconds=1)
# A request may wait for the leader for this part of its target latency.
_WAIT_SHARE = 0.25
# Refusals of one workspace and kind are logged at most this often.
_LOG_INTERVAL = timedelta(seconds=10)


class Leadership(Protocol):
    """What the replicated log knows of the leader."""

    @property
    def leader(self) -> str | None:
        """Name of the leader of the current term, or None if unknown."""

    @property
    def term(self) -> int:
        """Current term of this instance."""

    def serves_linearizable_reads(self) -> bool:
        """Return whether this instance leads and has applied all accepted changes."""


class QuotaTransport(Protocol):
    """Transport to the peers; it may lose messages."""

    async def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message for a peer; return whether the peer is known."""


class Sharing(Protocol):
    """Who shares the limits that apply to all instances together."""

    @property
    def is_listed(self) -> bool:
        """Whether callers are sent to this instance."""

    def budget_sharers(self) -> int:
        """Return the number of instances that share a budget with this one."""


class Quotas:
    """Quotas of the workspaces of the routing document in force.

    Costs nothing and sends nothing unless a request belongs to a workspace with a
    quota.
    """

    _leadership: Leadership

    def __init__(
        self,
        own_id: InstanceId,
        limits: QuotaLimits,
        routing: RoutingState,
        transport: QuotaTransport,
        relays: Relays,
        sharing: Sharing,
        clock: Clock,
    ) -> None:
        self._own_id = own_id
        self._limits = limits
        self._routing = routing
        self._transport = transport
        self._relays = relays
        self._sharing = sharing
        self._clock = clock
        self._started_at = clock.monotonic_time()
        self._table: RoutingTable | None = None
        self._workspaces: Mapping[str, Workspace] = {}
        # Instances of a version that answers no reports.
        self._without_quotas: set[str] = set()
        self._logged_at: dict[tuple[str, str], timedelta] = {}
        self._reporter = QuotaReporter(
            own_id,
            limits,
            clock,
            self._sharers,
            sharing.budget_sharers,
            self._send_report,
        )
        self._confirmer = QuotaConfirmer(limits, self._leading_term)

    def attach(self, leadership: Leadership) -> None:
        """Set the replicated log, before any task runs."""
        self._leadership = leadership

    async def admit(
        self, request: CallerRequest, route: Route
    ) -> Result[Admission | None, OverQuota | QuotaUnconfirmed]:
        """Return whether a request may run; None as admission if it has no quota."""
        if request.workspace is None:
            return Ok(None)
        self._follow_document()
        workspace = self._workspaces.get(request.workspace)
        if workspace is None:
            return Ok(None)
        if self._leadership.leader in self._without_quotas:
            # No instance can tell during a rolling update from an earlier version.
            QUOTA_REQUESTS["not_checked"].inc()
            self._log_rarely("quota_not_checked", workspace.name)
            return Ok(None)
        patience = min(route.target_latency, request.timeout_for(route)) * _WAIT_SHARE
        result = await self._reporter.admit(workspace, patience)
        match result:
            case Result(tag="ok", ok=admission):
                return Ok(admission)
            case Result(error=failure):
                self._log_rarely(failure.code, workspace.name)
                return result

    async def settle(
        self,
        admission: Admission | None,
        result: Result[object, ForwardFailure],
    ) -> None:
        """Return the credit of a request whose outcome proves that it was not run."""
        if admission is None:
            return
        match result:
            case Result(tag="error", error=RequestNotRun()):
                await self._reporter.give_back(admission)

    def note_version(self, sender: str, message: object) -> None:
        """Note from a heartbeat whether its sender answers reports of use."""
        match message:
            case Heartbeat(confirms_quotas=True):
                self._without_quotas.discard(sender)
            case Heartbeat():
                self._without_quotas.add(sender)

    async def receive(
        self, sender: str, message: QuotaReport | QuotaConfirmation
    ) -> None:
        """Answer or pass on a report; use or pass on an answer."""
        match message:
            case QuotaReport():
                self._follow_document()
                answer = self._confirmer.answer(message, self._clock.monotonic_time())
                if answer is not None:
                    await self._transport.send(sender, answer)
                elif not message.relayed:
                    await self._pass_on(message)
            case QuotaConfirmation(origin=origin) if origin != self._own_id:
                await self._transport.send(origin.name, message)
            case QuotaConfirmation():
                await self._reporter.receive(message)

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks, by name, that run until the process ends."""
        return {"quota_reporter": self._reporter.run, "quota_leader": self._observe}

    async def _observe(self) -> None:
        while True:
            self._follow_document()
            if self._workspaces:
                self._confirmer.observe(self._clock.monotonic_time())
            await self._clock.sleep(_OBSERVE_INTERVAL)

    def _follow_document(self) -> None:
        table = self._routing.table
        if table is None or table is self._table:
            return
        self._table = table
        self._workspaces = {
            workspace.name: workspace
            for workspace in table.document.workspaces or ()
            if workspace.rate > 0
        }
        self._logged_at.clear()
        self._reporter.update(self._workspaces)
        self._confirmer.update(self._workspaces, self._clock.monotonic_time())

    def _leading_term(self) -> int | None:
        if not self._leadership.serves_linearizable_reads():
            return None
        return self._leadership.term

    def _sharers(self) -> int:
        """Return among how many instances the debt limits are shared; 0 for no part.

        The use of an earlier run of this instance may not be reported yet.
        """
        uptime = self._clock.monotonic_time() - self._started_at
        if uptime < self._limits.window or not self._sharing.is_listed:
            return 0
        return self._sharing.budget_sharers()

    async def _send_report(self, report: QuotaReport) -> None:
        """Send a report to the leader, or to the relay of this instance."""
        leader = self._leadership.leader
        if leader == self._own_id.name:
            answer = self._confirmer.answer(report, self._clock.monotonic_time())
            if answer is not None:
                await self._reporter.receive(answer)
        elif leader is None or not await self._transport.send(leader, report):
            relay = self._relays.chosen
            if relay is not None:
                await self._transport.send(relay, report)

    async def _pass_on(self, report: QuotaReport) -> None:
        """Send the report of another instance to the leader; it answers this one."""
        leader = self._leadership.leader
        if leader is not None and leader != self._own_id.name:
            relayed = QuotaReport(
                report.origin, report.number, report.sharers, report.claims, True
            )
            await self._transport.send(leader, relayed)

    def _log_rarely(self, event: str, workspace: str) -> None:
        now = self._clock.monotonic_time()
        logged_at = self._logged_at.get((event, workspace))
        if logged_at is None or now - logged_at >= _LOG_INTERVAL:
            self._logged_at[event, workspace] = now
            _log.warning(event, workspace=workspace, version=self._routing.version)
