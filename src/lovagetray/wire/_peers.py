"""Messages between instances over pyzmq, with one sending task for each peer."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from curio import Queue, Task, TaskGroup
from curio.traps import _read_wait
from expression import Result
from prometheus_client import Counter
from structlog import get_logger
from zmq import (
    CONNECT_TIMEOUT,
    DEALER,
    EVENTS,
    FD,
    HANDSHAKE_IVL,
    HEARTBEAT_IVL,
    HEARTBEAT_TIMEOUT,
    IMMEDIATE,
    LINGER,
    MAXMSGSIZE,
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
from lovagetray._task_failures import report_task_failure, run_restarting
from lovagetray._types import Address, InstanceId
from lovagetray.wire._peer_codec import decode_envelope, encode_envelope

_log = get_logger()
_dropped_total = Counter(
    "lovagetray_peer_messages_dropped_total",
    "Messages to a peer that were not sent because no connection was open",
    ["peer"],
)
_sent_total = Counter(
    "lovagetray_peer_messages_sent_total", "Messages sent to peers", ["kind"]
)
_sent_bytes_total = Counter(
    "lovagetray_peer_bytes_sent_total",
    "Bytes of the frames of messages sent to peers",
    ["kind"],
)
_HIGH_WATER_MARK = 10_000
# Larger messages are refused with their connection. Snapshots are sent in chunks of
# 256 KB and a proposal has at most 1 MB.
_MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
_UNHEARD_PEER_INTERVAL = timedelta(milliseconds=100)
# Other messages show that this instance is alive, but not its state. A heartbeat goes
# with them this often, because the one that announced a change may have been lost.
_STATE_INTERVAL = timedelta(seconds=1)
# A machine without power does not answer a connection attempt, and the operating system
# repeats a lost one only after a second; instances are at most 2 ms apart.
_CONNECT_TIMEOUT = timedelta(milliseconds=400)
# The ZeroMQ library pings a connection that is otherwise unused at this interval, and
# replaces it if nothing comes back. Only this shows that a connection has gone silent:
# the peer may still be heard on the connection that it opened itself.
_PING_INTERVAL = timedelta(seconds=2)
_PING_TIMEOUT = timedelta(seconds=2)
# Connections of others than instances hold a descriptor until then; the library's own
# limit is 30 s. Instances need two round trips.
_HANDSHAKE_MILLISECONDS = 3_000

MessageHandler = Callable[[Envelope], Awaitable[None]]


class PeerTransport:
    """Transport that sends messages to peers and passes received ones to a handler.

    pyzmq loses messages silently when it reconnects and beyond its high-water mark, so
    every request between peers needs an id and a timeout of its own.

    Parameters
    ----------
    heartbeat
        Returns the message that is sent to a peer after `interval` without another one,
        and beside others at least every second.
    time_since_heard
        Returns the time since the last message from a peer.
    failure_timeout
        Silence after which the connection to a peer is replaced.
    interval
        Time without a message to a peer after which it is sent a heartbeat.
    is_close
        Returns whether a peer gets heartbeats at `interval`. The others get them at
        `distant_interval`, and only a failed ping replaces the connection to them.
    distant_interval
        Interval of the heartbeats to the other peers.
    """

    def __init__(
        self,
        own_id: InstanceId,
        address: Address,
        clock: Clock,
        heartbeat: Callable[[], PeerMessage],
        time_since_heard: Callable[[str], timedelta],
        failure_timeout: timedelta,
        interval: timedelta = _HEARTBEAT_INTERVAL,
        is_close: Callable[[str], bool] = lambda name: True,
        distant_interval: timedelta = _HEARTBEAT_INTERVAL,
    ) -> None:
        self._interval = interval
        self._is_close = is_close
        self._distant_interval = distant_interval
        self._own_id = own_id
        self._address = address
        self._clock = clock
        self._heartbeat = heartbeat
        self._time_since_heard = time_since_heard
        self._failure_timeout = failure_timeout
        self._context = Context()
        self._queues: dict[str, Queue] = {}
        self._tasks: dict[str, Task] = {}
        self._group: TaskGroup | None = None

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the peers that this instance sends to."""
        return tuple(self._queues)

    async def add(self, name: str, address: Address) -> None:
        """Start the task that sends to a peer, unless the peer is known."""
        if name in self._queues or self._group is None:
            return
        self._queues[name] = Queue()
        self._tasks[name] = await self._group.spawn(
            run_restarting,
            "peer_sender",
            self._clock,
            self._send_to_peer,
            name,
            address,
            daemon=True,
        )

    async def remove(self, name: str) -> None:
        """Stop sending to a peer and close the connection to it."""
        task = self._tasks.pop(name, None)
        if task is not None:
            await task.cancel()
            del self._queues[name]

    async def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message for a peer; return whether the peer is known."""
        queue = self._queues.get(name)
        if queue is None:
            return False
        await queue.put(message)
        return True

    async def broadcast(self, message: PeerMessage) -> None:
        """Queue a message for every known peer."""
        for queue in self._queues.values():
            await queue.put(message)

    async def run(self, peers: dict[str, Address], handler: MessageHandler) -> None:
        """Exchange messages with `peers` until cancelled.

        Raises
        ------
        ZMQError
            If the address of this instance cannot be bound.
        """
        try:
            listener = self._bind()
            async with TaskGroup(wait=any) as group:
                self._group = group
                await group.spawn(self._receive, listener, handler)
                for name, address in peers.items():
                    await self.add(name, address)
        finally:
            self._context.destroy(linger=200)

    def _bind(self) -> Any:
        socket = self._context.socket(ROUTER)
        socket.setsockopt(RCVHWM, _HIGH_WATER_MARK)
        socket.setsockopt(MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        socket.setsockopt(HANDSHAKE_IVL, _HANDSHAKE_MILLISECONDS)
        socket.bind(f"tcp://{self._address}")
        return socket

    async def _receive(self, listener: Any, handler: MessageHandler) -> None:
        while True:
            _, *frames = await _receive_frames(listener)
            match decode_envelope(frames):
                case Result(tag="ok", ok=envelope):
                    try:
                        await handler(envelope)
                    except Exception as error:
                        # One message that cannot be handled must not end the task that
                        # receives all others.
                        report_task_failure("peer_message", error)
                case Result(error=failure):
                    _log.warning("peer_message_malformed", reason=str(failure))

    async def _send_to_peer(self, name: str, address: Address) -> None:
        while True:
            socket = self._connect(address)
            try:
                await self._send_until_silent(socket, name)
            finally:
                socket.close(linger=0)

    async def _send_until_silent(self, socket: Any, name: str) -> None:
        """Send on one connection until it must be replaced."""
        queue = self._queues[name]
        connected_at = self._clock.monotonic_time()
        is_open = True
        state_due_at = connected_at
        while True:
            is_close = self._is_close(name)
            interval = self._interval if is_close else self._distant_interval
            # Messages to a peer that is not connected yet are lost, so it is sent
            # heartbeats more often, as is a peer that has not been heard.
            silence = self._time_since_heard(name)
            if not is_open or silence > max(self._failure_timeout, 3 * interval):
                interval = min(interval, _UNHEARD_PEER_INTERVAL)
            next_message = await self._clock.with_timeout(interval, queue.get())
            match next_message:
                case Result(tag="ok", ok=first):
                    messages = await _take_queued(first, queue)
                case _:
                    messages = []
            now = self._clock.monotonic_time()
            if not messages or now >= state_due_at:
                messages.append(self._heartbeat())
                state_due_at = now + max(interval, _STATE_INTERVAL)
            for message in messages:
                is_open = self._send_message(socket, name, message)
            if not is_open:
                state_due_at = now
            connection_age = now - connected_at
            silence = min(self._time_since_heard(name), connection_age)
            if is_close and silence > self._failure_timeout:
                return

    def _connect(self, address: Address) -> Any:
        socket = self._context.socket(DEALER)
        for option, duration in (
            (HEARTBEAT_IVL, _PING_INTERVAL),
            (HEARTBEAT_TIMEOUT, _PING_TIMEOUT),
        ):
            socket.setsockopt(option, duration // timedelta(milliseconds=1))
        socket.setsockopt(SNDHWM, _HIGH_WATER_MARK)
        socket.setsockopt(LINGER, 0)
        socket.setsockopt(
            CONNECT_TIMEOUT, _CONNECT_TIMEOUT // timedelta(milliseconds=1)
        )
        # Without a connection, messages are dropped instead of queued.
        socket.setsockopt(IMMEDIATE, 1)
        socket.connect(f"tcp://{address}")
        return socket

    def _send_message(self, socket: Any, name: str, message: PeerMessage) -> bool:
        """Send a message; return False if it is lost without an open connection."""
        frames = encode_envelope(Envelope(self._own_id, message))
        try:
            socket.send_multipart(frames, NOBLOCK)
        except Again:
            _dropped_total.labels(name).inc()
            return False
        kind = type(message).__name__
        _sent_total.labels(kind).inc()
        _sent_bytes_total.labels(kind).inc(sum(map(len, frames)))
        return True


async def _receive_frames(socket: Any) -> list[bytes]:
    while True:
        try:
            frames: list[bytes] = socket.recv_multipart(NOBLOCK)
            return frames
        except Again:
            pass
        # The file descriptor is edge-triggered, so check for messages before waiting.
        if not socket.getsockopt(EVENTS) & POLLIN:
            await _read_wait(socket.getsockopt(FD))


async def _take_queued(first: PeerMessage, queue: Queue) -> list[PeerMessage]:
    """Return `first` and all queued messages, coalesced."""
    queued_messages = [first]
    for _ in range(queue.qsize()):
        queued_messages.append(await queue.get())
    return coalesce_messages(queued_messages)


def coalesce_messages(messages: list[PeerMessage]) -> list[PeerMessage]:
    """Return `messages` with one message each for sub-requests, cancels and outcomes.

    The cancels come after the sub-requests, so that the owner has received a
    sub-request before its cancel.
    """
    coalesced: list[PeerMessage] = []
    request_batches: list[RunSubRequests] = []
    outcome_batches: list[SubRequestOutcomes] = []
    cancel_batches: list[CancelSubRequests] = []
    for message in messages:
        match message:
            case RunSubRequests():
                request_batches.append(message)
            case SubRequestOutcomes():
                outcome_batches.append(message)
            case CancelSubRequests():
                cancel_batches.append(message)
            case _:
                coalesced.append(message)
    if request_batches:
        coalesced.append(
            RunSubRequests(
                tuple(
                    request for batch in request_batches for request in batch.requests
                )
            )
        )
    if cancel_batches:
        coalesced.append(
            CancelSubRequests(
                tuple(
                    request_id
                    for batch in cancel_batches
                    for request_id in batch.request_ids
                )
            )
        )
    if outcome_batches:
        coalesced.append(
            SubRequestOutcomes(
                tuple(
                    outcome for batch in outcome_batches for outcome in batch.outcomes
                )
            )
        )
    return coalesced
