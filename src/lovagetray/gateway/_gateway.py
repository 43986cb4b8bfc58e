"""One gateway instance: assembles state, commands, queries and connections."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random, SystemRandom
from signal import SIGHUP, SIGINT, SIGTERM, Signals
from typing import NamedTuple

from curio import CurioError, Queue, TaskGroup
from expression import Result
from prometheus_client import generate_latest
from structlog import get_logger

from lovagetray._agreement_errors import LogStopped
from lovagetray._clock import Clock
from lovagetray._errors import Failure
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._peer_messages import (
    AgreementMessage,
    Envelope,
    Heartbeat,
    KnownInstances,
    NoticeDigest,
    NoticesSeen,
    ReplicaNotices,
    ReplicasHeard,
    ReplicasLeft,
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
    RoutingDocument,
)
from lovagetray._signals import SignalListener
from lovagetray._telemetry import (
    AGREEMENT_LEADS,
    AGREEMENT_TERM,
    REPLICA_CHANNELS,
    ROUTING_VERSION,
)
from lovagetray._violations import Violations
from lovagetray.commands.discovery import ReplicaGossip
from lovagetray.commands.routing import put_document
from lovagetray.gateway._dispatcher import Dispatcher
from lovagetray.gateway._instances import Instances
from lovagetray.gateway._replica_connections import ReplicaConnections
from lovagetray.gateway._replicated_log import open_gateway_log
from lovagetray.queries.dispatch import DispatchDependencies, RequestEncoder
from lovagetray.queries.gathering import GatheredAnswer
from lovagetray.queries.load_balancing import LoadBalancer, RetryBudget
from lovagetray.queries.routing import AddressList, addresses_for, current_document
from lovagetray.replicated_log import (
    NamespaceProposer,
    ReplicatedState,
    StateNamespace,
    wait_until_caught_up,
)
from lovagetray.state import (
    DocumentDecoder,
    InstanceState,
    Ledger,
    ReplicaDirectory,
    RoutingState,
    SettingsState,
)
from lovagetray.targets import ConnectionPool, ReplyDecoder

_log = get_logger()
# Exit code of a gateway that can no longer take part in the replicated log.
_FAILED = 1
# A notice may be late by seconds and is passed on every five seconds at least; a dead
# replica is found by its connections before.
_MISSED_NOTICES = 10
_FORGET_REPLICA = timedelta(minutes=2)
# An instance with a disk serves its last document if no leader is found within this.
_CONFIRM_LIMIT = timedelta(seconds=10)
# After an order to stop, requests are taken until this long before the kill, so that
# they end; the longest work of a replica takes 1.3 s.
_FINISH_TIME = timedelta(seconds=2)
# An address list ends this long before its instances take no more requests.
_LIST_MARGIN = timedelta(milliseconds=500)
# Before the kill, for the end of the process.
_STOP_MARGIN = timedelta(milliseconds=200)
_STOP_POLL = timedelta(milliseconds=50)
_HAND_OVER_LIMIT = timedelta(seconds=2)


class GatewayFormats(NamedTuple):
    """How callers, replicas and operators write what the gateway handles."""

    decode_document: DocumentDecoder
    encode_request: RequestEncoder
    decode_reply: ReplyDecoder


class FrontServer(NamedTuple):
    """Serves callers' requests.

    Parameters
    ----------
    run
        Serves until cancelled.
    drain
        Asks callers to come to another instance.
    close
        Takes no more requests; those that run go on.
    running
        Returns how many requests run.
    """

    run: Callable[[], Awaitable[None]]
    drain: Callable[[], None]
    close: Callable[[], Awaitable[None]]
    running: Callable[[], int]


class ControlServer(NamedTuple):
    """Serves calls of replicas, operators and the platform until cancelled."""

    run: Callable[[], Awaitable[None]]


class Gateway:
    """A gateway instance; `run` serves until the process is told to stop.

    Parameters
    ----------
    process_started_at
        When the process began, by `clock`; None if unknown.
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
        self._routing = RoutingState(formats.decode_document)
        self._directory = ReplicaDirectory(
            settings.notice_interval * _MISSED_NOTICES, _FORGET_REPLICA
        )
        self._instances = Instances(settings, clock, random)
        self._members = self._instances.members
        self._peers = self._instances.peers
        self._replica_gossip = ReplicaGossip(
            self._directory, self._members, self._peers, clock, random
        )
        limits = settings.retry_budget
        budget = RetryBudget(
            limits.ratio, limits.fixed, limits.window, clock, self._instances.count
        )
        self._balancer = LoadBalancer(
            self._directory, budget, clock, random, settings.data_centre
        )
        self._connections = ReplicaConnections(
            settings,
            self._routing,
            self._directory,
            self._balancer,
            clock,
            self._instances.count,
        )
        self._dispatcher: Dispatcher | None = None

    @property
    def ready(self) -> bool:
        """Whether new callers are welcome."""
        return self._members.own_record.state is InstanceState.SERVING

    @property
    def caller_limits(self) -> CallerLimits:
        """What callers may send."""
        table = self._routing.table
        return CallerLimits() if table is None else table.document.limits

    @property
    def settings(self) -> GatewaySettings:
        """The settings of the process."""
        return self._settings

    async def answer(
        self, request: CallerRequest
    ) -> Result[ReplicaReply | GatheredAnswer, ForwardFailure]:
        """Answer a caller's request."""
        assert self._dispatcher is not None
        return await self._dispatcher.answer(request)

    async def put_document(
        self, document: RoutingDocument
    ) -> Result[int, Failure | InvalidDocument]:
        """Agree on a routing document."""
        proposer = NamespaceProposer(self._agreement, StateNamespace.ROUTING)
        return await put_document(document, self._routing, proposer, self._clock)

    def document(self) -> Result[RoutingDocument | None, NotConfirmed]:
        """Return the newest routing document."""
        return current_document(self._routing, self._agreement)

    async def accept_notice(
        self, notice: ReplicaNotice
    ) -> Result[None, NoticeUnconfirmed]:
        """Take a replica's announcement."""
        return await self._replica_gossip.accept(notice)

    async def deregister_replica(self, replica: str) -> Result[None, NoticeUnconfirmed]:
        """Take a replica's word that it is gone."""
        return await self._replica_gossip.leave(replica)

    def addresses(self) -> AddressList:
        """Return the addresses that callers connect to."""
        now = self._clock.monotonic_time()
        lasting = self._settings.grace_period - _FINISH_TIME - _LIST_MARGIN
        lifetime = min(self._settings.address_lifetime, lasting)
        return addresses_for(self._members, now, lifetime)

    def metrics(self) -> bytes:
        """Return counters and histograms as text."""
        ROUTING_VERSION.set(self._routing.version)
        REPLICA_CHANNELS.set(self._connection_pool.open_count)
        AGREEMENT_TERM.set(self._agreement.term)
        AGREEMENT_LEADS.set(self._agreement.leader == self._settings.name)
        text: bytes = generate_latest()
        return text

    async def run(
        self,
        servers: Callable[["Gateway"], tuple[FrontServer, list[ControlServer]]],
        reload: Callable[[], GatewaySettings | None],
    ) -> int:
        """Serve until SIGTERM or SIGINT; return the exit code.

        Parameters
        ----------
        reload
            Returns the settings of the process as they are now; None if unreadable.
        """
        signals = SignalListener((SIGTERM, SIGINT, SIGHUP))
        tree = SettingsState(self._violations)
        ledger = Ledger(self._violations, tree.tree.duration("/", "effects.retention"))
        state = ReplicatedState(tree, ledger, self._routing)
        try:
            self._agreement = await open_gateway_log(
                self._settings,
                self._clock,
                self._peers,
                self._violations,
                state,
                self._process_started_at,
            )
        except OSError as error:
            _log.critical("gateway_failed", reason=str(LogStopped(str(error))))
            return _FAILED
        self._instances.attach(self._agreement, self._replica_gossip)
        _log.info(
            "gateway_started",
            instance=self._settings.name,
            data_centre=self._settings.data_centre,
            disk=self._settings.data_folder is not None,
            first_start=self._settings.first_start,
            loaded_ms=self._loading_time(),
        )
        async with TaskGroup(wait=None) as group:
            connection_pool = ConnectionPool(
                self._clock,
                self._formats.decode_reply,
                group,
                self._connections.limits,
            )
            self._connection_pool = connection_pool
            dependencies = DispatchDependencies(
                self._balancer,
                connection_pool,
                self._formats.encode_request,
                self._clock,
            )
            self._dispatcher = Dispatcher(self._routing, dependencies)
            front, opened = servers(self)
            await group.spawn(
                self._peers.run, self._instances.first_peers(), self._receive
            )
            orders = Queue()
            await group.spawn(self._take_part, orders)
            await group.spawn(_receive_signals, signals, orders)
            await group.spawn(self._replica_gossip.run)
            await group.spawn(connection_pool.run, self._connections.has_ended)
            await group.spawn(
                self._connections.keep_warm, connection_pool, lambda: self.ready
            )
            await group.spawn(self._instances.gossip)
            await group.spawn(self._instances.follow_leader)
            for server in opened:
                await group.spawn(server.run)
            await group.spawn(self._start_serving, front.run)
            while True:
                match await orders.get():
                    case LogStopped() as failure:
                        _log.critical("gateway_failed", reason=str(failure))
                        return _FAILED
                    case Signals.SIGHUP:
                        await self._reload(reload())
                    case _:
                        await self._stop(front)
                        return 0

    def _loading_time(self) -> float | None:
        """Return the milliseconds since the process began, if known."""
        if self._process_started_at is None:
            return None
        return (self._clock.monotonic_time() - self._process_started_at) / timedelta(
            milliseconds=1
        )

    async def _take_part(self, orders: Queue) -> None:
        """Take part in the replicated log; tell when that ends.

        Without it the gateway would go on with a configuration that is overtaken, so
        the process ends and is started again.
        """
        try:
            await self._agreement.run()
            reason = "its tasks have ended"
        except (OSError, CurioError, RuntimeError) as error:
            reason = repr(error)
        await orders.put(LogStopped(reason))

    async def _start_serving(self, serve: Callable[[], Awaitable[None]]) -> None:
        """Serve once the routing is current, so that no older one comes in force.

        Callers are not accepted before: a refused connection sends them to another
        instance at once.
        """
        limit = None if self._settings.data_folder is None else _CONFIRM_LIMIT
        current = await wait_until_caught_up(self._agreement, self._clock, limit)
        while self._routing.table is None:
            await self._clock.sleep(_STOP_POLL)
        if self._members.own_record.state is InstanceState.STARTING:
            await self._instances.change_state(InstanceState.SERVING)
        _log.info(
            "gateway_serving",
            address=str(self._settings.addresses.front),
            version=self._routing.version,
            confirmed=current,
        )
        await serve()

    async def _stop(self, front: FrontServer) -> None:
        """Withdraw from address lists, serve those who hold it, finish, end."""
        began_at = self._clock.monotonic_time()
        await self._instances.change_state(InstanceState.LEAVING)
        _log.info("gateway_stopping")
        front.drain()
        await self._clock.with_timeout(
            _HAND_OVER_LIMIT, self._agreement.transfer_leadership()
        )
        taking_until = began_at + self._settings.grace_period - _FINISH_TIME
        await self._clock.sleep(taking_until - self._clock.monotonic_time())
        await front.close()
        latest = began_at + self._settings.grace_period - _STOP_MARGIN
        while front.running() and self._clock.monotonic_time() < latest:
            await self._clock.sleep(_STOP_POLL)
        _log.info("gateway_stopped")

    async def _reload(self, settings: GatewaySettings | None) -> None:
        if settings is None:
            return
        _log.info("settings_reloaded", seeds=[str(seed) for seed in settings.seeds])
        for seed in settings.seeds:
            await self._instances.know(str(seed), seed)

    async def _receive(self, envelope: Envelope) -> None:
        now = self._clock.monotonic_time()
        sender = envelope.sender.name
        self._members.record_message(envelope.sender, now)
        match envelope.message:
            case Heartbeat() | KnownInstances() as message:
                await self._instances.receive(message, now)
            case message if isinstance(message, AgreementMessage):
                await self._agreement.handle(sender, message)
            case (
                ReplicaNotices()
                | ReplicasHeard()
                | ReplicasLeft()
                | NoticesSeen()
                | NoticeDigest() as message
            ):
                await self._replica_gossip.receive(sender, message)


async def _receive_signals(signals: SignalListener, orders: Queue) -> None:
    while True:
        await orders.put(await signals.receive())
