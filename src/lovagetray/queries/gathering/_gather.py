"""Answers a query over all shards of one routing document."""

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
from lovagetray.queries.dispatch import Dispatch, DispatchDependencies
from lovagetray.queries.gathering._completion_policy import (
    AnswerNow,
    Patience,
    WaitUntil,
    patience,
)
from lovagetray.queries.gathering._merge import greatest_records

_log = get_logger()
# A replica that crashed is back or replaced after some seconds; callers wait for a
# third of their time at most.
_RETRY_UNREACHABLE = timedelta(milliseconds=200)
# Shares are fractions of small numbers; 8 of 9 shards must count as 0.8889.
_ROUNDING = 1e-9


class GatheredAnswer(NamedTuple):
    """The merged answer of a query.

    Parameters
    ----------
    signatures
        One for each shard that is included.
    missing
        How many shards are not included.
    records
        The greatest records, greatest first.
    """

    signatures: tuple[str, ...]
    missing: int
    records: bytes


async def gather(
    dependencies: DispatchDependencies,
    request: CallerRequest,
    route: Route,
    destination: GatherShards,
) -> Result[GatheredAnswer, ForwardFailure]:
    """Return the merged answer of enough shards, or why there is none."""
    clock = dependencies.clock
    began_at = clock.monotonic_time()
    limit = request.timeout_for(route)
    reachable = dependencies.balancer.count_reachable(destination.shards)
    if not _enough(reachable, destination):
        return Error(RequestNotRun("too few shards can be reached", _RETRY_UNREACHABLE))
    plan = patience(began_at, route.target_latency, limit)
    dispatch = Dispatch(
        dependencies, request, route, destination.shards, began_at + limit
    )
    try:
        await dispatch.start()
        await _collect(dispatch, dependencies, destination, plan)
    finally:
        await dispatch.abandon()
    took = clock.monotonic_time() - began_at
    return _answer(dispatch, dependencies, request, route, destination, limit, took)


async def _collect(
    dispatch: Dispatch,
    dependencies: DispatchDependencies,
    destination: GatherShards,
    plan: Patience,
) -> None:
    """Wait for answers, with second attempts, until the query is to be answered."""
    while not dispatch.settled:
        if not _enough(len(dispatch.calls) - dispatch.exhausted, destination):
            return
        now = dependencies.clock.monotonic_time()
        await dispatch.send_due_hedges(now)
        match plan.decide(now, _enough(dispatch.answered, destination)):
            case AnswerNow():
                return
            case WaitUntil(at=at, wake_on_any=wake_on_any):
                await dispatch.wait(at, wake_on_any)


def _enough(shards: int, destination: GatherShards) -> bool:
    share = shards / len(destination.shards)
    return shards > 0 and share + _ROUNDING >= destination.min_coverage


def _answer(
    dispatch: Dispatch,
    dependencies: DispatchDependencies,
    request: CallerRequest,
    route: Route,
    destination: GatherShards,
    limit: timedelta,
    took: timedelta,
) -> Result[GatheredAnswer, ForwardFailure]:
    replies = [call.reply for call in dispatch.calls if call.reply is not None]
    missing = len(dispatch.calls) - len(replies)
    _log.info(
        "query_ended",
        request_id=request.request_id,
        route=route.name,
        included=len(replies),
        missing=[call.explanation for call in dispatch.calls if call.reply is None],
        hedges=dispatch.hedges,
        hedge_after_ms=_milliseconds(dependencies.balancer.hedge_delay(route)),
        retries=dispatch.retries,
        took_ms=_milliseconds(took),
    )
    if _enough(len(replies), destination):
        records = greatest_records([reply.body for reply in replies], destination.top_k)
        signatures = tuple(reply.response_id for reply in replies)
        return Ok(GatheredAnswer(signatures, missing, records))
    if not dispatch.may_have_run:
        return Error(RequestNotRun("no replica accepted it", _RETRY_UNREACHABLE))
    if took >= limit * 0.9:
        return Error(TimeLimitReached(limit))
    return Error(RequestFailed(f"{missing} of {len(dispatch.calls)} shards failed"))


def _milliseconds(duration: timedelta) -> float:
    return round(duration.total_seconds() * 1000, 1)
