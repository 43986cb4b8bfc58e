"""What a gateway needs from its adapter: codecs and servers."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from lovagetray.queries.dispatch import RequestEncoder
from lovagetray.state import DocumentDecoder
from lovagetray.targets import ReplyDecoder


class GatewayFormats(NamedTuple):
    """Codecs for the formats of callers, replicas and operators."""

    decode_document: DocumentDecoder
    encode_request: RequestEncoder
    decode_reply: ReplyDecoder


class CallerFrontend(NamedTuple):
    """A server of callers' requests.

    Parameters
    ----------
    run
        Serves until cancelled.
    drain
        Asks callers to move to another instance.
    close
        Accepts no more requests; those in flight continue.
    running_requests
        Returns the number of requests in flight.
    """

    run: Callable[[], Awaitable[None]]
    drain: Callable[[], None]
    close: Callable[[], Awaitable[None]]
    running_requests: Callable[[], int]


class ControlServer(NamedTuple):
    """A server of calls from replicas, operators and the platform.

    Parameters
    ----------
    run
        Serves until cancelled.
    """

    run: Callable[[], Awaitable[None]]
