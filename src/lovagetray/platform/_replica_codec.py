"""Requests to replicas and their responses."""

from datetime import timedelta

from lovagetray._routing_types import CallerRequest, ReplicaLoad, ReplicaReply
from lovagetray.queries.dispatch import RequestEncoder

_MILLISECOND = timedelta(milliseconds=1)
_MISDIRECTED = 421


def _common(request: CallerRequest) -> tuple[bytes, bytes]:
    """Return what precedes and what follows the headers of one replica."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in request.headers]
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n", request.body


def _complete(common: tuple[bytes, bytes], replica: str, time_left: timedelta) -> bytes:
    head, body = common
    milliseconds = max(1, int(time_left / _MILLISECOND))
    own = f"Deadline: {milliseconds}\r\nExpect-Instance: {replica}\r\n\r\n"
    return head + own.encode("latin-1") + body


replica_encoder = RequestEncoder(_common, _complete)


def decode_reply(
    status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes
) -> ReplicaReply:
    """Return a replica's complete response."""
    request_id = response_id = ""
    not_run = status == _MISDIRECTED
    encoded = False
    load = None
    for name, value in headers:
        match name.lower():
            case b"server-stamp":
                response_id = value.decode("latin-1")
            case b"request-id":
                request_id = value.decode("latin-1")
            case b"server-load":
                load = _load(value)
            case b"not-executed":
                not_run = True
            case b"content-encoding":
                encoded = True
    return ReplicaReply(
        status, headers, body, request_id, response_id, not_run, encoded, load
    )


def _load(value: bytes) -> ReplicaLoad | None:
    """Return running requests, waiting requests and slots; None if malformed."""
    fields = value.split(b",")
    try:
        running, waiting, slots = (int(one) for one in fields[:3])
    except ValueError:
        return None
    return ReplicaLoad(running, waiting, slots)
