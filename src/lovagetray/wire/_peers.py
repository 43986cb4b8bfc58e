"""Connections between instances: one task for each peer, over pyzmq."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from curio import Queue, TaskGroup
from curio.traps import _read_wait
from expression import Result
from prometheus_client import Counter
from structlog import get_logger
from zmq import (
    CONNECT_TIMEOUT,
    DEALER,
    EVENTS,
    FD,
    IMMEDIATE,
    LINGER,
    NOBLOCK,
    POLLIN,
    RCVHWM,
    ROUTER,
    SNDHWM,
    Again,
    Context,
)

from lovagetray._clock import Clock
from lovagetray._peer_messages import (
    CancelSubRequests,
    Envelope,
    PeerMessage,
    RunSubRequests,
    SubRequestOutcomes,
)
from lovagetray._types import Address, InstanceId
from lovagetray.wire._peer_codec import decode_envelope, encode_envelope

_log = get_logger()
_dropped_total = Counter(
    "lovagetray_peer_messages_dropped_total",
    "Messages to a peer that were not sent because no connection was open",
    ["peer"],
)
_HIGH_WATER_MESSAGES = 10_000
HEARTBEAT = timedelta(milliseconds=500)
_FIRST_PAUSE = timedelta(milliseconds=100)
# A machine without power answers no connection attempt, and the system sends a lost one
# again only after a second; instances are at most 2 ms apart.
_CONNECT_LIMIT = timedelta(milliseconds=400)

MessageHandler = Callable[[Envelope], Awaitable[None]]


class PeerTransport:
    """Sends messages to other instances and hands received ones to a handler.

    pyzmq loses messages silently on reconnect and beyond its high-water mark, so every
    request between peers needs an id and a time limit of its own.

    Parameters
    ----------
    heartbeat
        Returns the message that a peer gets when nothing else was sent to it.
    time_since_heard
        Returns how long a peer has been silent.
    failure_timeout
        Silence after which the connection to a peer is opened anew.
    interval
        A peer gets a heartbeat when nothing else was sent for this long.
    interval_factor
        Returns the factor by which interval and suspicion are longer.
    """

    def __init__(
        self,
        myself: InstanceId,
        address: Address,
        clock: Clock,
        heartbeat: Callable[[], PeerMessage],
        time_since_heard: Callable[[str], timedelta],
        failure_timeout: timedelta,
        interval: timedelta = HEARTBEAT,
        interval_factor: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._pace = interval_factor
        self._interval = interval
        self._myself = myself
        self._address = address
        self._clock = clock
        self._heartbeat = heartbeat
        self._time_since_heard = time_since_heard
        self._suspicion = failure_timeout
        self._context = Context()
        self._outboxes: dict[str, Queue] = {}
        self._group: TaskGroup | None = None

    @property
    def names(self) -> tuple[str, ...]:
        """The peers that this instance sends to."""
        return tuple(self._outboxes)

    async def add(self, name: str, address: Address) -> None:
        """Start to send to a peer; does nothing for a known one."""
        if name in self._outboxes or self._group is None:
            return
        self._outboxes[name] = Queue()
        await self._group.spawn(self._send_to, name, address)

    async def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message to a peer; return whether the peer is known."""
        outbox = self._outboxes.get(name)
        if outbox is None:
            return False
        await outbox.put(message)
        return True

    async def broadcast(self, message: PeerMessage) -> None:
        """Queue a message to every peer."""
        for outbox in self._outboxes.values():
            await outbox.put(message)

    async def run(self, peers: dict[str, Address], handler: MessageHandler) -> None:
        """Exchange messages with `peers` until cancelled."""
        try:
            async with TaskGroup(wait=any) as group:
                self._group = group
                await group.spawn(self._receive, handler)
                for name, address in peers.items():
                    await self.add(name, address)
        finally:
            self._context.destroy(linger=200)

    async def _receive(self, handler: MessageHandler) -> None:
        socket = self._context.socket(ROUTER)
        socket.setsockopt(RCVHWM, _HIGH_WATER_MESSAGES)
        socket.bind(f"tcp://{self._address}")
        while True:
            _, *frames = await _receive_frames(socket)
            match decode_envelope(frames):
                case Result(tag="ok", ok=envelope):
                    await handler(envelope)
                case Result(error=failure):
                    _log.warning("peer_message_malformed", reason=str(failure))

    async def _send_to(self, name: str, address: Address) -> None:
        outbox = self._outboxes[name]
        socket = self._connect(address)
        connected_at = self._clock.monotonic_time()
        while True:
            # The first messages to a peer are lost if it is not connected yet.
            interval_factor = self._pace()
            failure_timeout, pause = (
                self._suspicion * interval_factor,
                self._interval * interval_factor,
            )
            if self._time_since_heard(name) > failure_timeout:
                pause = min(pause, _FIRST_PAUSE)
            taken = await self._clock.with_timeout(pause, outbox.get())
            match taken:
                case Result(tag="ok", ok=first):
                    messages = await _take_waiting(first, outbox)
                case _:
                    messages = [self._heartbeat()]
            for message in messages:
                self._send_now(socket, name, message)
            age = self._clock.monotonic_time() - connected_at
            if min(self._time_since_heard(name), age) > failure_timeout:
                socket.close(linger=0)
                socket = self._connect(address)
                connected_at = self._clock.monotonic_time()

    def _connect(self, address: Address) -> Any:
        socket = self._context.socket(DEALER)
        socket.setsockopt(SNDHWM, _HIGH_WATER_MESSAGES)
        socket.setsockopt(LINGER, 0)
        socket.setsockopt(CONNECT_TIMEOUT, _CONNECT_LIMIT // timedelta(milliseconds=1))
        # Messages to a peer without a connection are dropped, not kept for later.
        socket.setsockopt(IMMEDIATE, 1)
        socket.connect(f"tcp://{address}")
        return socket

    def _send_now(self, socket: Any, name: str, message: PeerMessage) -> None:
        try:
            socket.send_multipart(
                encode_envelope(Envelope(self._myself, message)), NOBLOCK
            )
        except Again:
            _dropped_total.labels(name).inc()


async def _receive_frames(socket: Any) -> list[bytes]:
    while True:
        try:
            frames: list[bytes] = socket.recv_multipart(NOBLOCK)
            return frames
        except Again:
            pass
        # The descriptor is edge-triggered: check for messages before waiting.
        if not socket.getsockopt(EVENTS) & POLLIN:
            await _read_wait(socket.getsockopt(FD))


async def _take_waiting(first: PeerMessage, outbox: Queue) -> list[PeerMessage]:
    """Return all waiting messages, with sub-requests and outcomes each joined."""
    waiting = [first]
    for _ in range(outbox.qsize()):
        waiting.append(await outbox.get())
    return coalesce_messages(waiting)


def coalesce_messages(messages: list[PeerMessage]) -> list[PeerMessage]:
    """Return `messages` with sub-requests, outcomes and cancels joined into one each.

    A cancel follows the sub-requests, so that it finds them at the owner.
    """
    joined: list[PeerMessage] = []
    requests: list[RunSubRequests] = []
    outcomes: list[SubRequestOutcomes] = []
    cancels: list[CancelSubRequests] = []
    for message in messages:
        match message:
            case RunSubRequests():
                requests.append(message)
            case SubRequestOutcomes():
                outcomes.append(message)
            case CancelSubRequests():
                cancels.append(message)
            case _:
                joined.append(message)
    if requests:
        joined.append(
            RunSubRequests(tuple(one for part in requests for one in part.requests))
        )
    if cancels:
        joined.append(
            CancelSubRequests(
                tuple(one for part in cancels for one in part.request_ids)
            )
        )
    if outcomes:
        joined.append(
            SubRequestOutcomes(tuple(one for part in outcomes for one in part.outcomes))
        )
    return joined
