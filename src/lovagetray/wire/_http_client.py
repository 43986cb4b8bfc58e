"""HTTP/1.1 client connection, based on h11, with one exchange at a time."""

from datetime import timedelta
from select import POLLIN, poll
from typing import Any

from expression import Error, Ok, Result
from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    RemoteProtocolError,
    Request,
    Response,
)

from lovagetray._clock import Clock
from lovagetray._errors import ConnectFailed, ConnectionLost, NoReply
from lovagetray._types import Address
from lovagetray.wire._connect import connect
from lovagetray.wire._http import HttpResponse, is_status

_RECEIVE_BYTES = 65536
_MAX_BODY_BYTES = 4 * 1024 * 1024
_MAX_INFORMATIONAL = 8


class HttpConnection:
    """An open connection to an HTTP/1.1 server.

    A connection is not reusable after an exchange that failed or was cancelled: a late
    response would be taken for the response to the next request.

    Parameters
    ----------
    name
        Name of the server in failures.
    """

    def __init__(self, name: str, address: Address, stream: Any, clock: Clock) -> None:
        self._name = name
        self._address = address
        self._stream = stream
        self._clock = clock
        self._h11 = Connection(CLIENT)
        self._used_at = clock.monotonic_time()
        self._exchanges = 0
        self._busy = False
        self._response_started = False

    @property
    def response_started(self) -> bool:
        """Whether any byte of a response arrived in the last exchange."""
        return self._response_started

    @property
    def readable(self) -> bool:
        """Whether data or the end of the stream can be read."""
        ready = poll()
        ready.register(self._stream.fileno(), POLLIN)
        return bool(ready.poll(0)) or bool(self._h11.trailing_data[0])

    @property
    def reusable(self) -> bool:
        """Whether another exchange can start on this connection."""
        return not self._busy

    @property
    def exchanges(self) -> int:
        """The number of completed exchanges."""
        return self._exchanges

    @property
    def used_at(self) -> timedelta:
        """Monotonic time at which the last exchange ended or the connection opened."""
        return self._used_at

    @classmethod
    async def open(
        cls, name: str, address: Address, clock: Clock, timeout: timedelta
    ) -> Result["HttpConnection", ConnectFailed]:
        """Return a new connection to `address`, or `ConnectFailed` after `timeout`."""
        try:
            opened = await clock.with_timeout(timeout, connect(address))
        except OSError:
            return Error(ConnectFailed(name))
        match opened:
            case Result(tag="ok", ok=stream):
                return Ok(cls(name, address, stream, clock))
            case _:
                return Error(ConnectFailed(name))

    async def exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: timedelta,
        first_byte_timeout: timedelta | None = None,
    ) -> Result[HttpResponse, ConnectionLost | NoReply]:
        """Send one request and return its response.

        Parameters
        ----------
        timeout
            Maximum time until the last byte of the response.
        first_byte_timeout
            Maximum time until the first byte of the response; None if only `timeout`
            applies.

        Returns
        -------
        Result
            The response, or `ConnectionLost` or `NoReply`; after either failure the
            request may have run.
        """
        self._busy = True
        self._response_started = False
        started = self._clock.monotonic_time()
        try:
            first_bytes = await self._clock.with_timeout(
                (
                    timeout
                    if first_byte_timeout is None
                    else min(timeout, first_byte_timeout)
                ),
                self._send(method, path, headers, body),
            )
            if first_bytes.is_error():
                return Error(NoReply(self._name))
            time_left = timeout - (self._clock.monotonic_time() - started)
            received = await self._clock.with_timeout(time_left, self._read_response())
        except (OSError, RemoteProtocolError):
            return Error(ConnectionLost(self._name))
        match received:
            case Result(tag="ok", ok=Result(tag="ok", ok=response)):
                self._finish()
                return Ok(response)
            case Result(tag="ok"):
                return Error(ConnectionLost(self._name))
            case _:
                return Error(NoReply(self._name))

    async def close(self) -> None:
        """Close the connection; the server may stop work on a request in flight."""
        self._busy = True
        await self._stream.close()

    def _finish(self) -> None:
        self._exchanges += 1
        self._used_at = self._clock.monotonic_time()
        complete = self._h11.our_state is DONE and self._h11.their_state is DONE
        # Data after the response belongs to no request, so the connection is unusable.
        if complete and not self._h11.trailing_data[0]:
            self._h11.start_next_cycle()
            self._busy = False

    async def _send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Send a request and receive the first bytes of the response."""
        head = Request(
            method=method,
            target=path,
            headers=[
                ("host", str(self._address)),
                ("content-length", str(len(body))),
                *headers.items(),
            ],
        )
        payload = self._h11.send(head) or b""
        payload += self._h11.send(Data(data=body)) or b""
        payload += self._h11.send(EndOfMessage()) or b""
        await self._stream.sendall(payload)
        await self._receive()

    async def _receive(self) -> None:
        received = await self._stream.recv(_RECEIVE_BYTES)
        self._response_started = self._response_started or bool(received)
        self._h11.receive_data(received)

    async def _read_response(self) -> Result[HttpResponse, ConnectionLost]:
        status = informational = 0
        headers: dict[str, str] = {}
        body = bytearray()
        # A faulty server may send both without end; h11 limits the rest. A task that
        # always finds data to read would also never give way to a timeout.
        while len(body) <= _MAX_BODY_BYTES and informational <= _MAX_INFORMATIONAL:
            event = self._h11.next_event()
            if event is NEED_DATA:
                await self._receive()
                continue
            match event:
                case Response(status_code=status) if not is_status(status):
                    break
                case Response(status_code=status):
                    headers = {
                        name.decode("ascii"): value.decode("latin-1")
                        for name, value in event.headers
                    }
                case InformationalResponse():
                    informational += 1
                case Data(data=data):
                    body += data
                case EndOfMessage():
                    return Ok(HttpResponse(status, headers, bytes(body)))
                case ConnectionClosed():
                    break
        return Error(ConnectionLost(self._name))
