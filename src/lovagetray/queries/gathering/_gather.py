"""Scatter/gather: sends a query to all shards of a route and merges the answers."""

from datetime import timedelta
from math import ceil
from typing import NamedTuple

from expression import Error, Ok, Result
from structlog import get_logger

from lovagetray._routing_errors import (
    ForwardFailure,
    RequestFailed,
    RequestNotRun,
    ResponseDropped,
    TimeLimitReached,
)
from lovagetray._routing_types import CallerRequest, GatherShards, Route
from lovagetray.queries.dispatch import Dispatch, DispatchDependencies
from lovagetray.queries.gathering._completion_policy import (
    AnswerNow,
    CompletionPolicy,
    WaitUntil,
    completion_policy,
)
from lovagetray.queries.gathering._merge import greatest_records
from lovagetray.state import ResponseMemory

_log = get_logger()
# Delay after which callers may retry. A crashed replica restarts or is replaced within
# some seconds; callers spend at most a third of their timeout on the delay.
_RETRY_AFTER = timedelta(milliseconds=200)
# Tolerance for rounded coverage settings: 8 of 9 shards must satisfy 0.8889.
_COVERAGE_TOLERANCE = 1e-9


class GatheredAnswer(NamedTuple):
    """The merged answer to a query.

    Parameters
    ----------
    response_ids
        Identifiers of the included responses, one for each included shard.
    missing
        Number of shards that are not included.
    records
        The greatest records in descending order.
    received_bytes
        Size of the included responses.
    """

    response_ids: tuple[str, ...]
    missing: int
    records: bytes
    received_bytes: int = 0


async def gather(
    dependencies: DispatchDependencies,
    request: CallerRequest,
    route: Route,
    destination: GatherShards,
    memory: ResponseMemory | None = None,
) -> Result[GatheredAnswer, ForwardFailure]:
    """Return the merged answer once its coverage suffices, or the failure.

    Parameters
    ----------
    dependencies
        Dependencies of the dispatch.
    request
        The caller's request.
    route
        Route of the request, with its target latency.
    destination
        Shards of the route and the coverage that an answer needs.
    memory
        Counts the bytes of the parts; by default without a limit.
    """
    clock = dependencies.clock
    started_at = clock.monotonic_time()
    timeout = request.timeout_for(route)
    reachable = dependencies.balancer.count_reachable(destination.shards)
    if not _is_sufficient(reachable, destination):
        retry_after = _retry_after(dependencies, destination)
        return Error(RequestNotRun("too few shards are reachable", retry_after))
    spent = dependencies.balancer.time_spent(route, request.time_left)
    policy = completion_policy(started_at, spent, route.target_latency, timeout)
    dispatch = Dispatch(
        dependencies,
        request,
        route,
        destination.shards,
        started_at + timeout,
        policy.timely_at,
        memory,
    )
    try:
        await dispatch.start()
        await _collect(dispatch, dependencies, destination, policy)
        took = clock.monotonic_time() - started_at
        _log_end(dispatch, request, route, spent, took)
        return _answer(dispatch, dependencies, destination, timeout, took)
    finally:
        await dispatch.abandon()


async def _collect(
    dispatch: Dispatch,
    dependencies: DispatchDependencies,
    destination: GatherShards,
    policy: CompletionPolicy,
) -> None:
    """Wait for answers and send hedges until the completion policy ends the query."""
    while not dispatch.settled:
        if not _is_sufficient(len(dispatch.calls) - dispatch.exhausted, destination):
            return
        now = dependencies.clock.monotonic_time()
        if dependencies.answer_limit.has_passed(now):
            return
        await dispatch.send_due_hedges(now)
        match policy.decide(now, _is_sufficient(dispatch.answered, destination)):
            case AnswerNow():
                return
            case WaitUntil(at=at, wake_on_any=wake_on_any):
                await dispatch.wait(at, wake_on_any)


def _is_sufficient(shards: int, destination: GatherShards) -> bool:
    coverage = shards / len(destination.shards)
    return shards > 0 and coverage + _COVERAGE_TOLERANCE >= destination.min_coverage


def _log_end(
    dispatch: Dispatch,
    request: CallerRequest,
    route: Route,
    spent: timedelta,
    took: timedelta,
) -> None:
    hedge_delay = dispatch.hedge_delay
    _log.info(
        "query_ended",
        request_id=request.request_id,
        route=route.name,
        included=dispatch.answered,
        missing=[call.explanation for call in dispatch.calls if call.reply is None],
        hedges=dispatch.hedges,
        hedge_after_ms=None if hedge_delay is None else _milliseconds(hedge_delay),
        retries=dispatch.retries,
        spent_ms=_milliseconds(spent),
        took_ms=_milliseconds(took),
        **dispatch.expected_milliseconds,
    )


def _answer(
    dispatch: Dispatch,
    dependencies: DispatchDependencies,
    destination: GatherShards,
    timeout: timedelta,
    took: timedelta,
) -> Result[GatheredAnswer, ForwardFailure]:
    replies = [call.reply for call in dispatch.calls if call.reply is not None]
    missing = len(dispatch.calls) - len(replies)
    if _is_sufficient(len(replies), destination):
        records = greatest_records([reply.body for reply in replies], destination.top_k)
        response_ids = tuple(reply.response_id for reply in replies)
        return Ok(
            GatheredAnswer(
                response_ids,
                missing,
                records,
                sum(len(reply.body) for reply in replies),
            )
        )
    if not dispatch.may_have_run:
        retry_after = _retry_after(dependencies, destination)
        return Error(RequestNotRun("no replica accepted the request", retry_after))
    if dispatch.lacked_memory:
        return Error(ResponseDropped())
    if took >= timeout * 0.9:
        return Error(TimeLimitReached(timeout))
    return Error(RequestFailed(f"{missing} of {len(dispatch.calls)} shards failed"))


def _retry_after(
    dependencies: DispatchDependencies, destination: GatherShards
) -> timedelta:
    """Return the time after which enough shards may take requests again."""
    needed = ceil(len(destination.shards) * destination.min_coverage)
    refused_for = dependencies.balancer.refused_for(destination.shards, needed)
    return max(_RETRY_AFTER, refused_for)


def _milliseconds(duration: timedelta) -> float:
    return round(duration.total_seconds() * 1000, 1)
