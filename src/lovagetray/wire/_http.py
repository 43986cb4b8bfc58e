"""HTTP requests and responses, independent of the connection that carries them."""

from datetime import timedelta
from re import compile as compile_pattern
from typing import NamedTuple

from h11 import RemoteProtocolError, Request

# Delay before connections are accepted again after the attempt failed.
ACCEPT_RETRY_DELAY = timedelta(milliseconds=50)
# Parsed at once. In chunks of one byte this takes 2 to 4 ms, for which all other tasks
# wait.
BLOCK_BYTES = 2048
# A body with a length is one piece for the parser.
_MAX_BLOCK_BYTES = 65536
_MIN_STATUS = 100
_MAX_STATUS = 599
Headers = tuple[tuple[bytes, bytes], ...]
# What h11 quotes of a malformed message in its description of the error.
_QUOTED_INPUT = compile_pattern(r":? *(bytearray\(|b?['\"]).*")


class HttpRequest(NamedTuple):
    """A complete HTTP request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer_host: str
    peer_port: int = 0


class HttpResponse(NamedTuple):
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


def describe_violation(error: RemoteProtocolError) -> str:
    """Return what is wrong with a message, without any part of the message.

    The description is logged and sent in the response, and a malformed header line may
    hold the key of a workspace.
    """
    return _QUOTED_INPUT.sub("", str(error))


def receive_size(head: Request | None, received: int) -> int:
    """Return how many bytes of a request should be received next.

    Parameters
    ----------
    head
        Head of the request, if it is complete.
    received
        Bytes of the body that were received.
    """
    if head is None:
        return BLOCK_BYTES
    # h11 has checked the value.
    length = next((v for name, v in head.headers if name == b"content-length"), b"0")
    return max(BLOCK_BYTES, min(int(length) - received, _MAX_BLOCK_BYTES))


def is_status(status: int) -> bool:
    """Return whether a number is a status of HTTP.

    Parsers accept other numbers of three digits, which a caller cannot understand.
    """
    return _MIN_STATUS <= status <= _MAX_STATUS
