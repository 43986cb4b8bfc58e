"""A caller server in its own thread."""

from datetime import timedelta
from errno import EMFILE
from socket import create_connection, socket
from threading import Event, Thread
from typing import Any

from curio import CancelledError, Kernel, sleep, spawn
from curio.io import Socket as CurioSocket
from fleet import free_ports

from lovagetray import Address, SystemClock
from lovagetray._routing_types import CallerLimits
from lovagetray.platform.formats import encode_caller_failure
from lovagetray.wire import CallerServer, RawRequest, RawResponse

LIMITS = CallerLimits(
    request_time=timedelta(milliseconds=400), idle_time=timedelta(seconds=2)
)
POLL_SECONDS = 0.01


class CallerServerThread:
    """A caller server that runs in its own thread."""

    def __init__(
        self,
        work_seconds: float,
        handler_fails: bool = False,
        body: bytes = b"",
        length_of_head: int | None = None,
        closed_before_start: bool = False,
        **options: Any,
    ) -> None:
        self._options = options
        self._closed_before_start = closed_before_start
        self.limits = LIMITS
        self._handler_fails = handler_fails
        self._body = body
        self._length_of_head = length_of_head
        self.waiting: list[socket] = []
        self.address = Address("127.0.0.1", free_ports(1)[0])
        self.requests: list[RawRequest] = []
        self.cancelled = Event()
        self.running_requests = 0
        self._work_seconds = work_seconds
        self._stop_requested = Event()
        self._commands: list[str] = []
        self._started = Event()
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()
        assert self._started.wait(5)

    def send_command(self, command: str) -> None:
        """Make the server drain or close, and wait until it has done so."""
        self._commands.append(command)
        while self._commands:
            self._stop_requested.wait(POLL_SECONDS)

    def stop(self) -> None:
        """Stop the server and its thread."""
        self._stop_requested.set()
        self._thread.join(5)

    def _run(self) -> None:
        with Kernel() as kernel:
            kernel.run(self._serve)

    async def _serve(self) -> None:
        server = CallerServer(
            self._handle,
            encode_caller_failure,
            SystemClock(),
            lambda: self.limits,
            **self._options,
        )
        if self._closed_before_start:
            await server.close()
        task = await spawn(server.run, self.address)
        while not self._stop_requested.is_set():
            await sleep(POLL_SECONDS)
            self._started.set()
            if self._commands:
                match self._commands[0]:
                    case "drain":
                        server.drain()
                    case "connect and close":
                        # Nothing else runs before the server closes.
                        self._connect_callers(20)
                        await server.close()
                    case "send and close":
                        # The server does not run before it closes.
                        for caller in self.waiting:
                            caller.sendall(caller_request("/kept"))
                        await server.close()
                    case "fail to accept":
                        self._fail_to_accept(server, 3)
                    case _:
                        await server.close()
                self.running_requests = server.running_requests
                self._commands.pop()
        await task.cancel()

    def _connect_callers(self, count: int) -> None:
        for number in range(count):
            caller = create_connection((self.address.host, self.address.port))
            caller.sendall(caller_request(f"/{number}"))
            self.waiting.append(caller)

    def _fail_to_accept(self, server: CallerServer, count: int) -> None:
        """Let the next attempts to accept a connection fail."""
        accept = CurioSocket.accept
        failures = iter(range(count))

        async def failing_accept(listener: Any) -> Any:
            accepted = await accept(listener)
            if next(failures, None) is None:
                CurioSocket.accept = accept
                return accepted
            await accepted[0].close()
            raise OSError(EMFILE, "too many open files")

        CurioSocket.accept = failing_accept

    async def _handle(self, request: RawRequest) -> RawResponse:
        self.requests.append(request)
        if self._handler_fails:
            raise OverflowError("a number is too large")
        try:
            await sleep(self._work_seconds)
        except CancelledError:
            self.cancelled.set()
            raise
        if request.method == b"HEAD" and self._length_of_head is not None:
            length = b"%d" % self._length_of_head
            return RawResponse(200, ((b"Content-Length", length),), b"")
        return RawResponse(200, (), self._body or request.target)


def caller_request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
