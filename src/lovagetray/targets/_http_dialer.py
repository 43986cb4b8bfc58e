"""Connections to targets over HTTP/1.1."""

from datetime import timedelta

from expression import Error, Ok, Result

from lovagetray._clock import Clock
from lovagetray._errors import ConnectFailed, Failure
from lovagetray._types import Announcement
from lovagetray.targets._connection import NoFirstByte, TargetConnection
from lovagetray.targets._work import Execute, Reply, Search, Work
from lovagetray.wire import (
    HttpConnection,
    HttpResponse,
    decode_execute_reply,
    decode_sub_reply,
    encode_execute_request,
    encode_sub_request,
    execute_headers,
    sub_request_headers,
)


class HttpTargetConnection:
    """HTTP connection to a target."""

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection

    @property
    def exchanges(self) -> int:
        """The number of completed exchanges."""
        return self._connection.exchanges

    @property
    def used_at(self) -> timedelta:
        """Monotonic time at which the last exchange ended."""
        return self._connection.used_at

    @property
    def reusable(self) -> bool:
        """Whether another exchange can start on this connection."""
        return self._connection.reusable

    @property
    def readable(self) -> bool:
        """Whether data or the end of the stream can be read."""
        return self._connection.readable

    async def exchange(
        self, work: Work, timeout: timedelta, first_byte_timeout: timedelta | None
    ) -> Result[Reply, Failure | NoFirstByte]:
        """Send one request and return its reply.

        Parameters
        ----------
        timeout
            Time until the last byte of the reply.
        first_byte_timeout
            Time until the first byte of the reply; None if only `timeout` counts.
        """
        match work:
            case Search(request=search):
                path = "/search"
                headers = sub_request_headers(search, timeout)
                body = encode_sub_request(search)
            case Execute(request=execute):
                path = "/execute"
                headers = execute_headers(execute, timeout)
                body = encode_execute_request(execute)
        replied = await self._connection.exchange(
            "POST", path, headers, body, timeout, first_byte_timeout
        )
        match replied:
            case Result(tag="ok", ok=response):
                return _decode(work, response)
            case Result(error=failure):
                response_started = self._connection.response_started
                return Error(failure if response_started else NoFirstByte(failure))

    async def close(self) -> None:
        """Close the connection; the target stops working on a request in flight."""
        await self._connection.close()


class HttpDialer:
    """Dialer of HTTP connections to targets."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    async def open(
        self, announcement: Announcement, timeout: timedelta
    ) -> Result[TargetConnection, ConnectFailed]:
        """Return a new connection, or `ConnectFailed` after `timeout`."""
        opened = await HttpConnection.open(
            announcement.target, announcement.address, self._clock, timeout
        )
        match opened:
            case Result(tag="ok", ok=connection):
                return Ok(HttpTargetConnection(connection))
            case Result(error=failure):
                return Error(failure)


def _decode(work: Work, response: HttpResponse) -> Result[Reply, Failure | NoFirstByte]:
    match work:
        case Search(request=search):
            return decode_sub_reply(search, response, timedelta(0))
        case Execute(request=execute):
            return decode_execute_reply(execute, response)
