"""JSON of non-idempotent requests."""

from datetime import datetime, timedelta
from typing import NotRequired, TypedDict

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder, encode

from lovagetray._errors import DeadlinePassed, MalformedRequest
from lovagetray.commands.effects import EffectAnswer, EffectRequest
from lovagetray.state import EffectDone, EffectUnknown
from lovagetray.wire._http import HttpResponse

_JSON = {"content-type": "application/json"}
_LONGEST_KEY = 200
_LONGEST_BUDGET_MS = 60_000


class EffectDocument(TypedDict):
    """The body of ``POST /v1/effects``."""

    service: str
    key: str
    issued_at: datetime
    body: str
    member: NotRequired[str]
    deadline_ms: NotRequired[int]


_effect_decoder = Decoder(EffectDocument)


def decode_effect_request(
    content: bytes, request_id: str, default_budget: timedelta
) -> Result[EffectRequest, MalformedRequest | DeadlinePassed]:
    """Return the non-idempotent request in `content`, or why it is refused."""
    try:
        document = _effect_decoder.decode(content)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        return Error(MalformedRequest(str(error)))
    if not 1 <= len(document["key"]) <= _LONGEST_KEY:
        return Error(MalformedRequest(f"key must have 1 to {_LONGEST_KEY} characters"))
    if document["issued_at"].tzinfo is None:
        return Error(MalformedRequest("issued_at must have a time zone"))
    budget = default_budget
    if "deadline_ms" in document:
        if document["deadline_ms"] <= 0:
            return Error(DeadlinePassed())
        budget = timedelta(
            milliseconds=min(document["deadline_ms"], _LONGEST_BUDGET_MS)
        )
    return Ok(
        EffectRequest(
            request_id=request_id,
            service=document["service"],
            member=document.get("member", ""),
            key=document["key"],
            issued_at=document["issued_at"],
            body=document["body"],
            time_left=budget,
        )
    )


def encode_effect_response(answer: EffectAnswer, request_id: str) -> HttpResponse:
    """Return the response that carries an outcome; 202 if it is not known."""
    match answer.outcome:
        case EffectDone(body=body):
            document = {"outcome": "done", "body": body}
            status = 200
        case EffectUnknown():
            document = {"outcome": "unknown", "body": ""}
            status = 202
    content = {**document, "repeated": answer.repeated, "request_id": request_id}
    return HttpResponse(status, dict(_JSON), encode(content))
