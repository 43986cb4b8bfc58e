"""One entry instance: assembles state, commands, queries and connections."""

from datetime import timedelta
from signal import SIGINT, SIGTERM

from curio import TaskGroup
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._peer_messages import (
    Announced,
    AnnouncementDigest,
    CancelSubRequests,
    ClaimReplicas,
    Envelope,
    ExecutionOutcomes,
    Heartbeat,
    ReleasedReplicas,
    RunExecutions,
    RunSubRequests,
    Stopped,
    SubRequestOutcomes,
)
from lovagetray._process_settings import ProcessSettings
from lovagetray._signals import SignalListener
from lovagetray._types import InstanceId
from lovagetray._violations import Violations
from lovagetray.commands.membership import (
    OwnershipTransfer,
    accept_relayed,
    digest,
    newer_than,
)
from lovagetray.entry._command_routes import CommandRoutes
from lovagetray.entry._query_routes import QueryRoutes
from lovagetray.entry._router import Router
from lovagetray.queries.search import Searcher
from lovagetray.state import (
    Directory,
    InstanceRecord,
    InstanceState,
    MemberLease,
    Members,
)
from lovagetray.targets import HttpDialer, OwnerRouter, PoolTools, ReplicaPools
from lovagetray.wire import HttpServer, Peers, encode_failure

_log = get_logger()
_SUSPICION = timedelta(milliseconds=1500)
_HOUSEKEEPING = timedelta(seconds=1)
_FORGET_TARGET = timedelta(minutes=1)
_ADDRESS_LIFETIME = timedelta(seconds=10)
_STOP_POLL = timedelta(milliseconds=100)
_OWNERSHIP_ROUND = timedelta(milliseconds=100)
_ORPHAN_LIMIT = timedelta(minutes=10)
_RELEASE_LIMIT = timedelta(seconds=5)


