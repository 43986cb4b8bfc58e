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
from lovagetray._routing_types import CallerRequest, Repeat, ReplicaReply, Route
from lovagetray.queries.dispatch import Dispatch, DispatchTools, Slot

_log = get_logger()
# Full and draining replicas have room again after a request's work.
_RETRY_REFUSED = timedelta(milliseconds=150)
# A replica that crashed is back or replaced after some seconds.
_RETRY_UNREACHABLE = timedelta(milliseconds=300)
# Time for the last answer to reach the caller before it stops waiting.
_LAST_MARGIN = timedelta(milliseconds=20)


async def forward(
    tools: DispatchTools, request: CallerRequest, route: Route, service: str
) -> Result[ReplicaReply, ForwardFailure]:
    """Return a replica's complete response, or why there is none.

    A replica's own failure is passed on as it is, once no other attempt is possible.
    """
    clock = tools.clock
    began_at = clock.elapsed()
    limit = min(route.time_limit, request.time_left or route.time_limit)
    if not tools.placement.reachable((service,)):
        return Error(RequestNotRun("no replica can be reached", _RETRY_UNREACHABLE))
    dispatch = Dispatch(tools, request, route, (service,), began_at + limit)
    limit_at = began_at + limit - min(_LAST_MARGIN, limit * 0.1)
    try:
        await dispatch.start()
        await _collect(dispatch, tools, route, limit_at)
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
    dispatch: Dispatch, tools: DispatchTools, route: Route, limit_at: timedelta
) -> None:
    clock = tools.clock
    hedge_at = limit_at
    if route.repeat is Repeat.IDEMPOTENT:
        hedge_at = min(limit_at, clock.elapsed() + tools.placement.hedge_delay(route))
    hedged = False
    while not dispatch.settled:
        now = clock.elapsed()
        if now >= limit_at:
            return
        if now >= hedge_at and not hedged:
            hedged = True
            await dispatch.hedge()
        await dispatch.wait(limit_at if hedged else hedge_at)


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
