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
    ReplicaState,
    RoutingDocument,
)
from lovagetray._signals import SignalListener
from lovagetray._telemetry import (
    AGREEMENT_LEADS,
    AGREEMENT_TERM,
    REPLICA_CHANNELS,
    ROUTING_VERSION,
)
from lovagetray._types import Address, InstanceId
from lovagetray._violations import Violations
from lovagetray.commands.announcing import Announcing
from lovagetray.commands.routing import put_document
from lovagetray.gateway._dispatcher import Dispatcher
from lovagetray.gateway._gateway_log import open_gateway_log
from lovagetray.queries.dispatch import DispatchTools, RequestEncoder
from lovagetray.queries.gathering import GatheredAnswer
from lovagetray.queries.placing import ExtraBudget, Placement, connection_limits
from lovagetray.queries.routing import AddressList, addresses_for, current_document
from lovagetray.replicated import (
    Part,
    PartProposer,
    ReplicatedState,
    wait_until_current,
)
from lovagetray.state import (
    DocumentDecoder,
    InstanceRecord,
    InstanceState,
    Ledger,
    Members,
    ReplicaBook,
    RoutingState,
    SettingsState,
    route_services,
)
from lovagetray.targets import Channels, ConnectionLimits, ReplyDecoder
from lovagetray.wire import Peers

_log = get_logger()
# Callers wait a second for an instance that does not answer.
_HEARTBEAT = timedelta(milliseconds=300)
_SUSPICION = timedelta(milliseconds=950)
_HOUSEKEEPING = timedelta(seconds=1)
# Exit code of a gateway that can no longer take part in the replicated log.
_FAILED = 1
# So many instances hear each other directly; 11 cost each 0.03 of a core.
_FULL_PACE = 12
# How often the leader's list of live instances is looked at, and how old it may be.
_FOLLOW = timedelta(milliseconds=250)
_LIST_AGE = timedelta(seconds=2)
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
# Connections opened ahead in one round, so that a start does not crowd the replicas.
_WARM_EACH_ROUND = 12


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


class CallServer(NamedTuple):
    """Serves calls of replicas, operators and the platform until cancelled."""

    run: Callable[[], Awaitable[None]]


