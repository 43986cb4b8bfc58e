"""Scatter/gather: sends a query to all shards of a route and merges the answers."""

from datetime import timedelta
from typing import NamedTuple

from expression import Error, Ok, Result
from structlog import get_logger

from lovagetray._routing_errors import (
    ForwardFailure,
    RequestFailed,
    RequestNotRun,
    TimeLimitReached,
)
from lovagetray._routing_types import CallerRequest, GatherShards, Route
from lovagetray.queries.dispatch import Dispatch, DispatchTools
from lovagetray.queries.gathering._merge import greatest_records
from lovagetray.queries.gathering._patience import (
    AnswerNow,
    Patience,
    WaitUntil,
    patience,
)

_log = get_logger()
# A crashed replica restarts or is replaced within some seconds; callers wait for at
# most a third of their time.
_RETRY_UNREACHABLE = timedelta(milliseconds=200)
# Tolerance for rounded coverage settings: 8 of 9 shards must satisfy 0.8889.
_ROUNDING = 1e-9


class GatheredAnswer(NamedTuple):
    """The merged answer to a query.

    Parameters
    ----------
    signatures
        Identifiers of the included responses, one for each included shard.
    missing
        Number of shards that are not included.
    records
        The greatest records in descending order.
    """

    signatures: tuple[str, ...]
    missing: int
    records: bytes


async def gather(
    tools: DispatchTools,
    request: CallerRequest,
    route: Route,
    destination: GatherShards,
) -> Result[GatheredAnswer, ForwardFailure]:
    """Return the merged answer once its coverage suffices, or the failure.

    Parameters
    ----------
    tools
        Dependencies of the dispatch.
    request
        The caller's request.
    route
        Route of the request, with its target latency.
    destination
        Shards of the route and the coverage that an answer needs.
    """
    clock = tools.clock
    began_at = clock.elapsed()
    limit = request.limit(route)
    reachable = tools.placement.reachable(destination.shards)
    if not _enough(reachable, destination):
        return Error(RequestNotRun("too few shards are reachable", _RETRY_UNREACHABLE))
    plan = patience(began_at, route.target_latency, limit)
    dispatch = Dispatch(tools, request, route, destination.shards, began_at + limit)
    try:
        await dispatch.start()
        await _collect(dispatch, tools, destination, plan)
    finally:
        await dispatch.abandon()
    took = clock.elapsed() - began_at
    return _answer(dispatch, tools, request, route, destination, limit, took)


async def _collect(
    dispatch: Dispatch,
    tools: DispatchTools,
    destination: GatherShards,
    plan: Patience,
) -> None:
    """Wait for answers and send hedges until the completion policy ends the query."""
    while not dispatch.settled:
        if not _enough(len(dispatch.slots) - dispatch.lost, destination):
            return
        now = tools.clock.elapsed()
        await dispatch.hedge_when_due(now)
        match plan.decide(now, _enough(dispatch.answered, destination)):
            case AnswerNow():
                return
            case WaitUntil(at=at, for_any=for_any):
                await dispatch.wait(at, for_any)


def _enough(shards: int, destination: GatherShards) -> bool:
    share = shards / len(destination.shards)
    return shards > 0 and share + _ROUNDING >= destination.coverage


def _answer(
    dispatch: Dispatch,
    tools: DispatchTools,
    request: CallerRequest,
    route: Route,
    destination: GatherShards,
    limit: timedelta,
    took: timedelta,
) -> Result[GatheredAnswer, ForwardFailure]:
    replies = [slot.reply for slot in dispatch.slots if slot.reply is not None]
    missing = len(dispatch.slots) - len(replies)
    _log.info(
        "query_ended",
        request_id=request.request_id,
        route=route.name,
        included=len(replies),
        missing=[slot.explanation for slot in dispatch.slots if slot.reply is None],
        hedges=dispatch.hedges,
        hedge_after_ms=_milliseconds(tools.placement.hedge_delay(route)),
        retries=dispatch.retries,
        took_ms=_milliseconds(took),
    )
    if _enough(len(replies), destination):
        records = greatest_records([reply.body for reply in replies], destination.top)
        signatures = tuple(reply.signature for reply in replies)
        return Ok(GatheredAnswer(signatures, missing, records))
    if not dispatch.may_have_run:
        return Error(RequestNotRun("no replica accepted it", _RETRY_UNREACHABLE))
    if took >= limit * 0.9:
        return Error(TimeLimitReached(limit))
    return Error(RequestFailed(f"{missing} of {len(dispatch.slots)} shards failed"))


def _milliseconds(duration: timedelta) -> float:
    return round(duration.total_seconds() * 1000, 1)
