"""HTTP/1.1 server, based on h11, with one task for each connection."""

from collections.abc import Callable, Coroutine
from datetime import timedelta
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET
from typing import Any

from curio import CancelledError, Task, TaskGroup, current_task, tcp_server_socket
from expression import Result
from h11 import (
    DONE,
    SERVER,
    Connection,
    Data,
    EndOfMessage,
    LocalProtocolError,
    Response,
)
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._errors import (
    RequestTooSlow,
)
from lovagetray._rate_limited_log import RateLimitedLog
from lovagetray._task_failures import report_task_failure
from lovagetray._telemetry import BOUND_ACTIONS, DOOR_CONNECTIONS
from lovagetray._types import Address
from lovagetray.state import HeldBytes, HeldPart, ProcessorUse
from lovagetray.wire._http import (
    ACCEPT_RETRY_DELAY,
    BLOCK_BYTES,
    HttpRequest,
    HttpResponse,
)
from lovagetray.wire._http_reader import (
    UNCOUNTED_BYTES,
    HttpLimits,
    HttpRequestReader,
    RequestFailure,
)
from lovagetray.wire._processor_turns import ProcessorTurns

_log = get_logger()
_BACKLOG = 512
# Without a fixed size the kernel lets the buffers of each connection grow to some
# megabytes, outside the resident memory of the process. It takes twice the values.
_SEND_BUFFER_BYTES = 16_384
_RECEIVE_BUFFER_BYTES = 32_768

# A caller who has been sending or reading for longer may be closed for a new one.
_MIN_BUSY_TIME = timedelta(milliseconds=100)

Handler = Callable[[HttpRequest], Coroutine[Any, Any, HttpResponse]]
FailureEncoder = Callable[[RequestFailure], HttpResponse]


