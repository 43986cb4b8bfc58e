"""One connection to a replica: one exchange at a time, one task that reads it."""

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
# A silent address answers no connection attempt; an answering one needs a round trip
# and the replica's handshake, 10 ms on the deployments of today.
_CONNECT_LIMIT = timedelta(milliseconds=400)
# A replica resets connections beyond its limit at once; a request that must not run
# twice is sent when that time has passed.
_RESET_WAIT = timedelta(milliseconds=15)
# No deployment sends parts above 32 KiB; a larger reply is a faulty replica.
_LARGEST_REPLY = 4 * 1024 * 1024

ChannelFailure = ConnectFailed | ConnectionLost | WrongReply
# A plain union: the outcome of every sub-request is matched by its class.
Outcome = ReplicaReply | ChannelFailure
RawHeaders = tuple[tuple[bytes, bytes], ...]
ReplyDecoder = Callable[[int, RawHeaders, bytes], ReplicaReply]


class Waiter(Protocol):
    """Whoever waits for the outcome of an exchange."""

    async def deliver(self, exchange: "Exchange", outcome: Outcome) -> None:
        """Take the outcome of an exchange; called once."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One request to one replica.

    Parameters
    ----------
    payload
        The encoded request.
    deadline
        When the replica stops to work on it, on the monotonic clock.
    at_most_once
        Whether it must not be sent a second time if its connection breaks.
    sent_at
        When it was handed to a connection; None until then.
    abandoned_at
        When its caller stopped to wait for it.
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
    """A response while it arrives."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    framed: bool = False
    head_complete: bool = False
    complete: bool = False


class Channel:
    """A connection to one replica.

    Parameters
    ----------
    released
        Called when the channel can take another exchange; returns one that waits.
    closed
        Called when the channel has ended, with whether it ever got a response.
    """

    def __init__(
        self,
        notice: ReplicaNotice,
        clock: Clock,
        decode: ReplyDecoder,
        released: Callable[["Channel"], Exchange | None],
        closed: Callable[["Channel", bool], None],
    ) -> None:
        self._clock = clock
        self._decode = decode
        self._released = released
        self._closed = closed
        self._socket: Any = None
        self._exchange: Exchange | None = None
        self._reply = _Reply()
        self._parser: Any = None
        self._finished: list[_Reply] = []
        self._sending = False
        self._broken = False
        self._proven = False
        self.notice = notice
        self.task: Any = None
        self.idle_since = clock.monotonic_time()
        self.idle_limit: timedelta | None = None

    @property
    def exchange(self) -> Exchange | None:
        """The exchange that runs, if any."""
        return self._exchange

    @property
    def usable(self) -> bool:
        """Whether an exchange may be sent now."""
        return self._exchange is None and not self._broken and self._socket is not None

    async def run(self, first: Exchange | None) -> None:
        """Connect, send the first exchange, and read until the connection ends."""
        self._exchange = first
        try:
            if not await self._connect(first):
                await self._fail(ConnectFailed(self.notice.replica))
                return
            async with self._socket:
                if first is None or first.abandoned_at is not None:
                    self._exchange = None
                    first = self._released(self)
                if first is not None:
                    await self.send(first)
                await self._read()
        except CancelledError:
            await self._fail(self._loss())
            raise
        finally:
            self._broken = True
            self._closed(self, self._proven)

    async def send(self, exchange: Exchange) -> None:
        """Send an exchange on an idle channel; its waiter gets the outcome."""
        self._exchange = exchange
        exchange.sent_at = self._clock.monotonic_time()
        self._sending = True
        try:
            await self._socket.sendall(exchange.payload)
            self._sending = False
        except OSError:
            # The reading task sees the end of the connection and reports it.
            pass
        finally:
            # A request that was cut off leaves the connection unusable.
            self._broken = self._broken or self._sending

    async def _connect(self, first: Exchange | None) -> bool:
        connected = await self._clock.with_timeout(
            _CONNECT_LIMIT, _open(self.notice.address)
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
        """Tell whether the replica keeps a new connection."""
        try:
            early = await self._clock.with_timeout(_RESET_WAIT, self._socket.recv(1))
        except OSError:
            return False
        match early:
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
                await self._ended(clean=data is not None)
                return
            try:
                self._parser.feed_data(data)
            except HttpParserError:
                self._broken = True
            await self._deliver_finished()
        await self._fail(self._loss())

    async def _deliver_finished(self) -> None:
        while self._finished:
            reply = self._finished.pop(0)
            # More than one response at a time: the others belong to no request.
            self._broken = self._broken or bool(self._finished)
            await self._take(reply)
        if self._reply.size > _LARGEST_REPLY:
            self._broken = True

    async def _take(self, raw: _Reply) -> None:
        """Match a complete response with the exchange that runs."""
        exchange = self._exchange
        if exchange is None:
            # Bytes after a complete response belong to no request.
            self._broken = True
            return
        reply = self._decode(raw.status, tuple(raw.headers), b"".join(raw.body))
        if reply.request_id and reply.request_id != exchange.request_id:
            # A second response to an earlier request; the awaited one may follow.
            return
        self._exchange = None
        self._proven = True
        # The rest of a request that is still being sent would be read as the next one.
        self._broken = self._broken or self._sending
        await exchange.waiter.deliver(exchange, reply)
        if not self._broken:
            self.idle_since = self._clock.monotonic_time()
            waiting = self._released(self)
            if waiting is not None:
                await self.send(waiting)

    async def _ended(self, clean: bool) -> None:
        reply = self._reply
        self._broken = True
        if clean and reply.head_complete and not reply.framed and self._exchange:
            # A response without a length ends with its connection.
            await self._take(reply)
        await self._fail(self._loss())

    async def _fail(self, failure: ChannelFailure) -> None:
        exchange, self._exchange = self._exchange, None
        self._broken = True
        if exchange is not None:
            await exchange.waiter.deliver(exchange, failure)

    def _loss(self) -> ConnectFailed | ConnectionLost:
        """Return what the end of the connection means for the running exchange."""
        exchange = self._exchange
        if exchange is not None and exchange.sent_at is None:
            return ConnectFailed(self.notice.replica)
        return ConnectionLost(self.notice.replica)

    def _new_reply(self) -> None:
        self._reply = _Reply()
        self._parser = HttpResponseParser(self)

    # Called by the parser.

    def on_status(self, status: bytes) -> None:
        """Note the status of a response that begins."""
        self._reply.status = self._parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        lowered = name.lower()
        if lowered in (b"content-length", b"transfer-encoding"):
            self._reply.framed = True
        elif lowered == b"keep-alive":
            self.idle_limit = _keep_alive(value)
        self._reply.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note that the head is complete."""
        self._reply.status = self._parser.get_status_code()
        self._reply.head_complete = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._reply.body.append(body)
        self._reply.size += len(body)

    def on_message_complete(self) -> None:
        """Queue a complete response."""
        if not 100 <= self._reply.status < 200:
            if not self._parser.should_keep_alive():
                self._broken = True
            self._finished.append(self._reply)
        self._reply = _Reply()


async def _open(address: Address) -> Result[Any, OSError]:
    try:
        return Ok(await connect(address))
    except OSError as error:
        return Error(error)


def _keep_alive(value: bytes) -> timedelta | None:
    """Return the idle time that a `Keep-Alive` header grants."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return timedelta(seconds=int(number))
    return None
