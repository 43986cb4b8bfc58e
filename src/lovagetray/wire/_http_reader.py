"""Reads HTTP/1.1 requests, within limits."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

from expression import Error, Ok, Result
from h11 import (
    NEED_DATA,
    PAUSED,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Request,
)

from lovagetray._errors import (
    MalformedRequest,
    MemoryExhausted,
    RequestTooLarge,
    RequestTooSlow,
)
from lovagetray.state import HeldBytes, HeldPart, ProcessorUse
from lovagetray.wire._http import HttpRequest, describe_violation, receive_size
from lovagetray.wire._processor_turns import ProcessorTurns

# Notices of replicas and address lookups are shorter; they are taken also when long
# documents fill the memory for calls.
UNCOUNTED_BYTES = 16 * 1024

RequestFailure = MalformedRequest | RequestTooLarge | RequestTooSlow | MemoryExhausted


class HttpLimits(NamedTuple):
    """Limits of the connections and requests of an HTTP server.

    Parameters
    ----------
    head_bytes, body_bytes
        Maximum size of a request's head and body.
    request_time
        Maximum time from the first byte of a request to its last one, and for sending
        a response.
    idle_time
        Maximum time for which a connection stays open without a request.
    connections
        Maximum number of open connections; further ones are closed at once.
    """

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    request_time: timedelta = timedelta(seconds=5)
    idle_time: timedelta = timedelta(seconds=60)
    connections: int = 2_000


class HttpRequestReader:
    """Reader of one request.

    Parameters
    ----------
    make_room
        Returns whether bytes of a request can be held.
    held
        Account that the bytes of the request are held on until `release`.
    turns, use
        Turns of connections that have used much processor time, and the use of this
        one.
    """

    def __init__(
        self,
        client: Any,
        connection: Connection,
        limits: HttpLimits,
        make_room: Callable[[int], bool],
        held: HeldBytes,
        turns: ProcessorTurns,
        use: ProcessorUse,
    ) -> None:
        self._client = client
        self._connection = connection
        self._limits = limits
        self._make_room = make_room
        self._held = held
        self._turns = turns
        self._use = use
        self._head: Request | None = None
        self._body = bytearray()
        self._counted = 0

    def release(self) -> None:
        """Release the bytes that are held for the request."""
        self._held.release(HeldPart.CONTROL, self._counted)
        self._counted = 0

    async def read(
        self, peer: tuple[str, int]
    ) -> Result[HttpRequest | None, RequestFailure]:
        """Return the next request, None at the end of the connection, or a failure."""
        while True:
            outcome = await self._turns.run(self._use, lambda: self._parse(peer))
            if outcome is not None:
                return outcome
            if self._connection.they_are_waiting_for_100_continue:
                await self._client.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            size = receive_size(self._head, len(self._body))
            self._connection.receive_data(await self._client.recv(size))

    def _parse(
        self, peer: tuple[str, int]
    ) -> Result[HttpRequest | None, RequestFailure] | None:
        """Parse what was received; return what `read` does, or None to read more."""
        while True:
            try:
                event = self._connection.next_event()
            except RemoteProtocolError as error:
                if error.error_status_hint == 431:
                    return Error(RequestTooLarge(self._limits.head_bytes))
                return Error(MalformedRequest(describe_violation(error)))
            match event:
                case Request():
                    self._head = event
                case Data(data=data):
                    self._body += data
                    if len(self._body) > self._limits.body_bytes:
                        return Error(RequestTooLarge(self._limits.body_bytes))
                    if len(self._body) > UNCOUNTED_BYTES:
                        if not self._make_room(len(data)):
                            return Error(MemoryExhausted())
                        self._held.hold(HeldPart.CONTROL, len(data))
                        self._counted += len(data)
                case EndOfMessage() if self._head is not None:
                    return _decode_request(self._head, bytes(self._body), peer)
                case ConnectionClosed():
                    return Ok(None)
                case _ if event is NEED_DATA:
                    return None
                case _ if event is PAUSED:
                    return Error(
                        MalformedRequest("data follows a request for a protocol switch")
                    )


def _decode_request(
    head: Request, body: bytes, peer: tuple[str, int]
) -> Result[HttpRequest | None, MalformedRequest | RequestTooLarge]:
    try:
        target = urlsplit(head.target.decode("ascii"))
        headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        }
    except (UnicodeDecodeError, ValueError) as error:
        return Error(MalformedRequest(str(error)))
    return Ok(
        HttpRequest(
            method=head.method.decode("ascii"),
            path=target.path,
            query=dict(parse_qsl(target.query)),
            headers=headers,
            body=body,
            peer_host=peer[0],
            peer_port=peer[1],
        )
    )
