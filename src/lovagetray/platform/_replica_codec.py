"""Encoding of requests to replicas and decoding of their responses."""

from datetime import timedelta

from lovagetray._routing_types import CallerRequest, ReplicaLoad, ReplicaReply
from lovagetray.queries.dispatch import RequestEncoder

_MILLISECOND = timedelta(milliseconds=1)
_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
# Higher figures in a load report are errors of the replica and would exceed a float.
_MAX_LOAD_DIGITS = 9
# Longest time for which a replica may ask for no requests; a faulty one asks for more.
_MAX_REFUSAL_SECONDS = 600.0


def _encode_shared(request: CallerRequest) -> tuple[bytes, bytes]:
    """Return the parts before and after the headers that are set for each replica."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    headers = request.headers + request.identity_headers
    lines += [name + b": " + value for name, value in headers]
    if request.workspace is not None:
        lines.append(b"Tenant: " + request.workspace.encode())
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n", request.body


def _encode_for_replica(
    shared_parts: tuple[bytes, bytes], replica: str, time_left: timedelta
) -> tuple[bytes, bytes]:
    head, body = shared_parts
    milliseconds = max(1, int(time_left / _MILLISECOND))
    replica_headers = f"Deadline: {milliseconds}\r\nExpect-Instance: {replica}\r\n\r\n"
    return head + replica_headers.encode("latin-1"), body


replica_encoder = RequestEncoder(_encode_shared, _encode_for_replica)


def decode_reply(
    status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes
) -> ReplicaReply:
    """Return a replica's complete response, with the values of its known headers."""
    request_id = response_id = ""
    not_run = status == _STATUS_MISDIRECTED
    encoded = leaving = False
    load = None
    refuses_for = None
    for name, value in headers:
        match name.lower():
            case b"server-stamp":
                response_id = value.decode("latin-1")
            case b"request-id":
                request_id = value.decode("latin-1")
            case b"server-load":
                load = _decode_load(value)
            case b"not-executed":
                not_run = True
            case b"content-encoding":
                encoded = True
            case b"server-leaving":
                leaving = value.strip() == b"1"
            case b"retry-after" if status == _STATUS_UNAVAILABLE:
                refuses_for = _decode_refusal_time(value)
    return ReplicaReply(
        status,
        headers,
        body,
        request_id,
        response_id,
        not_run,
        encoded,
        load,
        leaving,
        refuses_for,
    )


def _decode_refusal_time(value: bytes) -> timedelta | None:
    """Return the seconds in a ``Retry-After`` header, or None if it is malformed."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not seconds > 0:
        return None
    return timedelta(seconds=min(seconds, _MAX_REFUSAL_SECONDS))


def _decode_load(value: bytes) -> ReplicaLoad | None:
    """Return the load in a ``Server-Load`` header, or None if it is malformed.

    Its first three fields are running requests, waiting requests and slots.
    """
    fields = [text.strip() for text in value.split(b",")[:3]]
    if len(fields) < 3 or not all(
        text.isdigit() and len(text) <= _MAX_LOAD_DIGITS for text in fields
    ):
        return None
    return ReplicaLoad(*map(int, fields))
