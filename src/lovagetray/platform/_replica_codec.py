"""Encoding of requests to replicas and decoding of their responses."""

from datetime import timedelta

from lovagetray._routing_types import CallerRequest, ReplicaLoad, ReplicaReply
from lovagetray.queries.dispatch import RequestEncoder

_MILLISECOND = timedelta(milliseconds=1)
_STATUS_MISDIRECTED = 421


def _encode_shared(request: CallerRequest) -> tuple[bytes, bytes]:
    """Return the parts before and after the headers that are set for each replica."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in request.headers]
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n", request.body


def _encode_for_replica(
    shared_parts: tuple[bytes, bytes], replica: str, time_left: timedelta
) -> bytes:
    head, body = shared_parts
    milliseconds = max(1, int(time_left / _MILLISECOND))
    replica_headers = f"Deadline: {milliseconds}\r\nExpect-Instance: {replica}\r\n\r\n"
    return head + replica_headers.encode("latin-1") + body


replica_encoder = RequestEncoder(_encode_shared, _encode_for_replica)


def decode_reply(
    status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes
) -> ReplicaReply:
    """Return a replica's complete response, with the values of its known headers."""
    request_id = response_id = ""
    not_run = status == _STATUS_MISDIRECTED
    encoded = False
    load = None
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
    return ReplicaReply(
        status, headers, body, request_id, response_id, not_run, encoded, load
    )


def _decode_load(value: bytes) -> ReplicaLoad | None:
    """Return the load in a ``Server-Load`` header, or None if it is malformed.

    Its first three fields are running requests, waiting requests and slots.
    """
    fields = value.split(b",")
    try:
        running, waiting, slots = (int(text) for text in fields[:3])
    except ValueError:
        return None
    return ReplicaLoad(running, waiting, slots)
