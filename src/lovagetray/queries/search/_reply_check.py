"""Checks that a reply belongs to the sub-request that it was delivered for."""

from expression import Error, Result

from lovagetray._errors import Failure, WrongReply
from lovagetray._telemetry import WRONG_REPLIES
from lovagetray._types import SubReply, SubRequest


def checked_reply(
    request: SubRequest, result: Result[SubReply, Failure]
) -> Result[SubReply, Failure]:
    """Return the result, or `WrongReply` if the reply belongs to another request."""
    match result:
        case Result(tag="ok", ok=reply):
            pass
        case _:
            return result
    for field in ("request_id", "shard", "snapshot"):
        if getattr(reply, field) != getattr(request, field):
            WRONG_REPLIES.labels(request.service, field).inc()
            return Error(WrongReply(request.target, field))
    return result
