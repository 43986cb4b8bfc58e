"""One entry instance: assembles state, commands, queries and connections."""

from datetime import timedelta
from signal import SIGINT, SIGTERM

from curio import TaskGroup
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._peer_messages import Envelope, Heartbeat, Stopped
from lovagetray._process_settings import ProcessSettings
from lovagetray._signals import SignalListener
from lovagetray._types import InstanceId
from lovagetray._violations import Violations
from lovagetray.commands.membership import digest
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
from lovagetray.targets import HttpDialer, PoolTools, TargetAccess
from lovagetray.wire import HttpServer, Peers, encode_failure

_log = get_logger()
_SUSPICION = timedelta(milliseconds=1500)
_HOUSEKEEPING = timedelta(seconds=1)
_FORGET_TARGET = timedelta(minutes=1)
_ADDRESS_LIFETIME = timedelta(seconds=10)
_STOP_POLL = timedelta(milliseconds=100)
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
            self._targets = self._target_access(group)
            server = HttpServer(self._router().handle, encode_failure, self._clock)
            listener = server.listen(self._settings.http_address)
            await group.spawn(self._peers.run, self._settings.peers, self._receive)
            await group.spawn(server.run, listener)
            await group.spawn(self._keep_house)
            await group.spawn(self._targets.run)
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
        if await self._targets.release_all(_RELEASE_LIMIT):
            await self._peers.broadcast(Stopped())
            await self._clock.sleep(_STOP_POLL)
        _log.info("instance_stopped")

    def _target_access(self, group: TaskGroup) -> TargetAccess:
        return TargetAccess(
            self._directory,
            self._members,
            MemberLease(self._members, self._clock),
            self._peers,
            lambda: self._peers.names,
            PoolTools(HttpDialer(self._clock), self._clock, self._violations),
            group,
        )

    def _router(self) -> Router:
        searcher = Searcher(
            self._directory, self._targets.router, self._clock, self._violations
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
            case _:
                await self._targets.handle(envelope)

    async def _keep_house(self) -> None:
        """Compare announcements with peers and expire old state, each second."""
        while True:
            await self._clock.sleep(_HOUSEKEEPING)
            now = self._clock.elapsed()
            self._directory.note_round(now)
            self._directory.expire(now, _FORGET_TARGET)
            await self._peers.broadcast(Heartbeat(self._members.myself))
            await self._peers.broadcast(digest(self._directory))

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
