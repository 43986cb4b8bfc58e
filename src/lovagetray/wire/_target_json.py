"""JSON bodies and HTTP headers of the target interface."""

from datetime import timedelta
from typing import TypedDict

from expression import Error, Ok, Result
from msgspec import DecodeError, Raw, ValidationError
from msgspec.json import Decoder, encode

from lovagetray._errors import (
    BadAnnouncement,
    Failure,
    MalformedRequest,
    RefusedByTarget,
    SnapshotUnavailable,
    TargetFailed,
    WrongReply,
)
from lovagetray._types import (
    Address,
    Announcement,
    ExecuteReply,
    ExecuteRequest,
    Holding,
    Load,
    Record,
    Snapshot,
    SubReply,
    SubRequest,
    TargetState,
    is_host_address,
)
from lovagetray.state import InstanceRecord
from lovagetray.wire._http import HttpResponse


class HoldingDocument(TypedDict):
    """A shard of a snapshot that a target holds, in an announcement."""

    version: int
    layout: str
    shards: int
    shard: int


class AnnouncementDocument(TypedDict):
    """The body of ``POST /v1/announce``."""

    service: str
    target: str
    incarnation: int
    sequence: int
    data_centre: str
    host: str
    port: int
    state: str
    holdings: list[HoldingDocument]
    slots: int
    connections: int
    connect_cost_ms: float
    in_flight: int
    queued: int


class RecordDocument(TypedDict):
    """A record in a target's reply."""

    id: str
    score: float
    fields: dict[str, str]


class RecordsDocument(TypedDict):
    """The body of a target's reply to ``POST /search``."""

    records: list[RecordDocument]


class RefusalDocument(TypedDict):
    """The body of a target's refusal."""

    code: str


_announcement_decoder = Decoder(AnnouncementDocument)
_records_decoder = Decoder(RecordsDocument)
_refusal_decoder = Decoder(RefusalDocument)
_MAX_SHARDS = 100_000
_MAX_HOLDINGS = 1_000
_MAX_NAME_LENGTH = 200
# Larger numbers cannot be sent to other instances.
_MAX_INTEGER = 2**63 - 1
_MAX_REPORTED_REQUESTS = 1_000_000
_REFUSAL_CODES = frozenset({"shed", "draining", "starting"})


def decode_announcement(
    body: bytes,
) -> Result[Announcement, MalformedRequest | BadAnnouncement]:
    """Return a target's announcement, or the reason for its refusal."""
    try:
        document = _announcement_decoder.decode(body)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        return Error(MalformedRequest(str(error)))
    problem = _find_problem(document)
    if problem is not None:
        return Error(problem)
    return Ok(_to_announcement(document))


def _find_problem(document: AnnouncementDocument) -> BadAnnouncement | None:
    if not is_host_address(document["host"]):
        return BadAnnouncement("host", "the IPv4 address of one host")
    if not 1 <= document["port"] <= 65535:
        return BadAnnouncement("port", "from 1 to 65535")
    if document["state"] not in {state.value for state in TargetState}:
        return BadAnnouncement("state", "starting, ready or leaving")
    for name in ("service", "target", "data_centre"):
        if not 1 <= len(document[name]) <= _MAX_NAME_LENGTH:
            return BadAnnouncement(name, f"1 to {_MAX_NAME_LENGTH} characters long")
    if not 1 <= document["slots"] <= 10_000:
        return BadAnnouncement("slots", "from 1 to 10000")
    if not 1 <= document["connections"] <= 100_000:
        return BadAnnouncement("connections", "from 1 to 100000")
    if not 0 <= document["connect_cost_ms"] <= 60_000:
        return BadAnnouncement("connect_cost_ms", "from 0 to 60000")
    for number in ("incarnation", "sequence"):
        if not 0 <= document[number] <= _MAX_INTEGER:
            return BadAnnouncement(number, "from 0 to 2^63 - 1")
    for count in ("in_flight", "queued"):
        if not 0 <= document[count] <= _MAX_REPORTED_REQUESTS:
            return BadAnnouncement(count, f"from 0 to {_MAX_REPORTED_REQUESTS}")
    if len(document["holdings"]) > _MAX_HOLDINGS:
        return BadAnnouncement("holdings", f"at most {_MAX_HOLDINGS} long")
    for holding in document["holdings"]:
        if not 0 <= holding["version"] <= _MAX_INTEGER:
            return BadAnnouncement("version", "from 0 to 2^63 - 1")
        if not 1 <= len(holding["layout"]) <= _MAX_NAME_LENGTH:
            return BadAnnouncement("layout", f"1 to {_MAX_NAME_LENGTH} characters long")
        if not 1 <= holding["shards"] <= _MAX_SHARDS:
            return BadAnnouncement("shards", f"from 1 to {_MAX_SHARDS}")
        if not 0 <= holding["shard"] < holding["shards"]:
            return BadAnnouncement("shard", f"from 0 to {holding['shards'] - 1}")
    return None


