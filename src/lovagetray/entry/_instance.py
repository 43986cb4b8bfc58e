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
    Envelope,
    Heartbeat,
    RunSubRequests,
    SubRequestOutcomes,
)
from lovagetray._process_settings import ProcessSettings
from lovagetray._signals import SignalListener
from lovagetray._types import InstanceId
from lovagetray._violations import Violations
from lovagetray.commands.membership import accept_relayed, digest, newer_than
from lovagetray.entry._command_routes import CommandRoutes
from lovagetray.entry._query_routes import QueryRoutes
from lovagetray.entry._router import Router
from lovagetray.queries.search import Searcher
from lovagetray.state import Directory, InstanceRecord, InstanceState, Members
from lovagetray.targets import OwnerRouter
from lovagetray.wire import HttpServer, Peers, encode_failure

_log = get_logger()
_SUSPICION = timedelta(milliseconds=1500)
_HOUSEKEEPING = timedelta(seconds=1)
_FORGET_TARGET = timedelta(minutes=1)
_ADDRESS_LIFETIME = timedelta(seconds=10)
_STOP_POLL = timedelta(milliseconds=100)


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
            self._owners = OwnerRouter(
                self._directory, self._members, self._peers, self._clock, group
            )
            server = HttpServer(self._router().handle, encode_failure, self._clock)
            listener = server.listen(self._settings.http_address)
            await group.spawn(self._peers.run, self._settings.peers, self._receive)
            await group.spawn(server.run, listener)
            await group.spawn(self._keep_house)
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
        _log.info("instance_stopped")

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
            case RunSubRequests() as batch:
                await self._owners.run_for_peer(envelope.sender, batch)
            case SubRequestOutcomes() as outcomes:
                await self._owners.accept_outcomes(outcomes)
            case CancelSubRequests():
                pass

    async def _keep_house(self) -> None:
        """Compare announcements with peers and expire old state, each second."""
        while True:
            await self._clock.sleep(_HOUSEKEEPING)
            self._directory.expire(self._clock.elapsed(), _FORGET_TARGET)
            await self._owners.fail_silent_peers()
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
