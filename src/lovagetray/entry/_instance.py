"""An entry instance, assembled from state, commands, queries and connections."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from signal import SIGINT, SIGTERM

from curio import Queue, TaskGroup
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._peer_messages import AgreementMessage, Envelope, Heartbeat, Stopped
from lovagetray._process_settings import ProcessSettings
from lovagetray._signals import SignalListener
from lovagetray._task_failures import (
    EssentialTaskEnded,
    run_essential,
    run_restarting,
)
from lovagetray._telemetry import (
    AGREEMENT_LEADS,
    AGREEMENT_TERM,
    CALLER_CONNECTIONS,
    SETTINGS_REVISION,
)
from lovagetray._types import InstanceId
from lovagetray._violations import Violations
from lovagetray.commands.effects import EffectRunner
from lovagetray.commands.membership import announcement_digest
from lovagetray.commands.settings import SettingsProposer
from lovagetray.entry._command_routes import CommandRoutes
from lovagetray.entry._effect_sender import OwnerEffectSender
from lovagetray.entry._lease import AgreementLease
from lovagetray.entry._operators import Operators
from lovagetray.entry._owner_retry_budget import OwnerRetryBudget
from lovagetray.entry._query_routes import QueryRoutes
from lovagetray.entry._replicated_ledger import ReplicatedLedger
from lovagetray.entry._router import Handler, Router
from lovagetray.entry._settings_command_routes import SettingsCommandRoutes
from lovagetray.entry._settings_in_force import SettingsInForce
from lovagetray.entry._settings_query_routes import SettingsQueryRoutes
from lovagetray.queries.search import Searcher
from lovagetray.queries.settings import announced_paths
from lovagetray.replicated_log import (
    NamespaceProposer,
    ReplicatedState,
    StateNamespace,
    open_entry_agreement,
    wait_for_lease,
    wait_until_caught_up,
)
from lovagetray.state import (
    InstanceRecord,
    InstanceState,
    Ledger,
    Members,
    SettingsState,
    TargetDirectory,
)
from lovagetray.targets import HttpDialer, PoolDependencies, TargetAccess
from lovagetray.wire import (
    HttpServer,
    PeerTransport,
    ProcessorTurns,
    encode_failure,
)

_log = get_logger()
_FAILURE_TIMEOUT = timedelta(milliseconds=1500)
_MAINTENANCE_INTERVAL = timedelta(seconds=1)
_TARGET_RETENTION = timedelta(minutes=1)
# Exit code of an instance that has lost a task that it cannot do without.
_EXIT_FAILED = 1
_COSTLY_PATHS = frozenset(("/metrics",))
_POLL_INTERVAL = timedelta(milliseconds=100)
_RELEASE_TIMEOUT = timedelta(seconds=5)
_LEADERSHIP_TRANSFER_TIMEOUT = timedelta(seconds=3)
# An instance with a disk serves its stored settings if no leader is found by then.
_CATCH_UP_TIMEOUT = timedelta(seconds=10)


class EntryInstance:
    """An entry instance; `run` serves until the process is told to stop."""

    def __init__(self, settings: ProcessSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._violations = Violations()
        self._tree = SettingsState(self._violations)
        self._in_force = SettingsInForce(self._tree, settings.data_centre)
        retention = self._tree.tree.duration("/", "effects.retention")
        self._ledger = Ledger(self._violations, retention)
        self._directory = TargetDirectory(self._in_force.target_lifetime)
        self._members = Members(_own_record(settings, clock), _FAILURE_TIMEOUT)
        self._peers = PeerTransport(
            self._members.own_record.instance,
            settings.peer_address,
            clock,
            self._heartbeat,
            self._time_since_heard,
            _FAILURE_TIMEOUT,
        )

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT; return the exit code."""
        signals = SignalListener((SIGTERM, SIGINT))
        self._agreement = await open_entry_agreement(
            self._settings,
            self._clock,
            self._peers,
            self._violations,
            ReplicatedState(self._tree, self._ledger),
        )
        self._replicated_ledger = ReplicatedLedger(
            self._ledger,
            NamespaceProposer(self._agreement, StateNamespace.LEDGER),
            self._clock,
        )
        async with TaskGroup(wait=None) as group:
            self._targets = self._target_access(group)
            server = HttpServer(
                self._router().handle,
                encode_failure,
                self._clock,
                turns=ProcessorTurns(self._clock, self._settings.connection_share),
                costly_paths=_COSTLY_PATHS,
            )
            events = Queue()
            for task, work in self._essential_tasks(server).items():
                await group.spawn(run_essential, task, events, work)
            for task, work in self._restarting_tasks(server).items():
                await group.spawn(run_restarting, task, self._clock, work)
            await group.spawn(self._start_serving)
            failure = await _wait_for_end(signals, events)
            if failure is not None:
                _log.critical("instance_failed", reason=str(failure))
                return _EXIT_FAILED
            await self._stop(server, signals)
        return 0

    def _essential_tasks(
        self, server: HttpServer
    ) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks, by name, without which the instance is of no use."""

        async def serve() -> None:
            await server.run(server.listen(self._settings.http_address))

        return {
            "caller_server": serve,
            "peer_transport": lambda: self._peers.run(
                self._settings.peers, self._receive
            ),
            "agreement": self._agreement.run,
        }

    def _restarting_tasks(
        self, server: HttpServer
    ) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks, by name, that run until the process ends."""
        return {
            "ledger": self._replicated_ledger.run,
            "targets": self._targets.run,
            "maintenance": lambda: self._run_maintenance(server),
        }

    async def _start_serving(self) -> None:
        """Serve once the settings are current, so that no outdated ones take effect."""
        has_disk = self._settings.data_folder is not None
        timeout = _CATCH_UP_TIMEOUT if has_disk else None
        caught_up = await wait_until_caught_up(self._agreement, self._clock, timeout)
        await wait_for_lease(self._agreement, self._clock, _CATCH_UP_TIMEOUT)
        if self._members.own_record.state is InstanceState.STARTING:
            self._members.change_own_state(InstanceState.SERVING)
            await self._peers.broadcast(self._heartbeat())
        _log.info(
            "instance_serving",
            address=str(self._settings.http_address),
            revision=self._in_force.revision,
            confirmed=caught_up,
        )

    async def _stop(self, server: HttpServer, signals: SignalListener) -> None:
        """Stop gracefully.

        The instance leaves the address lists, but serves callers until the lists that
        include it have expired or a second signal arrives. It then waits until all
        connections are closed, transfers leadership and releases its replicas.
        """
        self._members.change_own_state(InstanceState.LEAVING)
        await self._peers.broadcast(self._heartbeat())
        _log.info("instance_stopping")
        await self._clock.with_timeout(
            self._in_force.address_lifetime, signals.receive()
        )
        await server.close_idle()
        while server.open_connections:
            await self._clock.sleep(_POLL_INTERVAL)
        await self._clock.with_timeout(
            _LEADERSHIP_TRANSFER_TIMEOUT, self._agreement.transfer_leadership()
        )
        if await self._targets.release_all(_RELEASE_TIMEOUT):
            await self._peers.broadcast(Stopped())
            await self._clock.sleep(_POLL_INTERVAL)
        _log.info("instance_stopped")

    def _target_access(self, group: TaskGroup) -> TargetAccess:
        dependencies = PoolDependencies(
            HttpDialer(self._clock),
            self._clock,
            self._violations,
            OwnerRetryBudget(
                lambda service: self._in_force.search(service).retry_budget,
                self._violations,
            ),
            self._in_force.targets,
        )
        return TargetAccess(
            self._directory,
            self._members,
            AgreementLease(self._agreement),
            self._peers,
            lambda: self._peers.names,
            dependencies,
            group,
            lambda: self._in_force.orphan_limit,
        )

    def _router(self) -> Router:
        searcher = Searcher(
            self._directory,
            self._targets.router,
            self._clock,
            self._violations,
            self._in_force.search,
        )
        queries = QueryRoutes(
            searcher,
            self._directory,
            self._members,
            self._clock,
            self._agreement,
            self._in_force,
            self._targets.owned_count,
        )
        effects = EffectRunner(
            self._settings.name,
            self._directory,
            self._replicated_ledger,
            OwnerEffectSender(self._targets.router, self._clock),
            self._clock,
            self._violations,
        )
        commands = CommandRoutes(
            self._directory,
            self._members,
            self._peers,
            self._clock,
            effects,
            self._in_force,
        )
        return Router(
            {**queries.routes(), **commands.routes(), **self._operator_routes()}
        )

    def _operator_routes(self) -> dict[tuple[str, str], Handler]:
        operators = Operators(self._settings.operators)
        proposer = NamespaceProposer(self._agreement, StateNamespace.SETTINGS)
        settings_proposer = SettingsProposer(self._tree, proposer, self._clock)
        commands = SettingsCommandRoutes(
            self._tree,
            settings_proposer,
            operators,
            lambda: announced_paths(self._directory),
        )
        queries = SettingsQueryRoutes(self._tree, operators)
        return {**queries.routes(), **commands.routes()}

    async def _receive(self, envelope: Envelope) -> None:
        now = self._clock.monotonic_time()
        self._members.record_message(envelope.sender, now)
        match envelope.message:
            case Heartbeat(record=record):
                self._members.update_record(record, now)
                name = record.instance.name
                await self._peers.add(name, record.peer_address)
                await self._agreement.add_peer(name)
            case message if isinstance(message, AgreementMessage):
                await self._agreement.handle(envelope.sender.name, message)
            case _:
                await self._targets.handle(envelope)

    async def _run_maintenance(self, server: HttpServer) -> None:
        """Each second, compare announcements with peers and expire outdated targets.

        The heartbeat is broadcast and the metrics are updated, too.
        """
        while True:
            await self._clock.sleep(_MAINTENANCE_INTERVAL)
            now = self._clock.monotonic_time()
            self._directory.change_lifetime(self._in_force.target_lifetime)
            self._directory.record_tick(now)
            self._directory.expire(now, _TARGET_RETENTION)
            await self._peers.broadcast(self._heartbeat())
            await self._peers.broadcast(announcement_digest(self._directory))
            CALLER_CONNECTIONS.set(server.open_connections)
            SETTINGS_REVISION.set(self._in_force.revision)
            AGREEMENT_TERM.set(self._agreement.term)
            AGREEMENT_LEADS.set(self._agreement.leader == self._settings.name)

    def _heartbeat(self) -> Heartbeat:
        self._members.change_own_revision(self._in_force.revision)
        return Heartbeat(self._members.own_record)

    def _time_since_heard(self, name: str) -> timedelta:
        return self._members.time_since_heard(name, self._clock.monotonic_time())


async def _wait_for_end(
    signals: SignalListener, events: Queue
) -> EssentialTaskEnded | None:
    """Wait for a signal or the end of an essential task, and return the latter."""
    async with TaskGroup(wait=any) as group:
        signalled = await group.spawn(signals.receive)
        await group.spawn(events.get)
    return None if group.completed is signalled else group.completed.result


def _own_record(settings: ProcessSettings, clock: Clock) -> InstanceRecord:
    incarnation = f"{clock.now():%Y%m%dT%H%M%S.%f}"
    return InstanceRecord(
        instance=InstanceId(settings.name, incarnation),
        state=InstanceState.STARTING,
        data_centre=settings.data_centre,
        http_address=settings.http_address,
        peer_address=settings.peer_address,
    )
