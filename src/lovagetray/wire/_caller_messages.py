"""Requests and responses of callers as they are on the wire."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NamedTuple

from h11 import RemoteProtocolError

from lovagetray._errors import (
    HeadTooLarge,
    MalformedRequest,
    MemoryExhausted,
    RequestTooLarge,
    RequestTooSlow,
)
from lovagetray._routing_types import CallerLimits
from lovagetray.wire._http import describe_violation

RawHeaders = tuple[tuple[bytes, bytes], ...]
RequestFailure = (
    MalformedRequest | RequestTooLarge | HeadTooLarge | RequestTooSlow | MemoryExhausted
)


class RawRequest(NamedTuple):
    """A complete request, with target and headers as received."""

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes


class RawResponse(NamedTuple):
    """A complete response.

    The server adds its ``Content-Length``, except to the response to a HEAD request
    that states the length of the body that GET would get.
    """

    status: int
    headers: RawHeaders
    body: bytes


@dataclass(frozen=True)
class NoResponse:
    """The end of the connection in place of a response to a request that has run."""


Handler = Callable[[RawRequest], Awaitable[RawResponse | NoResponse]]
FailureEncoder = Callable[[RequestFailure], RawResponse]


def states_length(response: RawResponse) -> bool:
    """Return whether a response states the length of its body."""
    return any(name.lower() == b"content-length" for name, _ in response.headers)


def request_failure(error: RemoteProtocolError, limits: CallerLimits) -> RequestFailure:
    """Return the failure of a request that h11 cannot read."""
    if error.error_status_hint == 431:
        return HeadTooLarge(limits.head_bytes)
    return MalformedRequest(describe_violation(error))
