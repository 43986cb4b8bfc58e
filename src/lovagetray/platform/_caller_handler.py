"""Callers' requests and the responses that they get."""

from datetime import timedelta
from uuid import uuid4

from expression import Result

from lovagetray._errors import (
    HeadTooLarge,
    MalformedRequest,
    RequestTooLarge,
    RequestTooSlow,
)
from lovagetray._routing_errors import (
    ForwardFailure,
    NoRoute,
    NotStarted,
    RequestFailed,
    RequestNotRun,
    TimeLimitReached,
)
from lovagetray._routing_types import CallerRequest, ReplicaReply
from lovagetray.gateway import Gateway
from lovagetray.queries.gathering import GatheredAnswer
from lovagetray.wire import RawRequest, RawResponse, failure_status

_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Set anew for each replica.
_OWN_HEADERS = frozenset((b"deadline", b"expect-instance"))
# A gateway that has just started knows the configuration within a second.
_RETRY_NOT_STARTED = timedelta(milliseconds=500)


class CallerHandler:
    """Handles callers' requests through the gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def handle(self, raw: RawRequest) -> RawResponse:
        """Return the response to a caller's request."""
        request = decode_request(raw)
        match await self._gateway.answer(request):
            case Result(tag="ok", ok=GatheredAnswer() as answer):
                return _gathered(answer)
            case Result(tag="ok", ok=ReplicaReply() as reply):
                return _passed_on(reply)
            case Result(error=failure):
                return encode_failure(failure)


def decode_request(raw: RawRequest) -> CallerRequest:
    """Return a caller's request without the headers of its connection."""
    request_id = host = ""
    time_left = None
    dropped = set(_HOP_HEADERS)
    for name, value in raw.headers:
        match name.lower():
            case b"request-id":
                request_id = value.decode("latin-1")
            case b"host":
                host = value.decode("latin-1").split(":", 1)[0].lower()
            case b"deadline" if value.strip().isdigit():
                time_left = timedelta(milliseconds=int(value))
            case b"connection":
                dropped.update(one.strip().lower() for one in value.split(b","))
    dropped |= _OWN_HEADERS
    headers = tuple(pair for pair in raw.headers if pair[0].lower() not in dropped)
    if not request_id:
        request_id = uuid4().hex
        headers += ((b"Request-Id", request_id.encode()),)
    return CallerRequest(
        request_id, raw.method, raw.target, host, headers, raw.body, time_left
    )


def _gathered(answer: GatheredAnswer) -> RawResponse:
    stamps = ", ".join(answer.signatures).encode("latin-1")
    headers = ((b"Part-Stamps", stamps), (b"Missing-Parts", b"%d" % answer.missing))
    return RawResponse(200, headers, answer.records)


def _passed_on(reply: ReplicaReply) -> RawResponse:
    headers = tuple(
        pair for pair in reply.headers if pair[0].lower() not in _HOP_HEADERS
    )
    return RawResponse(reply.status, headers, reply.body)


def encode_failure(failure: ForwardFailure) -> RawResponse:
    """Return the response for a request without an answer."""
    match failure:
        case NotStarted():
            return _refusal(503, str(failure), _RETRY_NOT_STARTED)
        case RequestNotRun(retry_after=retry_after):
            return _refusal(503, str(failure), retry_after)
        case NoRoute():
            return _refusal(404, str(failure))
        case TimeLimitReached():
            return _refusal(504, str(failure))
        case RequestFailed():
            return _refusal(502, str(failure))


def encode_unreadable(
    failure: MalformedRequest | RequestTooLarge | HeadTooLarge | RequestTooSlow,
) -> RawResponse:
    """Return the response to a request that could not be read."""
    return _refusal(failure_status(failure), str(failure))


def _refusal(
    status: int, message: str, retry_after: timedelta | None = None
) -> RawResponse:
    headers: list[tuple[bytes, bytes]] = [(b"Content-Type", b"text/plain")]
    if retry_after is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after.total_seconds()))
    return RawResponse(status, tuple(headers), message.encode())
