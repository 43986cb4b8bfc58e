"""A connection to a replica: carries one exchange at a time and is read by one task."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from curio import CancelledError
from expression import Error, Ok, Result
from httptools import HttpParserError, HttpResponseParser

from lovagetray._clock import Clock
from lovagetray._routing_types import ReplicaNotice, ReplicaReply
from lovagetray._target_errors import ConnectFailed, ConnectionLost, WrongReply
from lovagetray._types import Address
from lovagetray.wire import connect

_RECEIVE_BYTES = 65536
# An unreachable address does not answer a connection attempt; a reachable one takes a
# round trip and the replica's handshake, 10 ms in current deployments.
_CONNECT_TIMEOUT = timedelta(milliseconds=400)
# A replica at its connection limit resets a new connection at once. An at-most-once
# request is sent only after this time, because a reset would leave its outcome unknown.
_RESET_WAIT = timedelta(milliseconds=15)
# Shard responses stay below 32 KiB in all deployments; a response above this limit
# comes from a faulty replica.
_MAX_REPLY_BYTES = 4 * 1024 * 1024

ChannelFailure = ConnectFailed | ConnectionLost | WrongReply
# A plain union instead of a `Result`: each outcome is matched by its class.
Outcome = ReplicaReply | ChannelFailure
RawHeaders = tuple[tuple[bytes, bytes], ...]
ReplyDecoder = Callable[[int, RawHeaders, bytes], ReplicaReply]


class Waiter(Protocol):
    """Receiver of the outcome of an exchange."""

    async def deliver(self, exchange: "Exchange", outcome: Outcome) -> None:
        """Handle the outcome of an exchange; called once for each exchange."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One request to one replica and its state.

    Parameters
    ----------
    notice
        Notice of the replica.
    request_id
        Id of the request, which the response may repeat.
    payload
        The encoded request.
    waiter
        Receives the outcome.
    deadline
        Monotonic time at which the replica stops working on the request.
    at_most_once
        Whether the request must not be sent again if its connection breaks.
    sent_at
        Monotonic time at which the request was handed to a connection; None before.
    abandoned_at
        Monotonic time from which the outcome is no longer needed; None before.
    """

    notice: ReplicaNotice
    request_id: str
    payload: bytes
    waiter: Waiter
    deadline: timedelta
    at_most_once: bool = False
    sent_at: timedelta | None = None
    abandoned_at: timedelta | None = None


@dataclass(slots=True)
class _Reply:
    """A response that is being received.

    Parameters
    ----------
    size
        Length of the received part of the body in bytes.
    framed
        Whether a header delimits the body; otherwise the end of the connection does.
    """

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    framed: bool = False
    head_complete: bool = False
    complete: bool = False


class Channel:
    """A connection to one replica that carries one exchange at a time.

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
    """

    def __init__(
        self,
        notice: ReplicaNotice,
        clock: Clock,
        decode: ReplyDecoder,
        on_idle: Callable[["Channel"], Exchange | None],
        on_closed: Callable[["Channel", bool], None],
    ) -> None:
        self._clock = clock
        self._decode = decode
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._socket: Any = None
        self._exchange: Exchange | None = None
        self._reply = _Reply()
        self._parser: Any = None
        self._complete_replies: list[_Reply] = []
        self._sending = False
        self._broken = False
        self._received_response = False
        self.notice = notice
        self.task: Any = None
        self.idle_since = clock.monotonic_time()
        self.idle_timeout: timedelta | None = None

    @property
    def exchange(self) -> Exchange | None:
        """The exchange in flight, if any."""
        return self._exchange

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
                if first is None or first.abandoned_at is not None:
                    self._exchange = None
                    first = self._on_idle(self)
                if first is not None:
                    await self.send(first)
                await self._read()
        except CancelledError:
            await self._fail(self._end_failure())
            raise
        finally:
            self._broken = True
            self._on_closed(self, self._received_response)

    async def send(self, exchange: Exchange) -> None:
        """Send an exchange on the idle connection; its waiter receives the outcome."""
        self._exchange = exchange
        exchange.sent_at = self._clock.monotonic_time()
        self._sending = True
        try:
            await self._socket.sendall(exchange.payload)
            self._sending = False
        except OSError:
            # The task that reads the connection detects its end and reports it.
            pass
        finally:
            # After a partly sent request the connection cannot be reused.
            self._broken = self._broken or self._sending

    async def _connect(self, first: Exchange | None) -> bool:
        connected = await self._clock.with_timeout(
            _CONNECT_TIMEOUT, _open(self.notice.address)
        )
        match connected:
            case Result(tag="ok", ok=Result(tag="ok", ok=socket)):
                self._socket = socket
                self._new_reply()
            case _:
                return False
        if first is None or not first.at_most_once:
            return True
        return await self._stays_open()

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
                data = await self._socket.recv(_RECEIVE_BYTES)
            except OSError:
                data = None
            if not data:
                await self._handle_end(clean=data is not None)
                return
            try:
                self._parser.feed_data(data)
            except HttpParserError:
                self._broken = True
            await self._deliver_replies()
        await self._fail(self._end_failure())

    async def _deliver_replies(self) -> None:
        while self._complete_replies:
            reply = self._complete_replies.pop(0)
            # Only one request is in flight: a further response belongs to no request.
            self._broken = self._broken or bool(self._complete_replies)
            await self._accept_reply(reply)
        if self._reply.size > _MAX_REPLY_BYTES:
            self._broken = True

    async def _accept_reply(self, raw: _Reply) -> None:
        """Match a complete response to the exchange in flight."""
        exchange = self._exchange
        if exchange is None:
            # No request is in flight: the response belongs to no request.
            self._broken = True
            return
        reply = self._decode(raw.status, tuple(raw.headers), b"".join(raw.body))
        if reply.request_id and reply.request_id != exchange.request_id:
            # A second response to an earlier request; the expected one may follow.
            return
        self._exchange = None
        self._received_response = True
        # If the request is not completely sent yet, the replica would read the rest of
        # it as the start of the next request.
        self._broken = self._broken or self._sending
        await exchange.waiter.deliver(exchange, reply)
        if not self._broken:
            self.idle_since = self._clock.monotonic_time()
            queued = self._on_idle(self)
            if queued is not None:
                await self.send(queued)

    async def _handle_end(self, clean: bool) -> None:
        """Handle the end of the connection; `clean` if it ended without an error."""
        reply = self._reply
        self._broken = True
        if clean and reply.head_complete and not reply.framed and self._exchange:
            # A response without a length is delimited by the end of its connection.
            await self._accept_reply(reply)
        await self._fail(self._end_failure())

    async def _fail(self, failure: ChannelFailure) -> None:
        exchange, self._exchange = self._exchange, None
        self._broken = True
        if exchange is not None:
            await exchange.waiter.deliver(exchange, failure)

    def _end_failure(self) -> ConnectFailed | ConnectionLost:
        """Return the failure of the exchange in flight if its connection ends."""
        exchange = self._exchange
        if exchange is not None and exchange.sent_at is None:
            return ConnectFailed(self.notice.replica)
        return ConnectionLost(self.notice.replica)

    def _new_reply(self) -> None:
        self._reply = _Reply()
        self._parser = HttpResponseParser(self)

    # Called by the parser.

    def on_status(self, status: bytes) -> None:
        """Store the status of a new response."""
        self._reply.status = self._parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and evaluate those that concern framing and keep-alive."""
        lowered = name.lower()
        if lowered in (b"content-length", b"transfer-encoding"):
            self._reply.framed = True
        elif lowered == b"keep-alive":
            self.idle_timeout = _keep_alive(value)
        self._reply.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Mark the head of the response as complete."""
        self._reply.status = self._parser.get_status_code()
        self._reply.head_complete = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._reply.body.append(body)
        self._reply.size += len(body)

    def on_message_complete(self) -> None:
        """Queue a complete response; informational ones (1xx) are discarded."""
        if not 100 <= self._reply.status < 200:
            if not self._parser.should_keep_alive():
                self._broken = True
            self._complete_replies.append(self._reply)
        self._reply = _Reply()


async def _open(address: Address) -> Result[Any, OSError]:
    try:
        return Ok(await connect(address))
    except OSError as error:
        return Error(error)


def _keep_alive(value: bytes) -> timedelta | None:
    """Return the idle timeout in a `Keep-Alive` header, or None."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return timedelta(seconds=int(number))
    return None
