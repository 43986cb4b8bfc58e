"""HTTP/1.1 server for requests of callers, independent of their content."""

from collections.abc import Callable
from datetime import timedelta
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET
from typing import Any

from curio import CancelledError, Task, TaskGroup, tcp_server_socket
from expression import Result

from lovagetray._clock import Clock
from lovagetray._routing_types import CallerLimits
from lovagetray._task_failures import report_task_failure
from lovagetray._telemetry import DOOR_CONNECTIONS
from lovagetray._types import Address
from lovagetray.state import HeldBytes
from lovagetray.wire._caller_connection import CallerConnection
from lovagetray.wire._caller_door import CallerDoor
from lovagetray.wire._caller_messages import FailureEncoder, Handler
from lovagetray.wire._http import ACCEPT_RETRY_DELAY
from lovagetray.wire._processor_turns import ProcessorTurns
from lovagetray.wire._response_sender import RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES

_BACKLOG = 1024
_DEFAULT_CONNECTIONS = 2_000
_SWEEP_INTERVAL = timedelta(milliseconds=500)
# Connections that the kernel has already accepted are handed out within this time.
_BACKLOG_TIMEOUT = timedelta(milliseconds=20)
# New connections may keep coming, so accepting the queue ends after this time.
_MAX_BACKLOG_TIME = timedelta(milliseconds=300)


class CallerServer:
    """HTTP/1.1 server for callers.

    Parameters
    ----------
    handler
        Returns the response to a request; cancelled when the caller disconnects.
    encode_failure
        Returns the response to a request that could not be read.
    limits
        Returns the current limits, which apply to open connections as well.
    held
        Account of the bytes held for callers; by default one of a small machine.
    max_connections
        Maximum number of connections; idle ones are closed for further ones.
    turns
        Turns of connections that have used much processor time; by default those of
        this server alone.
    """

    def __init__(
        self,
        handler: Handler,
        encode_failure: FailureEncoder,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        held: HeldBytes | None = None,
        max_connections: int = _DEFAULT_CONNECTIONS,
        turns: ProcessorTurns | None = None,
    ) -> None:
        self._handler = handler
        self._encode_failure = encode_failure
        self._clock = clock
        self._limits = limits
        self._held = held or HeldBytes()
        self._turns = turns or ProcessorTurns(clock)
        self._door = CallerDoor(self._held, clock, max_connections)
        self._connections = self._door.connections
        self._draining = False
        self._closed = False
        self._accept_task: Task | None = None

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def running_requests(self) -> int:
        """The number of requests in flight or being received."""
        now = self._clock.monotonic_time()
        return sum(connection.is_busy(now) for connection in self._connections)

    def drain(self) -> None:
        """Close each connection after its next response, with ``Connection: close``."""
        self._draining = True

    async def run(self, address: Address) -> None:
        """Serve until cancelled; after `close`, only connections that remain open.

        A server that is closed already returns at once.
        """
        if self._closed:
            return
        listener = tcp_server_socket(
            address.host, address.port, backlog=_BACKLOG, reuse_address=True
        )
        # Accepted connections inherit the sizes of their buffers.
        listener.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # The group does not wait for its tasks: one that waits cancels all of them as
        # soon as one is cancelled, and idle connections are closed by cancelling their
        # tasks.
        async with TaskGroup(wait=None) as group:
            self._accept_task = await group.spawn(self._accept, listener, group)
            await self._close_overdue()

    async def close(self) -> None:
        """Stop accepting connections and close those that wait for a next request.

        Requests in flight continue, as do new connections, because their first request
        may be on its way.
        """
        self._draining = self._closed = True
        if self._accept_task is not None:
            await self._accept_task.cancel()
        now = self._clock.monotonic_time()
        for connection in list(self._connections):
            if not connection.is_busy(now):
                await connection.task.cancel(blocking=False)

    async def _accept(self, listener: Any, group: TaskGroup) -> None:
        async with listener:
            try:
                while True:
                    try:
                        client, _ = await listener.accept()
                    except OSError as error:
                        # No descriptor is free; connections that end release some.
                        self._door.report_accept_failure(error)
                        await self._clock.sleep(ACCEPT_RETRY_DELAY)
                        continue
                    await self._start(client, group)
            except CancelledError:
                await self._accept_backlog(listener, group)
                raise

    async def _accept_backlog(self, listener: Any, group: TaskGroup) -> None:
        """Accept the connections that callers have opened already.

        Closing the listener would reset them, also those whose request has arrived.
        """
        end = self._clock.monotonic_time() + _MAX_BACKLOG_TIME
        while self._clock.monotonic_time() < end:
            try:
                accepted = await self._clock.with_timeout(
                    _BACKLOG_TIMEOUT, listener.accept()
                )
            except OSError as error:
                report_task_failure("accept", error)
                return
            match accepted:
                case Result(tag="ok", ok=(client, _)):
                    await self._start(client, group)
                case _:
                    return

    async def _start(self, client: Any, group: TaskGroup) -> None:
        if not self._door.admits_connection():
            await client.close()
            return
        connection = CallerConnection(
            client,
            self._handler,
            self._encode_failure,
            self._clock,
            self._limits,
            lambda: self._draining,
            self._held,
            self._turns,
        )
        self._connections.add(connection)
        # A group keeps every task that ends in it unless the task is a daemon.
        await group.spawn(self._serve, client, connection, daemon=True)

    async def _serve(self, client: Any, connection: CallerConnection) -> None:
        try:
            async with client:
                await connection.run()
        except OSError:
            # The caller has closed or reset the connection: no response is possible.
            pass
        except Exception as error:
            report_task_failure("caller_connection", error)
        finally:
            self._connections.discard(connection)

    async def _close_overdue(self) -> None:
        """Close connections that exceed the time limits, until cancelled."""
        while True:
            await self._clock.sleep(_SWEEP_INTERVAL)
            now = self._clock.monotonic_time()
            for connection in list(self._connections):
                if connection.is_overdue(now):
                    await connection.task.cancel(blocking=False)
            DOOR_CONNECTIONS.labels("callers").set(len(self._connections))