class Gateway:
    """A gateway instance; `run` serves until the process is told to stop.

    Parameters
    ----------
    began_at
        When the process began, by `clock`; None if unknown.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        formats: GatewayFormats,
        clock: Clock,
        began_at: timedelta | None = None,
    ) -> None:
        self._began_at = began_at
        self._settings = settings
        self._formats = formats
        self._clock = clock
        self._random = Random(SystemRandom().getrandbits(64))
        self._violations = Violations()
        self._routing = RoutingState(formats.decode_document)
        self._book = ReplicaBook(
            settings.notice_interval * _MISSED_NOTICES, _FORGET_REPLICA
        )
        self._members = Members(
            _own_record(settings, self._random), _SUSPICION, _FULL_PACE
        )
        self._peers = Peers(
            self._members.myself.instance,
            settings.addresses.peer,
            clock,
            self._heartbeat,
            self._silence_of,
            _SUSPICION,
            _HEARTBEAT,
            lambda: self._members.pace,
        )
        self._announcing = Announcing(
            self._book, self._members, self._peers, clock, self._random
        )
        limits = settings.extra_attempts
        budget = ExtraBudget(
            limits.ratio, limits.fixed, limits.window, clock, self._instances
        )
        self._placement = Placement(
            self._book, budget, clock, self._random, settings.data_centre
        )
        self._dispatcher: Dispatcher | None = None

    @property
    def ready(self) -> bool:
        """Whether new callers are welcome."""
        return self._members.myself.state is InstanceState.SERVING

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
        proposer = PartProposer(self._agreement, Part.ROUTING)
        return await put_document(document, self._routing, proposer, self._clock)

    def document(self) -> Result[RoutingDocument | None, NotConfirmed]:
        """Return the newest routing document."""
        return current_document(self._routing, self._agreement)

    async def accept_notice(
        self, notice: ReplicaNotice
    ) -> Result[None, NoticeUnconfirmed]:
        """Take a replica's announcement."""
        return await self._announcing.accept(notice)

    async def accept_leaving(self, replica: str) -> Result[None, NoticeUnconfirmed]:
        """Take a replica's word that it is gone."""
        return await self._announcing.leave(replica)

    def addresses(self) -> AddressList:
        """Return the addresses that callers connect to."""
        now = self._clock.elapsed()
        lasting = self._settings.grace - _FINISH_TIME - _LIST_MARGIN
        lifetime = min(self._settings.address_lifetime, lasting)
        return addresses_for(self._members, now, lifetime)

    def metrics(self) -> bytes:
        """Return counters and histograms as text."""
        ROUTING_VERSION.set(self._routing.version)
        REPLICA_CHANNELS.set(self._channels.open_count)
        AGREEMENT_TERM.set(self._agreement.term)
        AGREEMENT_LEADS.set(self._agreement.leader == self._settings.name)
        text: bytes = generate_latest()
        return text

    async def run(
        self,
        servers: Callable[["Gateway"], tuple[FrontServer, list[CallServer]]],
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
                self._began_at,
            )
        except OSError as error:
            _log.critical("gateway_failed", reason=str(LogStopped(str(error))))
            return _FAILED
        _log.info(
            "gateway_started",
            instance=self._settings.name,
            data_centre=self._settings.data_centre,
            disk=self._settings.data_folder is not None,
            first_start=self._settings.first_start,
            loaded_ms=self._loading_time(),
        )
        async with TaskGroup(wait=None) as group:
            channels = Channels(
                self._clock,
                self._formats.decode_reply,
                group,
                self._connection_limits,
            )
            self._channels = channels
            tools = DispatchTools(
                self._placement, channels, self._formats.encode_request, self._clock
            )
            self._dispatcher = Dispatcher(self._routing, tools)
            front, opened = servers(self)
            await group.spawn(self._peers.run, self._first_peers(), self._receive)
            orders = Queue()
            await group.spawn(self._take_part, orders)
            await group.spawn(_receive_signals, signals, orders)
            await group.spawn(self._announcing.run)
            await group.spawn(channels.run, self._has_ended)
            await group.spawn(self._keep_house)
            await group.spawn(self._follow_leader)
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
        if self._began_at is None:
            return None
        return (self._clock.elapsed() - self._began_at) / timedelta(milliseconds=1)

    def _first_peers(self) -> dict[str, Address]:
        """Return the seeds and the voters that the log on the disk names.

        The seeds may be down or exchanged at a restart; the voters must still find
        each other.
        """
        peers = {str(seed): seed for seed in self._settings.seeds}
        for name in self._agreement.voters.names:
            peers[name] = Address.parse(name)
        peers.pop(self._settings.name, None)
        return peers

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
        current = await wait_until_current(self._agreement, self._clock, limit)
        while self._routing.table is None:
            await self._clock.sleep(_STOP_POLL)
        if self._members.myself.state is InstanceState.STARTING:
            self._members.change_own_state(InstanceState.SERVING)
            await self._peers.broadcast(self._heartbeat())
        _log.info(
            "gateway_serving",
            address=str(self._settings.addresses.front),
            version=self._routing.version,
            confirmed=current,
        )
        await serve()

    async def _stop(self, front: FrontServer) -> None:
        """Withdraw from address lists, serve those who hold it, finish, end."""
        began_at = self._clock.elapsed()
        self._members.change_own_state(InstanceState.LEAVING)
        await self._peers.broadcast(self._heartbeat())
        _log.info("gateway_stopping")
        front.drain()
        await self._clock.within(_HAND_OVER_LIMIT, self._agreement.hand_over())
        taking_until = began_at + self._settings.grace - _FINISH_TIME
        await self._clock.sleep(taking_until - self._clock.elapsed())
        await front.close()
        latest = began_at + self._settings.grace - _STOP_MARGIN
        while front.running() and self._clock.elapsed() < latest:
            await self._clock.sleep(_STOP_POLL)
        _log.info("gateway_stopped")

    async def _reload(self, settings: GatewaySettings | None) -> None:
        if settings is None:
            return
        _log.info("settings_reloaded", seeds=[str(seed) for seed in settings.seeds])
        for seed in settings.seeds:
            await self._know(str(seed), seed)

    async def _know(self, name: str, address: Address) -> bool:
        """Talk to an instance from now on; False if it is known."""
        if name == self._settings.name or name in self._peers.names:
            return False
        await self._peers.add(name, address)
        await self._agreement.add_peer(name)
        await self._peers.send(name, self._heartbeat())
        return True

    async def _receive(self, envelope: Envelope) -> None:
        now = self._clock.elapsed()
        sender = envelope.sender.name
        self._members.heard(envelope.sender, now)
        match envelope.message:
            case Heartbeat(record=record):
                await self._meet(record, now)
            case KnownInstances(records=records):
                for record in records:
                    await self._know(record.instance.name, record.peer_address)
            case message if isinstance(message, AgreementMessage):
                await self._agreement.handle(sender, message)
            case (
                ReplicaNotices()
                | ReplicasHeard()
                | ReplicasLeft()
                | NoticesSeen()
                | NoticeDigest() as message
            ):
                await self._announcing.receive(sender, message)

    async def _meet(self, record: InstanceRecord, now: timedelta) -> None:
        """Take an instance's own record; tell a new one what is known here."""
        name = record.instance.name
        known = self._members.record(name)
        self._members.saw(record, now)
        await self._know(name, record.peer_address)
        if known is None or known.instance != record.instance:
            _log.info("instance_met", instance=name, state=record.state.value)
            await self._peers.send(name, self._heartbeat())
            await self._peers.send(name, self._known_instances())
            await self._announcing.ask(name)

    def _known_instances(self) -> KnownInstances:
        return KnownInstances(
            tuple(sighting.record for sighting in self._members.sightings())
        )

    async def _follow_leader(self) -> None:
        """Take over whom the leader counts as live, as long as its word is fresh."""
        while True:
            await self._clock.sleep(_FOLLOW)
            age = self._agreement.confirmed_age()
            if age is not None and age <= _LIST_AGE and self._agreement.live:
                self._members.vouch(self._agreement.live, self._clock.elapsed())

    async def _keep_house(self) -> None:
        """Tell one peer whom this instance knows and keep connections open."""
        while True:
            await self._clock.sleep(_HOUSEKEEPING)
            names = self._peers.names
            if names:
                await self._peers.send(
                    self._random.choice(names), self._known_instances()
                )
            await self._warm_up()

    async def _warm_up(self) -> None:
        """Open connections to replicas that will get work and have none."""
        table = self._routing.table
        if table is None or not self.ready:
            return
        services = {
            service
            for route in table.document.routes
            for service in route_services(route)
        }
        now = self._clock.elapsed()
        left = _WARM_EACH_ROUND
        for service in sorted(services):
            for notice in self._book.usable(service, now):
                record = self._placement.record(notice.replica)
                if self._channels.knows(notice) or now < record.avoid_until:
                    continue
                if not self._connection_limits(notice).usual:
                    continue
                await self._channels.connect(notice)
                left -= 1
                if not left:
                    return

    def _has_ended(self, replica: str) -> bool:
        notice = self._book.find(replica)
        if notice is not None and notice.state is not ReplicaState.LEFT:
            return False
        self._placement.forget(replica)
        return True

    def _connection_limits(self, notice: ReplicaNotice) -> ConnectionLimits:
        """Return this instance's part of a replica's connections."""
        table = self._routing.table
        spec = None if table is None else table.services.get(notice.service)
        if spec is None:
            return ConnectionLimits(1, 1)
        return connection_limits(
            notice,
            self._book.usable(notice.service, self._clock.elapsed()),
            spec.connections,
            self._instances(),
            self._settings.name,
            self._settings.data_centre,
        )

    def _instances(self) -> int:
        return len(self._members.sightings()) + 1

    def _heartbeat(self) -> Heartbeat:
        self._members.change_own_revision(max(0, self._routing.version))
        return Heartbeat(self._members.myself)

    def _silence_of(self, name: str) -> timedelta:
        return self._members.silence(name, self._clock.elapsed())


async def _receive_signals(signals: SignalListener, orders: Queue) -> None:
    while True:
        await orders.put(await signals.receive())


def _own_record(settings: GatewaySettings, random: Random) -> InstanceRecord:
    # Random, because wall clocks jump and two starts must never share an incarnation.
    incarnation = f"{random.getrandbits(64):016x}"
    return InstanceRecord(
        instance=InstanceId(settings.name, incarnation),
        state=InstanceState.STARTING,
        data_centre=settings.data_centre,
        http_address=settings.addresses.front,
        peer_address=settings.addresses.peer,
    )
