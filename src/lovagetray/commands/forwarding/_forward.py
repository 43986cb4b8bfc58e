"""Forwards a request to one replica and passes its whole response on."""

from datetime import timedelta

from expression import Error, Ok, Result
from structlog import get_logger

from lovagetray._routing_errors import (
    ForwardFailure,
    RequestFailed,
    RequestNotRun,
    TimeLimitReached,
)
from lovagetray._routing_types import CallerRequest, ReplicaReply, Route
from lovagetray.queries.dispatch import Dispatch, DispatchTools, Slot, latest_answer

_log = get_logger()
# Full and draining replicas have room again after a request's work.
_RETRY_REFUSED = timedelta(milliseconds=150)
# A replica that crashed is back or replaced after some seconds.
_RETRY_UNREACHABLE = timedelta(milliseconds=300)


async def forward(
    tools: DispatchTools, request: CallerRequest, route: Route, service: str
) -> Result[ReplicaReply, ForwardFailure]:
    """Return a replica's complete response, or why there is none.

    A replica's own failure is passed on as it is, once no other attempt is possible.
    """
    clock = tools.clock
    began_at = clock.elapsed()
    limit = request.limit(route)
    if not tools.placement.reachable((service,)):
        return Error(RequestNotRun("no replica can be reached", _RETRY_UNREACHABLE))
    dispatch = Dispatch(tools, request, route, (service,), began_at + limit)
    try:
        await dispatch.start()
        await _collect(dispatch, tools, began_at + latest_answer(limit))
    finally:
        await dispatch.abandon()
    slot = dispatch.slots[0]
    took = clock.elapsed() - began_at
    result = _result(slot, dispatch, limit)
    _log.info(
        "request_ended",
        request_id=request.request_id,
        route=route.name,
        outcome=_outcome(result),
        tried=sorted(slot.tried),
        last_failure=slot.last_failure,
        hedges=dispatch.hedges,
        retries=dispatch.retries,
        took_ms=round(took.total_seconds() * 1000, 1),
    )
    return result


def _outcome(result: Result[ReplicaReply, ForwardFailure]) -> str:
    match result:
        case Result(tag="ok", ok=reply):
            return f"status {reply.status}"
        case Result(error=failure):
            return failure.code


async def _collect(
    dispatch: Dispatch, tools: DispatchTools, limit_at: timedelta
) -> None:
    while not dispatch.settled:
        now = tools.clock.elapsed()
        if now >= limit_at:
            return
        await dispatch.hedge_when_due(now)
        await dispatch.wait(limit_at)


def _result(
    slot: Slot, dispatch: Dispatch, limit: timedelta
) -> Result[ReplicaReply, ForwardFailure]:
    if slot.reply is not None:
        return Ok(slot.reply)
    if slot.failure_reply is not None:
        return Ok(slot.failure_reply)
    if not dispatch.may_have_run:
        return Error(RequestNotRun("no replica accepted it", _RETRY_REFUSED))
    if slot.out:
        return Error(TimeLimitReached(limit))
    return Error(RequestFailed("the connection to the replica was lost"))