def _to_announcement(document: AnnouncementDocument) -> Announcement:
    return Announcement(
        service=document["service"],
        target=document["target"],
        incarnation=document["incarnation"],
        sequence=document["sequence"],
        data_centre=document["data_centre"],
        address=Address(document["host"], document["port"]),
        state=TargetState(document["state"]),
        holdings=tuple(
            Holding(
                Snapshot(holding["version"], holding["layout"], holding["shards"]),
                holding["shard"],
            )
            for holding in document["holdings"]
        ),
        slots=document["slots"],
        connections=document["connections"],
        connect_cost=timedelta(milliseconds=document["connect_cost_ms"]),
        load=Load(document["in_flight"], document["queued"]),
    )


def encode_announcement_response(instances: list[InstanceRecord]) -> HttpResponse:
    """Return the response to an announcement, with the instances to announce to."""
    document = {
        "instances": [
            {"host": record.http_address.host, "port": record.http_address.port}
            for record in instances
        ]
    }
    return HttpResponse(200, {"content-type": "application/json"}, encode(document))


def encode_sub_request(request: SubRequest) -> bytes:
    """Return the body of a sub-request of a search."""
    return encode({"terms": request.terms, "limit": request.limit})


def sub_request_headers(request: SubRequest, time_left: timedelta) -> dict[str, str]:
    """Return the headers that identify a sub-request to a target.

    Parameters
    ----------
    time_left
        Sent as ``x-deadline-ms``, in whole milliseconds; negative time as zero.
    """
    return {
        "x-request-id": request.request_id,
        "x-snapshot": _format_snapshot(request.snapshot),
        "x-shard": str(request.shard),
        "x-deadline-ms": str(max(0, int(time_left.total_seconds() * 1000))),
    }


def decode_sub_reply(
    request: SubRequest, response: HttpResponse, queue_wait: timedelta
) -> Result[SubReply, Failure]:
    """Return the reply to a sub-request, or a failure for a refusal or mismatch."""
    mismatch = _find_mismatch(request, response)
    if mismatch is not None:
        return Error(mismatch)
    if response.status != 200:
        return Error(_decode_refusal(request.target, response))
    try:
        document = _records_decoder.decode(response.body)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError):
        return Error(WrongReply(request.target, "body"))
    records = tuple(
        Record(record["id"], record["score"], record["fields"])
        for record in document["records"]
    )
    return Ok(
        SubReply(
            request.request_id, request.shard, request.snapshot, records, queue_wait
        )
    )


def encode_execute_request(request: ExecuteRequest) -> bytes:
    """Return the body of a non-idempotent request."""
    return encode({"key": request.key, "body": Raw(request.body)})


def execute_headers(request: ExecuteRequest, time_left: timedelta) -> dict[str, str]:
    """Return the headers that identify a non-idempotent request to a target.

    Parameters
    ----------
    time_left
        Sent as ``x-deadline-ms``, in whole milliseconds; negative time as zero.
    """
    return {
        "x-request-id": request.request_id,
        "x-deadline-ms": str(max(0, int(time_left.total_seconds() * 1000))),
    }


def decode_execute_reply(
    request: ExecuteRequest, response: HttpResponse
) -> Result[ExecuteReply, Failure]:
    """Return the reply to an execution, or a failure for a refusal or mismatch."""
    if response.headers.get("x-request-id") != request.request_id:
        return Error(WrongReply(request.target, "request id"))
    if response.status != 200:
        return Error(_decode_refusal(request.target, response))
    return Ok(ExecuteReply(request.request_id, response.body))


def _find_mismatch(request: SubRequest, response: HttpResponse) -> WrongReply | None:
    if response.headers.get("x-request-id") != request.request_id:
        return WrongReply(request.target, "request id")
    if response.status != 200:
        return None
    if response.headers.get("x-snapshot") != _format_snapshot(request.snapshot):
        return WrongReply(request.target, "snapshot")
    if response.headers.get("x-shard") != str(request.shard):
        return WrongReply(request.target, "shard")
    return None


def _decode_refusal(target: str, response: HttpResponse) -> Failure:
    try:
        code = _refusal_decoder.decode(response.body)["code"]
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError):
        return TargetFailed(target, response.status)
    if response.status == 409 and code == "snapshot_unavailable":
        return SnapshotUnavailable(target)
    if response.status == 503 and code in _REFUSAL_CODES:
        return RefusedByTarget(target, code)
    return TargetFailed(target, response.status)


def _format_snapshot(snapshot: Snapshot) -> str:
    return f"{snapshot.version}/{snapshot.layout}/{snapshot.shards}"
