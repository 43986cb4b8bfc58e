"""JSON requests and responses of the caller interface."""

from datetime import timedelta
from typing import NotRequired, TypedDict

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder, encode

from lovagetray._errors import (
    BadAnnouncement,
    DeadlinePassed,
    HeadTooLarge,
    Incomplete,
    InvalidSettings,
    KeyConflict,
    KeyExpired,
    LedgerUnavailable,
    MalformedRequest,
    MemoryExhausted,
    NoLeader,
    NotLeader,
    Overloaded,
    PeerUnreachable,
    ProposalUnconfirmed,
    QuorumLost,
    RefusedSettings,
    RequestIdReused,
    RequestTooLarge,
    RequestTooSlow,
    RevisionAhead,
    RevisionConflict,
    StaleAnnouncement,
    Stopping,
    TimedOut,
    Unauthorized,
    UnknownRevision,
    UnknownRoute,
    UnknownService,
    proves_not_run,
)
from lovagetray._types import Answer, SearchRequest
from lovagetray.state import InstanceRecord
from lovagetray.wire._http import HttpResponse

_JSON = {"content-type": "application/json"}
_MAX_LIMIT = 1_000


class SearchDocument(TypedDict):
    """The body of ``POST /v1/search``."""

    service: str
    terms: str
    member: NotRequired[str]
    limit: NotRequired[int]
    deadline_ms: NotRequired[int]
    require_complete: NotRequired[bool]


class SearchDefaults(TypedDict):
    """Values from the settings tree that apply where a request states none."""

    deadline: timedelta
    require_complete: bool


_search_decoder = Decoder(SearchDocument)


def decode_search_document(body: bytes) -> Result[SearchDocument, MalformedRequest]:
    """Return the document of a search, or the reason why it is malformed."""
    try:
        return Ok(_search_decoder.decode(body))
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        return Error(MalformedRequest(str(error)))


def search_request(
    document: SearchDocument, request_id: str, defaults: SearchDefaults
) -> Result[SearchRequest, MalformedRequest | DeadlinePassed]:
    """Return the search described by a document, with defaults filled in.

    A document may require a complete answer where the default does not, but cannot
    waive the requirement.
    """
    limit = document.get("limit", 20)
    if not 1 <= limit <= _MAX_LIMIT:
        return Error(MalformedRequest(f"limit must be from 1 to {_MAX_LIMIT}"))
    timeout = defaults["deadline"]
    if "deadline_ms" in document:
        if document["deadline_ms"] <= 0:
            return Error(DeadlinePassed())
        timeout = timedelta(milliseconds=min(document["deadline_ms"], 60_000))
    complete_requested = document.get("require_complete", False)
    return Ok(
        SearchRequest(
            request_id=request_id,
            service=document["service"],
            member=document.get("member", ""),
            terms=document["terms"],
            limit=limit,
            time_left=timeout,
            require_complete=complete_requested or defaults["require_complete"],
        )
    )


def encode_search_response(answer: Answer) -> HttpResponse:
    """Return the response with the answer to a search."""
    snapshot = answer.snapshot
    coverage = answer.coverage
    document = {
        "request_id": answer.request_id,
        "query_id": answer.query_id,
        "service": answer.service,
        "snapshot": snapshot._asdict(),
        "coverage": {
            "shards": coverage.shards,
            "included": coverage.included,
            "missing": [
                {"shard": missing.shard, "reason": missing.reason.value}
                for missing in coverage.missing
            ],
            "complete": coverage.complete,
        },
        "results": [record._asdict() for record in answer.records],
    }
    return HttpResponse(200, dict(_JSON), encode(document))


def encode_addresses(
    instances: list[InstanceRecord], lifetime: timedelta
) -> HttpResponse:
    """Return the response that lists the instances whose addresses a caller can use.

    Parameters
    ----------
    lifetime
        Time for which a caller may cache the list.
    """
    document = {
        "lifetime_ms": int(lifetime.total_seconds() * 1000),
        "addresses": [
            {
                "instance": record.instance.name,
                "host": record.http_address.host,
                "port": record.http_address.port,
                "data_centre": record.data_centre,
            }
            for record in instances
        ],
    }
    return HttpResponse(200, dict(_JSON), encode(document))


def encode_failure(failure: object, request_id: str = "") -> HttpResponse:
    """Return the response that reports a failure under its stable error code."""
    code = str(getattr(failure, "code", "internal"))
    document = {
        "error": {
            "code": code,
            "message": str(failure),
            "not_run": proves_not_run(failure),
        },
        "request_id": request_id,
    }
    headers = {**_JSON, "x-error-code": code}
    return HttpResponse(failure_status(failure), headers, encode(document))


def failure_status(failure: object) -> int:
    """Return the HTTP status of a failure."""
    match failure:
        case MalformedRequest() | BadAnnouncement():
            return 400
        case InvalidSettings() | RefusedSettings():
            return 400
        case Unauthorized():
            return 401
        case UnknownRoute() | UnknownService() | UnknownRevision():
            return 404
        case RequestTooSlow():
            return 408
        case (
            StaleAnnouncement() | RevisionConflict() | RequestIdReused() | KeyConflict()
        ):
            return 409
        case KeyExpired():
            return 410
        case RequestTooLarge():
            return 413
        case HeadTooLarge():
            return 431
        case Overloaded() | Stopping() | PeerUnreachable() | Incomplete():
            return 503
        case RevisionAhead() | LedgerUnavailable() | MemoryExhausted():
            return 503
        case NoLeader() | NotLeader() | QuorumLost() | ProposalUnconfirmed():
            return 503
        case DeadlinePassed() | TimedOut():
            return 504
        case _:
            return 502
