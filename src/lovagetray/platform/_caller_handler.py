"""Decoding of callers' requests and encoding of the responses to them."""

from datetime import timedelta
from uuid import uuid4

from expression import Result

from lovagetray._errors import (
    HeadTooLarge,
    MalformedRequest,
    MemoryExhausted,
    RequestTooLarge,
    RequestTooSlow,
)
from lovagetray._routing_errors import (
    ForwardFailure,
    KeyMalformed,
    KeyMissing,
    KeyUnknown,
    NoRoute,
    NotStarted,
    OverQuota,
    QuotaUnconfirmed,
    RequestFailed,
    RequestNotRun,
    ResponseDropped,
    StateTooOld,
    TimeLimitReached,
)
from lovagetray._routing_types import CallerRequest, ReplicaReply
from lovagetray.gateway import Gateway
from lovagetray.queries.gathering import GatheredAnswer
from lovagetray.wire import NoResponse, RawRequest, RawResponse, failure_status

# Headers that apply to one connection only and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
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
# Headers that the gateway sets for each replica instead of forwarding the caller's.
_REPLICA_HEADERS = frozenset((b"deadline", b"expect-instance"))
# Headers that state who the caller is; the routing document decides whether they are
# forwarded.
_IDENTITY_HEADERS = frozenset((b"authorization", b"tenant"))
# Times of more digits, in milliseconds, are over a day; a caller with one has no limit
# of its own. Unlimited ones would exceed what a duration can hold.
_MAX_DEADLINE_DIGITS = 8
# A gateway has a routing document within a second of its start.
_NOT_STARTED_RETRY_AFTER = timedelta(milliseconds=500)
_CHALLENGE = (b"WWW-Authenticate", b"Token")


class CallerHandler:
    """Handler of callers' requests, which the gateway forwards to replicas."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def handle(self, raw: RawRequest) -> RawResponse | NoResponse:
        """Return the response to a caller's request, if there can be one."""
        request = decode_request(raw)
        match await self._gateway.answer(request):
            case Result(tag="ok", ok=GatheredAnswer() as answer):
                return _encode_gathered_answer(answer)
            case Result(tag="ok", ok=ReplicaReply() as reply):
                return _encode_replica_reply(reply, bodiless=raw.method == b"HEAD")
            case Result(error=failure):
                return encode_failure(failure)


def decode_request(raw: RawRequest) -> CallerRequest:
    """Return a caller's request without hop-by-hop headers.

    A request without an id gets a random one.
    """
    request_id = host = ""
    time_left = None
    credentials: list[bytes] = []
    excluded = set(_HOP_BY_HOP_HEADERS)
    for name, value in raw.headers:
        match name.lower():
            case b"request-id":
                request_id = value.decode("latin-1")
            case b"host":
                host = value.decode("latin-1").split(":", 1)[0].lower()
            case b"deadline":
                time_left = _decode_time_left(value.strip())
            case b"authorization":
                credentials.append(value)
            case b"connection":
                excluded.update(option.strip().lower() for option in value.split(b","))
    excluded |= _REPLICA_HEADERS
    identity_headers = tuple(
        header
        for header in raw.headers
        if header[0].lower() in _IDENTITY_HEADERS - excluded
    )
    excluded |= _IDENTITY_HEADERS
    headers = tuple(
        header for header in raw.headers if header[0].lower() not in excluded
    )
    if not request_id:
        request_id = uuid4().hex
        headers += ((b"Request-Id", request_id.encode()),)
    return CallerRequest(
        request_id,
        raw.method,
        raw.target,
        host,
        headers,
        raw.body,
        time_left,
        tuple(credentials),
        identity_headers,
    )


def _decode_time_left(value: bytes) -> timedelta | None:
    """Return the time in a ``Deadline`` header, or None if it states no limit."""
    if not value.isdigit() or len(value) > _MAX_DEADLINE_DIGITS:
        return None
    return timedelta(milliseconds=int(value))


def _encode_gathered_answer(answer: GatheredAnswer) -> RawResponse:
    response_ids = ", ".join(answer.response_ids).encode("latin-1")
    headers = (
        (b"Part-Stamps", response_ids),
        (b"Missing-Parts", b"%d" % answer.missing),
    )
    return RawResponse(200, headers, answer.records)


def _encode_replica_reply(reply: ReplicaReply, bodiless: bool) -> RawResponse:
    """Return a replica's response; a bodiless one keeps the length that it states."""
    excluded = _HOP_BY_HOP_HEADERS
    if bodiless:
        excluded -= {b"content-length"}
    headers = tuple(
        header for header in reply.headers if header[0].lower() not in excluded
    )
    return RawResponse(reply.status, headers, reply.body)


def encode_failure(failure: ForwardFailure) -> RawResponse | NoResponse:
    """Return the response to a request that failed or was refused, if there is one."""
    match failure:
        case NotStarted():
            return _error_response(503, str(failure), _NOT_STARTED_RETRY_AFTER)
        case RequestNotRun(retry_after=retry_after) | QuotaUnconfirmed(
            retry_after=retry_after
        ):
            return _error_response(503, str(failure), retry_after)
        case OverQuota(retry_after=retry_after):
            return _error_response(429, str(failure), retry_after)
        case NoRoute():
            return _error_response(404, str(failure))
        case TimeLimitReached():
            return _error_response(504, str(failure))
        case RequestFailed():
            return _error_response(502, str(failure))
        case ResponseDropped():
            # The request has run, so it cannot be refused.
            return NoResponse()
        case StateTooOld(retry_after=retry_after):
            return _error_response(503, str(failure), retry_after)
        case KeyMissing() | KeyMalformed() | KeyUnknown():
            response = _error_response(401, str(failure))
            return response._replace(headers=(*response.headers, _CHALLENGE))


def encode_caller_failure(
    failure: (
        MalformedRequest
        | RequestTooLarge
        | HeadTooLarge
        | RequestTooSlow
        | MemoryExhausted
    ),
) -> RawResponse:
    """Return the response to a request that could not be read."""
    match failure:
        case MemoryExhausted(retry_after=retry_after):
            return _error_response(503, str(failure), retry_after)
        case _:
            return _error_response(failure_status(failure), str(failure))


def _error_response(
    status: int, message: str, retry_after: timedelta | None = None
) -> RawResponse:
    headers: list[tuple[bytes, bytes]] = [(b"Content-Type", b"text/plain")]
    if retry_after is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after.total_seconds()))
    return RawResponse(status, tuple(headers), message.encode())
