"""A gateway instance, assembled from state, commands, queries and connections."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random, SystemRandom
from signal import SIGHUP, SIGINT, SIGTERM, Signals

from curio import CurioError, Queue, TaskGroup
from expression import Result
from structlog import get_logger

from lovagetray._agreement_errors import LogStopped
from lovagetray._clock import Clock
from lovagetray._errors import Failure
from lovagetray._evacuation_errors import InvalidDataCentre, OrderNotApplied
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._peer_messages import (
    AgreementMessage,
    DirectoryChecksum,
    Envelope,
    FeedUpdate,
    Heartbeat,
    KnownInstances,
    NoticeDigest,
    NoticesSeen,
    QuotaConfirmation,
    QuotaReport,
    ReplicaNotices,
    ReplicasHeard,
    ReplicasLeaving,
    ReplicasLeft,
    Subscribe,
    SubscribersHeard,
)
from lovagetray._routing_errors import (
    ForwardFailure,
    InvalidDocument,
    NotConfirmed,
    NoticeUnconfirmed,
)
from lovagetray._routing_types import (
    CallerLimits,
    CallerRequest,
    ReplicaNotice,
    ReplicaReply,
    ReplicaState,
    RoutingDocument,
)
from lovagetray._settings_errors import InvalidSettings
from lovagetray._signals import SignalListener
from lovagetray._task_failures import (
    EssentialTaskEnded,
    run_essential,
    run_restarting,
)
from lovagetray._types import Address
from lovagetray._violations import Violations
from lovagetray.commands.routing import put_document
from lovagetray.gateway._access import open_access
from lovagetray.gateway._bounds import process_bounds
from lovagetray.gateway._discovery import Discovery
from lovagetray.gateway._dispatcher import Dispatcher
from lovagetray.gateway._instances import Instances
from lovagetray.gateway._interfaces import (
    CallerFrontend,
    ControlServer,
    GatewayFormats,
)
from lovagetray.gateway._listing import Listing
from lovagetray.gateway._metrics import encode_metrics
from lovagetray.gateway._quotas import Quotas
from lovagetray.gateway._replica_connections import ReplicaConnections
from lovagetray.gateway._replica_restrictions import ReplicaRestrictions
from lovagetray.gateway._replicated_log import open_gateway_log
from lovagetray.gateway._service import Service
from lovagetray.queries.dispatch import (
    DispatchDependencies,
    accepting_time,
)
from lovagetray.queries.gathering import GatheredAnswer
from lovagetray.queries.load_balancing import LoadBalancer, RetryBudget
from lovagetray.queries.routing import AddressList, current_document
from lovagetray.replicated_log import (
    NamespaceProposer,
    ReplicatedState,
    StateNamespace,
)
from lovagetray.state import (
    AnswerLimit,
    EvacuationOrder,
    HeldPart,
    InstanceState,
    Ledger,
    RoutingState,
    SettingsState,
)
from lovagetray.targets import ConnectionPool

_log = get_logger()
# Exit code of a gateway that can no longer take part in the replicated log, or has lost
# another task that it cannot do without.
_EXIT_FAILED = 1
# Address lists expire this long before their instances stop accepting requests.
_ADDRESS_LIST_MARGIN = timedelta(milliseconds=500)


class Gateway:
    """A gateway instance; `run` serves until the process is told to stop.

    Parameters
    ----------
    process_started_at
        When the process started, on `clock`; None if unknown.

    Attributes
    ----------
    bounds
        Bounds of what the process uses for its callers.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        formats: GatewayFormats,
        clock: Clock,
        process_started_at: timedelta | None = None,
    ) -> None:
        self._process_started_at = process_started_at
        self._settings = settings
        self._formats = formats
        self._clock = clock
        random = Random(SystemRandom().getrandbits(64))
        self._violations = Violations()
        self.bounds = process_bounds(settings)
        self._routing = RoutingState(formats.decode_document)
        self._instances = Instances(settings, clock, random)
        self._members = self._instances.members
        self._peers = self._instances.peers
        self._discovery = Discovery(
            settings,
            self._instances,
            clock,
            random,
            lambda: self._agreement.quorum_contact_age(),
            lambda: self._routing.limits_cold_replicas,
        )
        self._replica_gossip = self._discovery.gossip
        directory = self._discovery.directory
        limits = settings.retry_budget
        self._listing = Listing(self._members, directory, clock)
        budget = RetryBudget(
            limits.ratio,
            limits.fixed,
            limits.window,
            clock,
            self._listing.budget_sharers,
        )
        self._restrictions = ReplicaRestrictions(
            settings, self._routing, directory, self._listing, clock
        )
        self._balancer = LoadBalancer(
            directory,
            budget,
            clock,
            random,
            settings.data_centre,
            self._restrictions.evacuations,
            self._restrictions.cold_limit,
            settings.placement,
        )
        self._connections = ReplicaConnections(
            settings,
            self._routing,
            directory,
            self._balancer,
            clock,
            self._listing.connection_sharers,
        )
        self._quotas = Quotas(
            self._members.own_record.instance,
            settings.quota,
            self._routing,
            self._peers,
            self._instances.relays,
            self._listing,
            clock,
        )
        self._answer_limit = AnswerLimit()
        self._dispatcher: Dispatcher | None = None

    @property
    def ready(self) -> bool:
        """Whether new callers should connect, that is, the instance is serving."""
        return self._members.own_record.state is InstanceState.SERVING

    @property
    def caller_limits(self) -> CallerLimits:
        """The limits of callers' requests, by the routing document in force."""
        table = self._routing.table
        return CallerLimits() if table is None else table.document.limits

    @property
    def settings(self) -> GatewaySettings:
        """The settings that the process started with."""
        return self._settings

    async def answer(
        self, request: CallerRequest
    ) -> Result[ReplicaReply | GatheredAnswer, ForwardFailure]:
        """Return the response to a caller's request, or why there is none."""
        assert self._dispatcher is not None
        return await self._dispatcher.answer(request)

    async def put_document(
        self, document: RoutingDocument
    ) -> Result[int, Failure | InvalidDocument]:
        """Return the version in force after a routing document was proposed."""
        proposer = NamespaceProposer(self._agreement, StateNamespace.ROUTING)
        return await put_document(document, self._routing, proposer, self._clock)

    async def order_evacuation(
        self, order: EvacuationOrder
    ) -> Result[None, Failure | InvalidDataCentre | OrderNotApplied]:
        """Return once an evacuation order is committed, or why it is not."""
        return await self._restrictions.order(order)

    def document(self) -> Result[RoutingDocument | None, NotConfirmed]:
        """Return the newest routing document, or None if there is none yet."""
        return current_document(self._routing, self._agreement)

    async def accept_notice(
        self, notice: ReplicaNotice
    ) -> Result[None, NoticeUnconfirmed]:
        """Accept a replica's notice and replicate it to the other instances.

        A notice that the replica is draining fails as `NoticeUnconfirmed` if other
        instances are known but none confirms it.
        """
        return await self._replica_gossip.accept(notice)

    def notice_address(self, notice: ReplicaNotice) -> Address | None:
        """Return the control address for the later notices of a replica.

        It is that of the relay in the replica's data centre, which need not forward
        them. None if any instance will do.
        """
        relay = self._instances.relay_for(notice.replica, notice.data_centre)
        if relay is None:
            return None
        # All instances listen on the same control port.
        return Address(Address.parse(relay).host, self._settings.addresses.control.port)

    async def deregister_replica(
        self, replica: str, notice: ReplicaNotice | None
    ) -> Result[None, NoticeUnconfirmed]:
        """Accept a replica's notice that it has left.

        Fails as `NoticeUnconfirmed` if other instances are known but none confirms it.

        Parameters
        ----------
        notice
            What the replica says of itself; None if that is no more than its id.
        """
        if notice is None:
            return await self._replica_gossip.leave(replica)
        return await self._replica_gossip.accept(
            notice._replace(state=ReplicaState.LEFT)
        )

    def addresses(self) -> AddressList:
        """Return the addresses that callers connect to, and how long they are valid.

        A list must expire before an instance on it can stop accepting requests, even if
        the stop signal arrives right after the list was sent.
        """
        max_lifetime = accepting_time(self._settings.grace_period)
        max_lifetime -= _ADDRESS_LIST_MARGIN
        lifetime = min(self._settings.address_lifetime, max_lifetime)
        return self._listing.addresses(lifetime)

    def metrics(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        self._restrictions.update_metrics()
        self.bounds.report()
        return encode_metrics(
            self._instances,
            self._discovery.directory,
            self._agreement,
            self._routing.version,
            self._connection_pool.open_count,
            self._clock.monotonic_time(),
        )

    async def run(
        self,
        servers: Callable[["Gateway"], tuple[CallerFrontend, list[ControlServer]]],
        reload: Callable[[], Result[GatewaySettings, InvalidSettings]],
    ) -> int:
        """Serve until SIGTERM or SIGINT; return the exit code.

        Parameters
        ----------
        servers
            Returns the server of callers and the control servers for this gateway.
        reload
            Returns the settings in the settings file, or why it is unreadable.
        """
        signals = SignalListener((SIGTERM, SIGINT, SIGHUP))
        tree = SettingsState(self._violations)
        ledger = Ledger(self._violations, tree.tree.duration("/", "effects.retention"))
        state = ReplicatedState(
            tree, ledger, self._routing, self._restrictions.evacuations
        )
        try:
            self._agreement = await open_gateway_log(
                self._settings,
                self._clock,
                self._peers,
                self._violations,
                state,
                self._process_started_at,
                self._feeds,
            )
        except OSError as error:
            _log.critical("gateway_failed", reason=str(LogStopped(str(error))))
            return _EXIT_FAILED
        self._instances.attach(self._agreement, self._replica_gossip)
        self._quotas.attach(self._agreement)
        self._restrictions.attach(self._agreement)
        await self._discovery.load()
        _log.info(
            "gateway_started",
            instance=self._settings.name,
            data_centre=self._settings.data_centre,
            disk=self._settings.data_folder is not None,
            first_start=self._settings.first_start,
            loaded_ms=self._startup_milliseconds(),
        )
        async with TaskGroup(wait=None) as group:
            connection_pool = ConnectionPool(
                self._clock,
                self._formats.decode_reply,
                group,
                self._connections.limits,
                self._balancer.accepts,
                self.bounds.held.limit(HeldPart.RESPONSES),
            )
            self._connection_pool = connection_pool
            dependencies = DispatchDependencies(
                self._balancer,
                connection_pool,
                self._formats.encode_request,
                self._clock,
                self._replica_gossip.report_leaving,
                self._answer_limit,
            )
            access = open_access(self._settings, self._agreement, self._clock)
            self._dispatcher = Dispatcher(
                self._routing, dependencies, access, self._quotas, self.bounds.held
            )
            service = Service(
                self._settings,
                self._routing,
                self._instances,
                self._agreement,
                self._answer_limit,
                self._clock,
            )
            frontend, control_servers = servers(self)
            events = Queue()
            await group.spawn(
                run_essential,
                "peer_transport",
                events,
                self._peers.run,
                self._instances.initial_peers(),
                self._receive,
            )
            await group.spawn(self._run_agreement, events)
            await group.spawn(_receive_signals, signals, events)
            for name, work in self._tasks(connection_pool).items():
                await group.spawn(run_restarting, name, self._clock, work)
            for server in control_servers:
                await group.spawn(run_essential, "control_server", events, server.run)
            await group.spawn(
                run_essential,
                "caller_server",
                events,
                service.start_serving,
                frontend.run,
            )
            while True:
                match await events.get():
                    case LogStopped() | EssentialTaskEnded() as failure:
                        _log.critical("gateway_failed", reason=str(failure))
                        return _EXIT_FAILED
                    case Signals.SIGHUP:
                        await self._reload(reload())
                    case _:
                        await service.stop(frontend)
                        return 0

    def _feeds(self, name: str, leads: bool) -> bool:
        """Return whether this instance sends the replicated log to another one."""
        is_subscribed = self._discovery.is_subscribed(name)
        return self._instances.feeds(name, leads, is_subscribed)

    def _tasks(
        self, connection_pool: ConnectionPool
    ) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks, by name, that run until the process ends."""
        return {
            "connection_pool": lambda: connection_pool.run(self._connections.has_ended),
            "keep_warm": lambda: self._connections.keep_warm(
                connection_pool, lambda: self.ready and self._listing.is_listed
            ),
            "instance_gossip": self._instances.gossip,
            "cold_limit": self._restrictions.follow_list,
            "topology": self._instances.follow_topology,
            **self._discovery.tasks(),
            **self._quotas.tasks(),
        }

    def _startup_milliseconds(self) -> float | None:
        """Return the time since the process started, in milliseconds, if known."""
        if self._process_started_at is None:
            return None
        return (self._clock.monotonic_time() - self._process_started_at) / timedelta(
            milliseconds=1
        )

    async def _run_agreement(self, events: Queue) -> None:
        """Run the replicated log; put `LogStopped` on the queue when it ends.

        The process then exits and is restarted, because the gateway would otherwise
        continue with an outdated configuration.
        """
        try:
            await self._agreement.run()
            reason = "its tasks have ended"
        except (OSError, CurioError, RuntimeError) as error:
            reason = repr(error)
        await events.put(LogStopped(reason))

    async def _reload(self, read: Result[GatewaySettings, InvalidSettings]) -> None:
        match read:
            case Result(tag="ok", ok=settings):
                _log.info(
                    "settings_reloaded", seeds=[str(seed) for seed in settings.seeds]
                )
                for seed in settings.seeds:
                    await self._instances.add_peer(str(seed), seed)
            case Result(error=failure):
                # The settings in force stay; the file may be half written.
                _log.warning("settings_unreadable", reason=str(failure))

    async def _receive(self, envelope: Envelope) -> None:
        now = self._clock.monotonic_time()
        sender = envelope.sender.name
        self._members.record_message(envelope.sender, now)
        match envelope.message:
            case Heartbeat() | KnownInstances() | SubscribersHeard() as message:
                self._quotas.note_version(sender, message)
                await self._instances.receive(sender, message, now)
            case Subscribe() as message:
                heartbeat = Heartbeat(message.record, message.capacity)
                await self._instances.receive(sender, heartbeat, now)
                await self._discovery.receive(sender, message)
                await self._agreement.feed(sender)
            case message if isinstance(message, AgreementMessage):
                await self._agreement.handle(sender, message)
            case QuotaReport() | QuotaConfirmation() as message:
                await self._quotas.receive(sender, message)
            case (
                FeedUpdate()
                | ReplicaNotices()
                | ReplicasHeard()
                | ReplicasLeft()
                | ReplicasLeaving()
                | NoticesSeen()
                | DirectoryChecksum()
                | NoticeDigest() as message
            ):
                await self._discovery.receive(sender, message)


async def _receive_signals(signals: SignalListener, events: Queue) -> None:
    while True:
        await events.put(await signals.receive())