class HttpServer:
    """HTTP/1.1 server with one task for each connection.

    Parameters
    ----------
    handler
        Returns the response to a request.
    encode_failure
        Returns the response to a request that could not be read.
    cancel_on_close
        Whether the handler is cancelled when the caller closes the connection. This
        costs two tasks for each request.
    held
        Account of the bytes held for calls; by default one of a small machine.
    turns
        Turns of connections that have used much processor time; by default those of
        this server alone.
    costly_paths
        Paths of requests that take some milliseconds; each of them waits for a turn, so
        that many callers with one request each delay nobody else.
    """

    def __init__(
        self,
        handler: Handler,
        encode_failure: FailureEncoder,
        clock: Clock,
        limits: HttpLimits = HttpLimits(),
        cancel_on_close: bool = False,
        held: HeldBytes | None = None,
        turns: ProcessorTurns | None = None,
        costly_paths: frozenset[str] = frozenset(),
    ) -> None:
        self._held = held or HeldBytes()
        self._turns = turns or ProcessorTurns(clock)
        self._costly_paths = costly_paths
        self._log = RateLimitedLog(clock)
        self._handler = handler
        self._encode_failure = encode_failure
        self._clock = clock
        self._limits = limits
        self._cancel_on_close = cancel_on_close
        # The keys are in the order in which the connections became idle.
        self._idle_tasks: dict[Task, None] = {}
        # Since when connections have been reading a request or sending a response, in
        # this order.
        self._busy_since: dict[Task, timedelta] = {}
        self._connection_tasks: set[Task] = set()
        self._draining = False
        self._closing = False

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._connection_tasks)

    def listen(self, address: Address) -> Any:
        """Return a listening socket bound to `address`."""
        listener = tcp_server_socket(
            address.host, address.port, backlog=_BACKLOG, reuse_address=True
        )
        # Accepted connections inherit the sizes of their buffers.
        listener.setsockopt(SOL_SOCKET, SO_SNDBUF, _SEND_BUFFER_BYTES)
        listener.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        return listener

    async def run(self, listener: Any) -> None:
        """Accept connections until cancelled."""
        async with TaskGroup(wait=None) as group:
            async with listener:
                while True:
                    try:
                        client, peer = await listener.accept()
                    except OSError as error:
                        # No descriptor is free; connections that end release some.
                        BOUND_ACTIONS.labels("accept_failed").inc()
                        self._log.warn("accept_failed", error=repr(error))
                        await self._clock.sleep(ACCEPT_RETRY_DELAY)
                        continue
                    if not await self._admits_connection():
                        await client.close()
                        continue
                    # A group keeps every task that ends in it unless the task is a
                    # daemon.
                    await group.spawn(self._serve, client, peer[:2], daemon=True)

    async def _admits_connection(self) -> bool:
        """Return whether a new connection may stay, if need be in place of another one.

        The oldest idle connection is closed, or else the one that has been sending or
        reading for longest, so that replicas and operators are heard while others only
        hold connections open.
        """
        if len(self._connection_tasks) < self._limits.connections:
            return True
        if self._idle_tasks:
            action, replaced = "idle_call_connection", next(iter(self._idle_tasks))
        else:
            action, replaced = "slow_call_connection", self._slowest()
        if replaced is None:
            action = "refused_call"
        BOUND_ACTIONS.labels(action).inc()
        self._log.warn(
            "call_connections_exhausted", action=action, limit=self._limits.connections
        )
        if replaced is None:
            return False
        self._idle_tasks.pop(replaced, None)
        self._busy_since.pop(replaced, None)
        self._connection_tasks.discard(replaced)
        await replaced.cancel(blocking=False)
        return True

    def _slowest(self) -> Task | None:
        """Return the connection that sends or reads for longest, if one is slow."""
        if not self._busy_since:
            return None
        task, since = next(iter(self._busy_since.items()))
        is_slow = self._clock.monotonic_time() - since > _MIN_BUSY_TIME
        return task if is_slow else None

    async def close_idle(self) -> None:
        """Close idle connections now and the others after their next response."""
        self._draining = True
        self._closing = True
        for task in list(self._idle_tasks):
            await task.cancel(blocking=False)

    async def _serve(self, client: Any, peer: tuple[str, int]) -> None:
        task = await current_task()
        self._connection_tasks.add(task)
        DOOR_CONNECTIONS.labels("control").set(len(self._connection_tasks))
        connection = Connection(
            SERVER, max_incomplete_event_size=self._limits.head_bytes
        )
        use = self._turns.new_use()
        try:
            async with client:
                while await self._serve_request(task, client, connection, peer, use):
                    connection.start_next_cycle()
        except (OSError, CancelledError):
            pass
        except Exception as error:
            report_task_failure("http_connection", error)
        finally:
            self._connection_tasks.discard(task)
            self._idle_tasks.pop(task, None)
            DOOR_CONNECTIONS.labels("control").set(len(self._connection_tasks))

    async def _serve_request(
        self,
        task: Task,
        client: Any,
        connection: Connection,
        peer: tuple[str, int],
        use: ProcessorUse,
    ) -> bool:
        """Serve one request; return whether the connection is reusable."""
        if not connection.trailing_data[0]:
            if not await self._wait_for_data(task, client, connection):
                return False
        received = await self._clock.with_timeout(
            self._limits.request_time,
            self._read_request(client, connection, peer, use),
        )
        match received:
            case Result(tag="ok", ok=Result(tag="ok", ok=None)):
                return False
            case Result(tag="ok", ok=Result(tag="ok", ok=HttpRequest() as request)):
                bodiless = request.method == "HEAD"
                if bodiless:
                    # The same response as to GET, without its body.
                    request = request._replace(method="GET")
                if request.path in self._costly_paths:
                    await self._turns.wait()
                handler_response = await self._turns.charge(
                    use, self._handle(client, connection, request)
                )
                if handler_response is None:
                    return False
                response = handler_response
            case Result(tag="ok", ok=Result(error=failure)):
                response = self._encode_failure(failure)
                return await self._send_response(
                    client, connection, response, close=True
                )
            case _:
                too_slow = RequestTooSlow(self._limits.request_time)
                response = self._encode_failure(too_slow)
                return await self._send_response(
                    client, connection, response, close=True
                )
        return await self._send_response(
            client,
            connection,
            response,
            close=self._draining,
            bodiless=bodiless,
        )

    async def _handle(
        self, client: Any, connection: Connection, request: HttpRequest
    ) -> HttpResponse | None:
        """Return the response, or None if the caller has closed the connection."""
        if not self._cancel_on_close:
            return await self._handler(request)
        async with TaskGroup(wait=any) as group:
            handling = await group.spawn(self._handler, request)
            await group.spawn(_receive_until_closed, client, connection)
        if group.completed is not handling:
            return None
        response: HttpResponse = handling.result
        return response

    async def _wait_for_data(
        self, task: Task, client: Any, connection: Connection
    ) -> bool:
        if self._closing:
            return False
        self._idle_tasks[task] = None
        received = await self._clock.with_timeout(
            self._limits.idle_time, client.recv(BLOCK_BYTES)
        )
        self._idle_tasks.pop(task, None)
        match received:
            case Result(tag="ok", ok=data) if data:
                connection.receive_data(data)
                return True
            case _:
                return False

    async def _read_request(
        self,
        client: Any,
        connection: Connection,
        peer: tuple[str, int],
        use: ProcessorUse,
    ) -> Result[HttpRequest | None, RequestFailure]:
        """Read a request, counting its bytes as held meanwhile."""
        reader = HttpRequestReader(
            client,
            connection,
            self._limits,
            self._make_room,
            self._held,
            self._turns,
            use,
        )
        task = await current_task()
        self._busy_since[task] = self._clock.monotonic_time()
        try:
            return await reader.read(peer)
        finally:
            self._busy_since.pop(task, None)
            reader.release()

    async def _send_response(
        self,
        client: Any,
        connection: Connection,
        response: HttpResponse,
        close: bool,
        bodiless: bool = False,
    ) -> bool:
        """Send a response; return whether the connection is reusable.

        Parameters
        ----------
        bodiless
            Whether the response must have no body, as that to a HEAD request.
        """
        size = len(response.body)
        if size > UNCOUNTED_BYTES and not self._make_room(size):
            # The request may have run, so it cannot be refused any more.
            return False
        headers = [(name, value) for name, value in response.headers.items()]
        headers.append(("content-length", str(len(response.body))))
        if close:
            headers.append(("connection", "close"))
        head = Response(status_code=response.status, headers=headers)
        try:
            payload = connection.send(head) or b""
            if not bodiless:
                payload += connection.send(Data(data=response.body)) or b""
            payload += connection.send(EndOfMessage()) or b""
        except LocalProtocolError:
            return False
        size = len(payload)
        # Only the payload is kept while the caller reads it.
        del response
        self._held.hold(HeldPart.CONTROL, size)
        task = await current_task()
        self._busy_since[task] = self._clock.monotonic_time()
        try:
            sent = await self._clock.with_timeout(
                self._limits.request_time, client.sendall(payload)
            )
        finally:
            self._busy_since.pop(task, None)
            self._held.release(HeldPart.CONTROL, size)
        return sent.is_ok() and not close and _is_reusable(connection)

    def _make_room(self, size: int) -> bool:
        if self._held.make_room(HeldPart.CONTROL, size):
            return True
        BOUND_ACTIONS.labels("refused_call_for_memory").inc()
        self._log.warn("call_refused_for_memory", size=size)
        return False


async def _receive_until_closed(client: Any, connection: Connection) -> None:
    while data := await client.recv(BLOCK_BYTES):
        connection.receive_data(data)


def _is_reusable(connection: Connection) -> bool:
    return connection.our_state is DONE and connection.their_state is DONE
