"""HTTP/1.1 client connection: one exchange at a time, through h11."""

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
    RemoteProtocolError,
    Request,
    Response,
)

from lovagetray._clock import Clock
from lovagetray._errors import ConnectFailed, ConnectionLost, NoReply
from lovagetray._types import Address
from lovagetray.wire._connect import connect
from lovagetray.wire._http import HttpResponse

_RECEIVE_BYTES = 65536


class HttpConnection:
    """An open connection to an HTTP/1.1 server.

    A connection whose exchange failed or was cancelled is not reusable, so that a late
    reply can never be read as the reply to the next request.
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
        """Whether the last exchange received any byte."""
        return self._response_started

    @property
    def readable(self) -> bool:
        """Whether bytes or the end of the stream wait to be read."""
        ready = poll()
        ready.register(self._stream.fileno(), POLLIN)
        return bool(ready.poll(0)) or bool(self._h11.trailing_data[0])

    @property
    def reusable(self) -> bool:
        """Whether another exchange can start on this connection."""
        return not self._busy

    @property
    def exchanges(self) -> int:
        """The exchanges completed so far."""
        return self._exchanges

    @property
    def used_at(self) -> timedelta:
        """When the last exchange ended, on the monotonic clock."""
        return self._used_at

    @classmethod
    async def open(
        cls, name: str, address: Address, clock: Clock, limit: timedelta
    ) -> Result["HttpConnection", ConnectFailed]:
        """Return a new connection to `address`, or a failure after `limit`."""
        try:
            opened = await clock.with_timeout(limit, connect(address))
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
        limit: timedelta,
        first_byte: timedelta | None = None,
    ) -> Result[HttpResponse, ConnectionLost | NoReply]:
        """Send one request and return its response.

        Parameters
        ----------
        limit
            Time until the last byte of the response.
        first_byte
            Time until the first byte of the response; None if only `limit` counts.

        Returns
        -------
        Result
            The response; `ConnectionLost` or `NoReply` if the request may have run.
        """
        self._busy = True
        self._response_started = False
        started = self._clock.monotonic_time()
        try:
            begun = await self._clock.with_timeout(
                limit if first_byte is None else min(limit, first_byte),
                self._send(method, path, headers, body),
            )
            if begun.is_error():
                return Error(NoReply(self._name))
            left = limit - (self._clock.monotonic_time() - started)
            done = await self._clock.with_timeout(left, self._read_response())
        except (OSError, RemoteProtocolError):
            return Error(ConnectionLost(self._name))
        match done:
            case Result(tag="ok", ok=Result(tag="ok", ok=response)):
                self._finish()
                return Ok(response)
            case Result(tag="ok"):
                return Error(ConnectionLost(self._name))
            case _:
                return Error(NoReply(self._name))

    async def close(self) -> None:
        """Close the connection; the server may stop work on a running request."""
        self._busy = True
        await self._stream.close()

    def _finish(self) -> None:
        self._exchanges += 1
        self._used_at = self._clock.monotonic_time()
        done = self._h11.our_state is DONE and self._h11.their_state is DONE
        # Bytes after the response belong to no request.
        if done and not self._h11.trailing_data[0]:
            self._h11.start_next_cycle()
            self._busy = False

    async def _send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Send a request and wait for the first bytes of the response."""
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
        status = 0
        headers: dict[str, str] = {}
        body = bytearray()
        while True:
            event = self._h11.next_event()
            if event is NEED_DATA:
                await self._receive()
                continue
            match event:
                case Response(status_code=status):
                    headers = {
                        name.decode("ascii"): value.decode("latin-1")
                        for name, value in event.headers
                    }
                case Data(data=data):
                    body += data
                case EndOfMessage():
                    return Ok(HttpResponse(status, headers, bytes(body)))
                case ConnectionClosed():
                    return Error(ConnectionLost(self._name))
