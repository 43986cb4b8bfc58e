"""Serves callers' requests of any kind over HTTP/1.1.

One task reads each connection, also while a request runs, so that a caller that leaves
is noticed at once. The request itself runs in a task that is cancelled then.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from socket import SHUT_WR
from typing import Any, NamedTuple

from curio import (
    CancelledError,
    Task,
    TaskGroup,
    current_task,
    spawn,
    tcp_server_socket,
)
from h11 import (
    DONE,
    MUST_CLOSE,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._errors import (
    HeadTooLarge,
    MalformedRequest,
    RequestTooLarge,
    RequestTooSlow,
)
from lovagetray._routing_types import CallerLimits
from lovagetray._types import Address

_log = get_logger()
_RECEIVE_BYTES = 65536
_BACKLOG = 1024
_SWEEP = timedelta(milliseconds=250)
_CLOSE_LIMIT = timedelta(seconds=1)

RawHeaders = tuple[tuple[bytes, bytes], ...]
RequestFailure = MalformedRequest | RequestTooLarge | HeadTooLarge | RequestTooSlow


class RawRequest(NamedTuple):
    """A complete request as it was received."""

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes


class RawResponse(NamedTuple):
    """A complete response as it is sent; the length is added."""

    status: int
    headers: RawHeaders
    body: bytes


Handler = Callable[[RawRequest], Awaitable[RawResponse]]
FailureEncoder = Callable[[RequestFailure], RawResponse]


class CallerServer:
    """Serves one address for callers.

    Parameters
    ----------
    handler
        Turns each request into its response; cancelled when the caller leaves.
    encode_failure
        Turns a request that could not be read into a response.
    limits
        Returns the limits in force.
    """

    def __init__(
        self,
        handler: Handler,
        encode_failure: FailureEncoder,
        clock: Clock,
        limits: Callable[[], CallerLimits],
    ) -> None:
        self._handler = handler
        self._encode_failure = encode_failure
        self._clock = clock
        self._limits = limits
        self._connections: set[_CallerConnection] = set()
        self._draining = False
        self._accepting: Task | None = None

    @property
    def open_connections(self) -> int:
        """The connections that are open now."""
        return len(self._connections)

    @property
    def running_requests(self) -> int:
        """The requests that run now."""
        return sum(connection.running for connection in self._connections)

    def drain(self) -> None:
        """Ask callers to close their connections after the next response."""
        self._draining = True

    async def run(self, address: Address) -> None:
        """Accept connections until cancelled; open ones go on after `close`."""
        listener = tcp_server_socket(
            address.host, address.port, backlog=_BACKLOG, reuse_address=True
        )
        # The group waits for none: one that waits ends all when a task is cancelled, as
        # the task of an idle connection is.
        async with TaskGroup(wait=None) as group:
            self._accepting = await group.spawn(self._accept, listener, group)
            await self._sweep()

    async def close(self) -> None:
        """Take no more requests; those that run go on."""
        if self._accepting is not None:
            await self._accepting.cancel()
        for connection in list(self._connections):
            if not connection.running:
                await connection.task.cancel(blocking=False)

    async def _accept(self, listener: Any, group: TaskGroup) -> None:
        async with listener:
            while True:
                client, _ = await listener.accept()
                await group.spawn(self._serve, client)

    async def _serve(self, client: Any) -> None:
        connection = _CallerConnection(
            client,
            self._handler,
            self._encode_failure,
            self._clock,
            self._limits(),
            lambda: self._draining,
        )
        self._connections.add(connection)
        try:
            async with client:
                await connection.run()
        except OSError:
            # The caller has closed or reset the connection; nobody is left to tell.
            pass
        finally:
            self._connections.discard(connection)

    async def _sweep(self) -> None:
        """End connections that are idle or slow for too long."""
        while True:
            await self._clock.sleep(_SWEEP)
            now = self._clock.monotonic_time()
            for connection in list(self._connections):
                if connection.is_overdue(now):
                    await connection.task.cancel(blocking=False)


class _CallerConnection:
    """One connection of a caller, with the task that reads it."""

    def __init__(
        self,
        client: Any,
        handler: Handler,
        encode_failure: FailureEncoder,
        clock: Clock,
        limits: CallerLimits,
        draining: Callable[[], bool],
    ) -> None:
        self._client = client
        self._handler = handler
        self._encode_failure = encode_failure
        self._clock = clock
        self._limits = limits
        self._draining = draining
        self._h11 = Connection(SERVER, max_incomplete_event_size=limits.head_bytes)
        self._request: Task | None = None
        self._since = clock.monotonic_time()
        self._reading = False
        self.task: Any = None

    @property
    def running(self) -> bool:
        """Whether a request runs."""
        return self._request is not None

    def is_overdue(self, now: timedelta) -> bool:
        """Tell whether the caller is idle or slow for too long."""
        if self._request is not None or self.task is None:
            return False
        limits = self._limits
        return now - self._since > (
            limits.head_time if self._reading else limits.idle_time
        )

    async def run(self) -> None:
        """Serve requests until either side closes."""
        self.task = await current_task()
        try:
            while True:
                request = await self._read_request()
                if request is None:
                    return
                self._request = await spawn(self._answer, request, daemon=True)
                if not await self._watch(self._request):
                    return
        except CancelledError:
            if self._reading and self._request is None:
                await self._refuse(RequestTooSlow(self._limits.head_time))
            raise
        finally:
            if self._request is not None:
                await self._request.cancel(blocking=False)

    async def _watch(self, running: Task) -> bool:
        """Wait for the end of a request; False if the connection has ended."""
        if not self._h11.trailing_data[0]:
            data = await self._client.recv(_RECEIVE_BYTES)
            if not data:
                return False
            self._h11.receive_data(data)
        await running.join()
        if self._h11.our_state is not DONE or self._h11.their_state is not DONE:
            return False
        self._h11.start_next_cycle()
        self._since = self._clock.monotonic_time()
        return True

    async def _read_request(self) -> RawRequest | None:
        """Return the next request; None if the connection is to be closed."""
        head: Request | None = None
        body: list[bytes] = []
        size = 0
        self._reading = bool(self._h11.trailing_data[0])
        while True:
            try:
                event = self._h11.next_event()
            except RemoteProtocolError as error:
                await self._refuse(_failure_of(error, self._limits))
                return None
            if event is NEED_DATA:
                if self._h11.they_are_waiting_for_100_continue:
                    await self._client.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
                data = await self._client.recv(_RECEIVE_BYTES)
                if not self._reading:
                    self._reading = True
                    self._since = self._clock.monotonic_time()
                self._h11.receive_data(data)
                continue
            match event:
                case Request():
                    head = event
                case Data(data=data):
                    size += len(data)
                    if size > self._limits.body_bytes:
                        await self._refuse(RequestTooLarge(self._limits.body_bytes))
                        return None
                    body.append(bytes(data))
                case EndOfMessage() if head is not None:
                    self._reading = False
                    return RawRequest(
                        head.method,
                        head.target,
                        tuple(head.headers.raw_items()),
                        b"".join(body),
                    )
                case ConnectionClosed():
                    return None
                case _ if event is PAUSED:
                    return None

    async def _answer(self, request: RawRequest) -> None:
        """Run a request and send its response."""
        try:
            response = await self._handler(request)
            await self._send(response, self._draining())
        except OSError:
            # The caller is gone; its connection's task sees the end as well.
            pass
        finally:
            self._request = None
            self._since = self._clock.monotonic_time()
        if self._h11.our_state is MUST_CLOSE or self._h11.their_state is MUST_CLOSE:
            await self.task.cancel(blocking=False)

    async def _refuse(self, failure: RequestFailure) -> None:
        """Answer a request that could not be read; the connection ends with it."""
        response = self._encode_failure(failure)
        _log.info("request_unreadable", code=failure.code, reason=str(failure))
        try:
            await self._clock.with_timeout(_CLOSE_LIMIT, self._send(response, True))
            # A close with unread input would reset the connection and the response.
            await self._clock.with_timeout(_CLOSE_LIMIT, self._discard_input())
        except (OSError, LocalProtocolError):
            # The caller is gone or its request has left no state to answer in.
            pass

    async def _discard_input(self) -> None:
        await self._client.shutdown(SHUT_WR)
        while await self._client.recv(_RECEIVE_BYTES):
            pass

    async def _send(self, response: RawResponse, close: bool) -> None:
        headers = [
            *response.headers,
            (b"Content-Length", b"%d" % len(response.body)),
        ]
        if close:
            headers.append((b"Connection", b"close"))
        head = Response(status_code=response.status, headers=headers)
        payload = self._h11.send(head) or b""
        payload += self._h11.send(Data(data=response.body)) or b""
        payload += self._h11.send(EndOfMessage()) or b""
        await self._client.sendall(payload)


def _failure_of(error: RemoteProtocolError, limits: CallerLimits) -> RequestFailure:
    if error.error_status_hint == 431:
        return HeadTooLarge(limits.head_bytes)
    return MalformedRequest(str(error))
