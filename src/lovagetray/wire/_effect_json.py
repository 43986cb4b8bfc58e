"""JSON encoding of non-idempotent requests and their outcomes."""

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
_MAX_KEY_LENGTH = 200
_MAX_TIMEOUT_MS = 60_000


class EffectRequestDocument(TypedDict):
    """The body of ``POST /v1/effects``."""

    service: str
    key: str
    issued_at: datetime
    body: str
    member: NotRequired[str]
    deadline_ms: NotRequired[int]


_effect_decoder = Decoder(EffectRequestDocument)


def decode_effect_request(
    body: bytes, request_id: str, default_timeout: timedelta
) -> Result[EffectRequest, MalformedRequest | DeadlinePassed]:
    """Return the non-idempotent request in `body`, or the reason for its refusal.

    Parameters
    ----------
    default_timeout
        Time limit of a request that states none.
    """
    try:
        document = _effect_decoder.decode(body)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        return Error(MalformedRequest(str(error)))
    if not 1 <= len(document["key"]) <= _MAX_KEY_LENGTH:
        return Error(
            MalformedRequest(f"key must have 1 to {_MAX_KEY_LENGTH} characters")
        )
    if document["issued_at"].tzinfo is None:
        return Error(MalformedRequest("issued_at must have a time zone"))
    timeout = default_timeout
    if "deadline_ms" in document:
        if document["deadline_ms"] <= 0:
            return Error(DeadlinePassed())
        timeout = timedelta(milliseconds=min(document["deadline_ms"], _MAX_TIMEOUT_MS))
    return Ok(
        EffectRequest(
            request_id=request_id,
            service=document["service"],
            member=document.get("member", ""),
            key=document["key"],
            issued_at=document["issued_at"],
            body=document["body"],
            time_left=timeout,
        )
    )


def encode_effect_response(answer: EffectAnswer, request_id: str) -> HttpResponse:
    """Return the response with an outcome; its status is 202 for an unknown one."""
    match answer.outcome:
        case EffectDone(body=body):
            document = {"outcome": "done", "body": body}
            status = 200
        case EffectUnknown():
            document = {"outcome": "unknown", "body": ""}
            status = 202
    content = {**document, "repeated": answer.repeated, "request_id": request_id}
    return HttpResponse(status, dict(_JSON), encode(content))
