"""Forwards a request to one replica and returns its complete response."""

from datetime import timedelta

from expression import Error, Ok, Result
from structlog import get_logger

from lovagetray._routing_errors import (
    ForwardFailure,
    RequestFailed,
    RequestNotRun,
    ResponseDropped,
    TimeLimitReached,
)
from lovagetray._routing_types import CallerRequest, ReplicaReply, Route
from lovagetray.queries.dispatch import (
    Dispatch,
    DispatchDependencies,
    ServiceCall,
    response_cutoff,
)
from lovagetray.state import ResponseMemory

_log = get_logger()
# Full or draining replicas have capacity again after about the time of one request.
_RETRY_AFTER_REFUSAL = timedelta(milliseconds=150)
# A replica that crashed is back or replaced after some seconds.
_RETRY_AFTER_UNREACHABLE = timedelta(milliseconds=300)


async def forward(
    dependencies: DispatchDependencies,
    request: CallerRequest,
    route: Route,
    service: str,
    memory: ResponseMemory | None = None,
) -> Result[ReplicaReply, ForwardFailure]:
    """Return a replica's complete response, or why there is none.

    An error response of a replica is returned unchanged if no other attempt is
    possible.

    Parameters
    ----------
    memory
        Counts the bytes of the responses; by default without a limit.
    """
    clock = dependencies.clock
    started_at = clock.monotonic_time()
    timeout = request.timeout_for(route)
    if not dependencies.balancer.count_reachable((service,)):
        retry_after = max(
            _RETRY_AFTER_UNREACHABLE, dependencies.balancer.refused_for((service,), 1)
        )
        return Error(RequestNotRun("no replica can be reached", retry_after))
    dispatch = Dispatch(
        dependencies,
        request,
        route,
        (service,),
        started_at + timeout,
        memory=memory,
    )
    try:
        await dispatch.start()
        await _wait_until_settled(
            dispatch, dependencies, started_at + response_cutoff(timeout)
        )
        call = dispatch.calls[0]
        took = clock.monotonic_time() - started_at
        refused_for = dependencies.balancer.refused_for((service,), 1)
        stopped = dependencies.answer_limit.has_passed(clock.monotonic_time())
        result = _result_of(call, dispatch, timeout, refused_for, stopped)
        _log_end(dispatch, request, route, result, took)
        return result
    finally:
        await dispatch.abandon()


def _log_end(
    dispatch: Dispatch,
    request: CallerRequest,
    route: Route,
    result: Result[ReplicaReply, ForwardFailure],
    took: timedelta,
) -> None:
    call = dispatch.calls[0]
    _log.info(
        "request_ended",
        request_id=request.request_id,
        route=route.name,
        outcome=_outcome_text(result),
        tried=sorted(call.tried),
        last_failure=call.last_failure,
        hedges=dispatch.hedges,
        retries=dispatch.retries,
        took_ms=round(took.total_seconds() * 1000, 1),
        **dispatch.expected_milliseconds,
    )


def _outcome_text(result: Result[ReplicaReply, ForwardFailure]) -> str:
    match result:
        case Result(tag="ok", ok=reply):
            return f"status {reply.status}"
        case Result(error=failure):
            return failure.code


async def _wait_until_settled(
    dispatch: Dispatch, dependencies: DispatchDependencies, cutoff_at: timedelta
) -> None:
    while not dispatch.settled:
        now = dependencies.clock.monotonic_time()
        if now >= dependencies.answer_limit.earliest(cutoff_at):
            return
        await dispatch.send_due_hedges(now)
        await dispatch.wait(cutoff_at)


def _result_of(
    call: ServiceCall,
    dispatch: Dispatch,
    timeout: timedelta,
    refused_for: timedelta,
    stopped: bool,
) -> Result[ReplicaReply, ForwardFailure]:
    if call.reply is not None:
        return Ok(call.reply)
    if call.failure_reply is not None:
        return Ok(call.failure_reply)
    if not dispatch.may_have_run:
        retry_after = max(_RETRY_AFTER_REFUSAL, refused_for)
        return Error(RequestNotRun("no replica accepted the request", retry_after))
    if dispatch.lacked_memory:
        return Error(ResponseDropped())
    if call.in_flight and stopped:
        return Error(RequestFailed("this instance has stopped waiting: it is stopping"))
    if call.in_flight:
        return Error(TimeLimitReached(timeout))
    return Error(RequestFailed(f"the last attempt ended with {call.last_failure}"))