class EntryInstance:
    """An entry instance; `run` serves until the process is told to stop."""

    def __init__(self, settings: ProcessSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._violations = Violations()
        self._directory = Directory(timedelta(seconds=3))
        self._members = Members(_own_record(settings, clock), _SUSPICION)
        self._peers = Peers(
            self._members.myself.instance,
            settings.peer_address,
            clock,
            lambda: Heartbeat(self._members.myself),
            self._silence_of,
            _SUSPICION,
        )

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT; return the exit code."""
        signals = SignalListener((SIGTERM, SIGINT))
        async with TaskGroup(wait=None) as group:
            self._assemble_targets(group)
            server = HttpServer(self._router().handle, encode_failure, self._clock)
            listener = server.listen(self._settings.http_address)
            await group.spawn(self._peers.run, self._settings.peers, self._receive)
            await group.spawn(server.run, listener)
            await group.spawn(self._keep_house)
            await group.spawn(self._keep_ownership)
            self._members.change_own_state(InstanceState.SERVING)
            _log.info("instance_serving", address=str(self._settings.http_address))
            await signals.receive()
            await self._stop(server, signals)
        return 0

    async def _stop(self, server: HttpServer, signals: SignalListener) -> None:
        """Withdraw from address lists, serve those who hold it, finish, close."""
        self._members.change_own_state(InstanceState.LEAVING)
        await self._peers.broadcast(Heartbeat(self._members.myself))
        _log.info("instance_stopping")
        await self._clock.within(_ADDRESS_LIFETIME, signals.receive())
        await server.close_idle()
        while server.open_connections:
            await self._clock.sleep(_STOP_POLL)
        await self._release_replicas()
        _log.info("instance_stopped")

    async def _release_replicas(self) -> None:
        """Let running work at replicas end and tell the new owners."""
        end = self._clock.elapsed() + _RELEASE_LIMIT
        await self._ownership.release_all(self._pools)
        while self._ownership.held() and self._clock.elapsed() < end:
            await self._clock.sleep(_STOP_POLL)
            await self._ownership.release_all(self._pools)
        if not self._ownership.held():
            await self._peers.broadcast(Stopped())
            await self._clock.sleep(_STOP_POLL)

    def _assemble_targets(self, group: TaskGroup) -> None:
        self._ownership = OwnershipTransfer(
            self._directory,
            self._members,
            MemberLease(self._members, self._clock),
            self._peers,
            lambda: self._peers.names,
            self._clock,
            _ORPHAN_LIMIT,
        )
        tools = PoolTools(HttpDialer(self._clock), self._clock, self._violations)
        self._pools = ReplicaPools(
            self._directory, self._ownership.allowance, tools, group
        )
        self._owners = OwnerRouter(
            self._directory,
            self._members,
            self._ownership,
            self._pools,
            self._peers,
            self._clock,
        )

    def _router(self) -> Router:
        searcher = Searcher(
            self._directory, self._owners, self._clock, self._violations
        )
        queries = QueryRoutes(searcher, self._directory, self._members, self._clock)
        commands = CommandRoutes(
            self._directory, self._members, self._peers, self._clock
        )
        return Router(
            {
                ("POST", "/v1/search"): queries.search,
                ("GET", "/v1/addresses"): queries.addresses,
                ("GET", "/v1/status"): queries.status,
                ("GET", "/metrics"): queries.metrics,
                ("GET", "/healthz"): queries.health,
                ("GET", "/readyz"): queries.ready,
                ("POST", "/v1/announce"): commands.announce,
            }
        )

    async def _receive(self, envelope: Envelope) -> None:
        now = self._clock.elapsed()
        self._members.heard(envelope.sender, now)
        match envelope.message:
            case Heartbeat(record=record):
                self._members.saw(record, now)
                await self._peers.add(record.instance.name, record.peer_address)
            case Announced() as announced:
                accept_relayed(self._directory, announced, self._clock)
            case AnnouncementDigest() as held:
                newer = newer_than(self._directory, held, self._clock)
                if newer.items:
                    await self._peers.send(envelope.sender.name, newer)
            case RunSubRequests() | RunExecutions() as batch:
                await self._owners.run_for_peer(envelope.sender, batch)
            case SubRequestOutcomes() | ExecutionOutcomes() as outcomes:
                await self._owners.accept_outcomes(outcomes)
            case CancelSubRequests() as cancelled:
                await self._owners.cancel_for_peer(cancelled)
            case ClaimReplicas() as claims:
                await self._ownership.claimed(envelope.sender, claims, self._pools)
            case ReleasedReplicas() as released:
                self._ownership.released(envelope.sender, released)
            case Stopped():
                self._ownership.stopped(envelope.sender)

    async def _keep_house(self) -> None:
        """Compare announcements with peers and expire old state, each second."""
        while True:
            await self._clock.sleep(_HOUSEKEEPING)
            now = self._clock.elapsed()
            self._directory.note_round(now)
            self._directory.expire(now, _FORGET_TARGET)
            await self._peers.broadcast(Heartbeat(self._members.myself))
            await self._peers.broadcast(digest(self._directory))

    async def _keep_ownership(self) -> None:
        """Follow the list of live instances and apply limits, every 100 ms."""
        while True:
            await self._owners.keep()
            await self._clock.sleep(_OWNERSHIP_ROUND)

    def _silence_of(self, name: str) -> timedelta:
        heard_at = self._members.heard_at(name)
        if heard_at is None:
            return timedelta.max
        return self._clock.elapsed() - heard_at


def _own_record(settings: ProcessSettings, clock: Clock) -> InstanceRecord:
    incarnation = f"{clock.now():%Y%m%dT%H%M%S.%f}"
    return InstanceRecord(
        instance=InstanceId(settings.name, incarnation),
        state=InstanceState.STARTING,
        data_centre=settings.data_centre,
        http_address=settings.http_address,
        peer_address=settings.peer_address,
    )
