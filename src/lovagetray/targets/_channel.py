"""A connection to a replica: carries one exchange at a time and is read by one task."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from curio import CancelledError, Task, spawn
from expression import Error, Ok, Result

from lovagetray._clock import Clock
from lovagetray._routing_types import ReplicaNotice, ReplicaReply
from lovagetray._target_errors import (
    ConnectFailed,
    ConnectionLost,
    NotSent,
    ResponseNotHeld,
    ResponseTooLarge,
    WrongReply,
)
from lovagetray._task_failures import report_task_failure
from lovagetray._types import Address
from lovagetray.state import ResponseMemory, unlimited_memory
from lovagetray.targets._response_parser import (
    RECEIVE_BYTES,
    BufferedBytes,
    RawHeaders,
    RawResponse,
    ResponseParser,
)
from lovagetray.wire import connect

# An unreachable address does not answer a connection attempt; a reachable one takes a
# round trip and the replica's handshake, 10 ms in current deployments.
_CONNECT_TIMEOUT = timedelta(milliseconds=400)
# A replica at its connection limit resets a new connection at once. An at-most-once
# request is sent only after this time, because a reset would leave its outcome unknown.
_RESET_WAIT = timedelta(milliseconds=15)

ChannelFailure = (
    ConnectFailed
    | ConnectionLost
    | WrongReply
    | ResponseTooLarge
    | ResponseNotHeld
    | NotSent
)
# A plain union instead of a `Result`: each outcome is matched by its class.
Outcome = ReplicaReply | ChannelFailure
ReplyDecoder = Callable[[int, RawHeaders, bytes], ReplicaReply]


class Waiter(Protocol):
    """Receiver of the outcome of an exchange."""

    async def deliver(self, exchange: "Exchange", outcome: Outcome) -> None:
        """Handle the outcome of an exchange.

        This is called once for each exchange, and with a failure after an exception in
        the first call.
        """


@dataclass(slots=True, eq=False)
class Exchange:
    """One request to one replica and its state.

    Parameters
    ----------
    notice
        Notice of the replica.
    request_id
        Id of the request, which the response may repeat.
    head
        The encoded request, or what comes before `body`.
    waiter
        Receives the outcome.
    deadline
        Monotonic time at which the replica stops working on the request.
    body
        Body that follows the head; a request that many replicas get has one body.
    at_most_once
        Whether the request must not be sent again if its connection breaks.
    bodiless
        Whether the response has no body, whatever length it states, as that to a HEAD
        request.
    sent_at
        Monotonic time at which the request was handed to a connection; None before.
    abandoned_at
        Monotonic time from which the outcome is no longer needed; None before.
    memory
        Counts the bytes of the response.
    """

    notice: ReplicaNotice
    request_id: str
    head: bytes
    waiter: Waiter
    deadline: timedelta
    body: bytes = b""
    at_most_once: bool = False
    bodiless: bool = False
    sent_at: timedelta | None = None
    abandoned_at: timedelta | None = None
    memory: ResponseMemory = field(default_factory=unlimited_memory)


class Channel:
    """A connection to one replica that carries one exchange at a time.

    One task opens, reads and closes it. The rest of a request that the socket does not
    take at once is sent by a second task, which the first one ends before it closes the
    socket: curio's kernel fails if a socket is closed while a task waits for it.

    Parameters
    ----------
    notice
        Notice of the replica.
    clock
        Source of monotonic time and timeouts.
    decode
        Returns the reply for the status, headers and body of a response.
    on_idle
        Called when the connection becomes idle; returns the queued exchange to send
        next, or None.
    on_closed
        Called after the connection has ended, with whether it ever carried a response.
    buffered
        Bytes of incomplete responses on all connections of this instance.
    """

    def __init__(
        self,
        notice: ReplicaNotice,
        clock: Clock,
        decode: ReplyDecoder,
        on_idle: Callable[["Channel"], Exchange | None],
        on_closed: Callable[["Channel", bool], None],
        buffered: BufferedBytes,
    ) -> None:
        self._clock = clock
        self._decode = decode
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._socket: Any = None
        self._exchange: Exchange | None = None
        self._parser = ResponseParser(buffered)
        self._sending = False
        self._sender: Task | None = None
        self._broken = False
        self._reset = False
        self._received_response = False
        self._established = False
        self._carried_request = False
        self.notice = notice
        self.task: Any = None
        self.idle_since = clock.monotonic_time()

    @property
    def exchange(self) -> Exchange | None:
        """The exchange in flight, if any."""
        return self._exchange

    @property
    def idle_timeout(self) -> timedelta | None:
        """Time without a request after which the replica closes the connection."""
        return self._parser.idle_timeout

    @property
    def was_idle(self) -> bool:
        """Whether the connection was established and has carried no request."""
        return self._established and not self._carried_request

    @property
    def usable(self) -> bool:
        """Whether the connection is open and idle."""
        return self._exchange is None and not self._broken and self._socket is not None

    async def run(self, first: Exchange | None) -> None:
        """Connect, send the first exchange and read until the connection ends."""
        self._exchange = first
        try:
            if not await self._connect(first):
                await self._fail(ConnectFailed(self.notice.replica))
                return
            async with self._socket:
                try:
                    await self._carry_exchanges(first)
                finally:
                    if self._sender is not None:
                        await self._sender.cancel()
        except CancelledError:
            await self._fail(self._end_failure())
            raise
        except Exception as error:
            # Whoever waits for the exchange must get an outcome, whatever went wrong.
            report_task_failure("replica_connection", error)
            await self._fail(self._end_failure())
        finally:
            self._broken = True
            self._parser.release()
            self._on_closed(self, self._received_response)

    async def send(self, exchange: Exchange) -> None:
        """Send an exchange on the idle connection; its waiter receives the outcome.

        This does not wait for the replica to read. If it never does, the pool closes
        the connection after the deadline of the exchange.
        """
        self._exchange = exchange
        self._carried_request = True
        self._parser.expect(exchange.memory, exchange.bodiless)
        exchange.sent_at = self._clock.monotonic_time()
        parts = (exchange.head, exchange.body)
        try:
            sent = self._socket.send_available(parts)
        except OSError:
            self._note_reset()
            return
        if sent < sum(map(len, parts)):
            self._sending = True
            self._sender = await spawn(self._send_rest, parts, sent, daemon=True)

    async def _send_rest(self, parts: tuple[bytes, ...], sent: int) -> None:
        try:
            for part in parts:
                await self._socket.sendall(memoryview(part)[sent:])
                sent = max(0, sent - len(part))
            self._sending = False
        except OSError:
            self._note_reset()

    def _note_reset(self) -> None:
        """Note that the connection broke while a request was sent.

        The task that reads the connection detects its end and reports it. To that task
        the end looks regular, because the kernel reports a reset only once.
        """
        self._broken = self._reset = True

    async def _carry_exchanges(self, first: Exchange | None) -> None:
        if first is None or first.abandoned_at is not None:
            self._exchange = None
            first = self._on_idle(self)
        self._established = True
        if first is not None:
            await self.send(first)
        await self._read()

    async def _connect(self, first: Exchange | None) -> bool:
        connected = await self._clock.with_timeout(
            _CONNECT_TIMEOUT, _open(self.notice.address)
        )
        match connected:
            case Result(tag="ok", ok=Result(tag="ok", ok=socket)):
                self._socket = socket
            case _:
                return False
        if first is None or not first.at_most_once or await self._stays_open():
            return True
        await self._socket.close()
        return False

    async def _stays_open(self) -> bool:
        """Return whether the replica does not reset a new connection at once."""
        try:
            data = await self._clock.with_timeout(_RESET_WAIT, self._socket.recv(1))
        except OSError:
            return False
        match data:
            case Result(tag="error"):
                return True
        return False

    async def _read(self) -> None:
        while not self._broken:
            try:
                data = await self._socket.recv(RECEIVE_BYTES)
            except OSError:
                data = None
            if not data:
                await self._handle_end(clean=data is not None)
                return
            if self._exchange is None:
                # No request is in flight: the bytes belong to no request.
                return
            if not self._parser.feed(data):
                self._broken = True
            await self._deliver_replies()
        await self._fail(self._end_failure())

    async def _deliver_replies(self) -> None:
        while (response := self._parser.take_complete()) is not None:
            # Only one request is in flight: a further response belongs to no request.
            if self._parser.has_more or not self._parser.keep_alive:
                self._broken = True
            try:
                await self._accept_reply(response)
            finally:
                response.give_back()

    async def _accept_reply(self, raw: RawResponse) -> None:
        """Match a complete response to the exchange in flight."""
        exchange = self._exchange
        if exchange is None:
            return
        reply = self._decode(raw.status, tuple(raw.headers), b"".join(raw.body))
        if reply.request_id and reply.request_id != exchange.request_id:
            # A second response to an earlier request; the expected one may follow.
            return
        # Without an id, a late second response to this request could not be told from
        # the response to the next one, so the connection is not used again.
        self._broken = self._broken or not reply.request_id
        self._received_response = True
        # If the request is not completely sent yet, the replica would read the rest of
        # it as the start of the next request.
        self._broken = self._broken or self._sending
        # If this fails, the end of the task still delivers an outcome.
        await exchange.waiter.deliver(exchange, reply)
        self._exchange = None
        if not self._broken:
            self.idle_since = self._clock.monotonic_time()
            queued = self._on_idle(self)
            if queued is not None:
                await self.send(queued)

    async def _handle_end(self, clean: bool) -> None:
        """Handle the end of the connection; `clean` if it ended without an error."""
        self._broken = True
        clean = clean and not self._reset
        response = self._parser.end_of_connection() if clean else None
        if response is not None:
            await self._accept_reply(response)
        await self._fail(self._end_failure())

    async def _fail(self, failure: ChannelFailure) -> None:
        exchange, self._exchange = self._exchange, None
        self._broken = True
        if exchange is not None:
            await exchange.waiter.deliver(exchange, failure)

    def _end_failure(self) -> ChannelFailure:
        """Return the failure of the exchange in flight if its connection ends."""
        exchange = self._exchange
        if exchange is not None and exchange.sent_at is None:
            return ConnectFailed(self.notice.replica)
        if self._parser.lacks_memory:
            return ResponseNotHeld(self.notice.replica)
        if self._parser.oversized:
            return ResponseTooLarge(self.notice.replica)
        return ConnectionLost(self.notice.replica)


async def _open(address: Address) -> Result[Any, OSError]:
    try:
        return Ok(await connect(address))
    except OSError as error:
        return Error(error)
