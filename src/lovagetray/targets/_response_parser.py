"""Parses the responses on one connection to a replica, within limits.

A faulty replica may send anything, also without end. What is kept of it is limited for
each response and for all connections of an instance together.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from lovagetray.state import ResponseMemory, unlimited_memory
from lovagetray.wire import is_status

RECEIVE_BYTES = 65536
# Shard responses stay below 32 KiB in all deployments; a response above this limit
# comes from a faulty replica.
_MAX_BODY_BYTES = 4 * 1024 * 1024
# The parser keeps a head, trailer or chunk line until its end arrives, so the bytes
# outside the body are limited as well.
_MAX_HEAD_BYTES = 64 * 1024
_MAX_HEADERS = 128
_MAX_INFORMATIONAL_RESPONSES = 8
# Numbers of more digits are far above the limit of the body.
_MAX_LENGTH_DIGITS = 18
# Longer idle timeouts make no difference; a faulty replica may announce any number.
_MAX_IDLE_TIMEOUT_SECONDS = 3600

RawHeaders = tuple[tuple[bytes, bytes], ...]


class BufferedBytes:
    """Count of the body bytes of incomplete responses on all connections.

    Parameters
    ----------
    limit
        Number of bytes above which connections that receive more are closed.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held = 0

    @property
    def exhausted(self) -> bool:
        """Whether the connections together hold more bytes than the limit."""
        return self._held > self._limit

    def hold(self, size: int) -> None:
        """Count received bytes."""
        self._held += size

    def release(self, size: int) -> None:
        """Subtract the bytes of a response that is complete or given up."""
        self._held -= size


@dataclass(slots=True)
class RawResponse:
    """A response that is being received or is complete.

    Parameters
    ----------
    body
        The received parts of the body.
    size
        Length of these parts in bytes.
    framed
        Whether a header delimits the body; otherwise the end of the connection does.
    length
        Length of the body in bytes if a header states it.
    memory
        Memory that `taken` bytes are counted on.
    """

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    framed: bool = False
    head_complete: bool = False
    length: int | None = None
    memory: ResponseMemory | None = None
    taken: int = 0

    def give_back(self) -> None:
        """Subtract the bytes of this response from those that are counted."""
        if self.memory is not None:
            self.memory.give_back(self.taken)
        self.taken = 0


class ResponseParser:
    """Parser of the responses on one connection.

    Parameters
    ----------
    buffered
        Bytes of incomplete responses on all connections of this instance.

    Attributes
    ----------
    lacks_memory
        Whether the newest response was given up because there was no room for it.
    """

    def __init__(self, buffered: BufferedBytes) -> None:
        self._buffered = buffered
        self._parser: Any = HttpResponseParser(self)
        self._response = RawResponse()
        self._complete: list[RawResponse] = []
        self._unparsed_bytes = 0
        self._informational_responses = 0
        self._started = False
        self._bodiless = False
        self._memory = unlimited_memory()
        self.keep_alive = True
        self.oversized = False
        self.lacks_memory = False
        self.idle_timeout: timedelta | None = None

    @property
    def has_more(self) -> bool:
        """Whether a response is complete, or another one has begun."""
        return bool(self._complete) or self._started

    def expect(self, memory: ResponseMemory, bodiless: bool) -> None:
        """Expect the response to a request that is sent now.

        Parameters
        ----------
        memory
            Counts the bytes of the response before they are received.
        bodiless
            Whether the response ends with its head.
        """
        self._memory = memory
        self._bodiless = bodiless

    def feed(self, data: bytes) -> bool:
        """Parse received bytes.

        Returns
        -------
        bool
            Whether the connection can go on: the bytes are a response, within limits.
        """
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            return False
        self.oversized = (
            self.oversized
            or self._unparsed_bytes > _MAX_HEAD_BYTES + RECEIVE_BYTES
            or len(self._response.headers) > _MAX_HEADERS
            or self._informational_responses > _MAX_INFORMATIONAL_RESPONSES
            or self._response.size > _MAX_BODY_BYTES
            or self._buffered.exhausted
        )
        return not self.oversized

    def take_complete(self) -> RawResponse | None:
        """Remove and return the first complete response, or None."""
        return self._complete.pop(0) if self._complete else None

    def end_of_connection(self) -> RawResponse | None:
        """Return the response that the regular end of the connection completes."""
        response = self._response
        # A response without a length is delimited by the end of its connection.
        ends_here = response.head_complete and not response.framed
        return response if ends_here else None

    def release(self) -> None:
        """Give up the response that is being received."""
        self._buffered.release(self._response.size)
        for response in (self._response, *self._complete):
            response.give_back()
        # The parser and its callbacks refer to each other, so this object stays until
        # the next garbage collection.
        self._response = RawResponse()
        self._complete.clear()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Record that a response has begun."""
        self._started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and evaluate those that concern framing and keep-alive."""
        # The parser keeps the blanks after a value that HTTP allows.
        value = value.strip(b" \t")
        lowered = name.lower()
        if lowered in (b"content-length", b"transfer-encoding"):
            self._response.framed = True
            if lowered == b"content-length" and value.isdigit():
                self._response.length = int(value[:_MAX_LENGTH_DIGITS])
        elif lowered == b"keep-alive":
            self.idle_timeout = _idle_timeout(value)
        self._response.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Mark the head of the response as complete.

        Raises
        ------
        HttpParserError
            If the status is none of HTTP, or the body is too long or finds no room;
            the parser then accepts no further bytes.
        """
        self._response.status = self._parser.get_status_code()
        if not is_status(self._response.status):
            raise HttpParserError(f"status {self._response.status}")
        self._response.head_complete = True
        self._unparsed_bytes = 0
        if self._response.status < 200:
            return
        if self._bodiless:
            # The parser expects a body from now on, so it can parse nothing else.
            self.keep_alive = self._bodiless = False
            self._complete.append(self._response)
            self._response = RawResponse()
        elif self._response.length is not None:
            if self._response.length > _MAX_BODY_BYTES:
                self.oversized = True
                raise HttpParserError("the body is too long")
            self._take(self._response.length)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body.

        Raises
        ------
        HttpParserError
            If there is no room for it.
        """
        if self._response.length is None:
            self._take(len(body))
        self._response.body.append(body)
        self._response.size += len(body)
        self._buffered.hold(len(body))
        self._unparsed_bytes = 0

    def on_message_complete(self) -> None:
        """Queue a complete response; informational ones (1xx) are discarded."""
        self._started = False
        self._unparsed_bytes = 0
        self._buffered.release(self._response.size)
        if 100 <= self._response.status < 200:
            self._informational_responses += 1
        else:
            self._informational_responses = 0
            self.keep_alive = self.keep_alive and self._parser.should_keep_alive()
            self._complete.append(self._response)
        self._response = RawResponse()

    def _take(self, size: int) -> None:
        """Count bytes of the response before they are received."""
        if not self._memory.take(size):
            self.lacks_memory = True
            raise HttpParserError("no room for the response")
        self._response.memory = self._memory
        self._response.taken += size


def _idle_timeout(value: bytes) -> timedelta | None:
    """Return the idle timeout in a `Keep-Alive` header, or None."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        digits = number.strip()
        if name.lower() == b"timeout" and digits.isdigit():
            if len(digits) > len(str(_MAX_IDLE_TIMEOUT_SECONDS)):
                return timedelta(seconds=_MAX_IDLE_TIMEOUT_SECONDS)
            return timedelta(seconds=int(digits))
    return None
