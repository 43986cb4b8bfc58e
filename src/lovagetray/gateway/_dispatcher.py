"""Dispatches a caller's request to the command or query of its route."""

from datetime import timedelta
from random import Random
from typing import get_args

from expression import Error, Result
from structlog import get_logger

from lovagetray._routing_errors import (
    ForwardFailure,
    NoRoute,
    NotStarted,
    RequestFailed,
    RequestNotRun,
)
from lovagetray._routing_types import (
    CallerRequest,
    GatherShards,
    OneService,
    ReplicaReply,
    Route,
    TrafficSplit,
)
from lovagetray._task_failures import report_task_failure
from lovagetray._telemetry import GATEWAY_SECONDS, GATEWAY_SHARDS
from lovagetray.commands.forwarding import WeightedRoundRobin, forward
from lovagetray.gateway._access import AccessControl
from lovagetray.gateway._quotas import Quotas
from lovagetray.queries.admission import Admission
from lovagetray.queries.dispatch import DispatchDependencies, can_be_served
from lovagetray.queries.gathering import GatheredAnswer, gather
from lovagetray.state import (
    HeldBytes,
    ResponseMemory,
    RoutingState,
    RoutingTable,
    route_services,
)

_log = get_logger()
# Histograms by outcome, looked up once because `labels` costs more than `observe`.
_HISTOGRAMS = {
    outcome: GATEWAY_SECONDS.labels(outcome)
    for outcome in (
        "answered",
        "partial",
        *(failure.code for failure in get_args(ForwardFailure)),
    )
}
_SHARDS_INCLUDED = GATEWAY_SHARDS.labels("included")
_SHARDS_MISSING = GATEWAY_SHARDS.labels("missing")
# The other instances can serve what this one refuses because it stops.
_RETRY_ELSEWHERE = timedelta(0)
# Slow readers are closed sooner than this when their memory is needed.
_RETRY_AFTER_MEMORY = timedelta(seconds=1)
_TIME_PASSED = "its time passed while it waited for the quota of its workspace"
_NO_MEMORY = "its response could not be held beside those of other callers"
# A request that waited less for the quota of its workspace is passed on unchanged.
_MIN_COUNTED_WAIT = timedelta(milliseconds=1)


class Dispatcher:
    """Dispatcher of requests by the routing document in force when they arrive."""

    def __init__(
        self,
        routing: RoutingState,
        dependencies: DispatchDependencies,
        access: AccessControl,
        quotas: Quotas,
        held: HeldBytes,
    ) -> None:
        self._routing = routing
        self._dependencies = dependencies
        self._access = access
        self._quotas = quotas
        self._held = held
        self._round_robin = WeightedRoundRobin()
        self._admission = Admission(dependencies.balancer, dependencies.clock, Random())

    async def answer(
        self, request: CallerRequest
    ) -> Result[ReplicaReply | GatheredAnswer, ForwardFailure]:
        """Return the response to a request, or why there is none."""
        started_at = self._dependencies.clock.monotonic_time()
        try:
            result = await self._answer(request)
        except Exception as error:
            # The request may have run; the caller still gets an answer at once.
            report_task_failure("request", error)
            result = Error(RequestFailed("an internal error"))
        took = (self._dependencies.clock.monotonic_time() - started_at).total_seconds()
        match result:
            case Result(
                tag="ok", ok=GatheredAnswer(response_ids=response_ids, missing=missing)
            ):
                _HISTOGRAMS["answered" if not missing else "partial"].observe(took)
                _SHARDS_INCLUDED.inc(len(response_ids))
                _SHARDS_MISSING.inc(missing)
            case Result(tag="ok"):
                _HISTOGRAMS["answered"].observe(took)
            case Result(error=failure):
                _HISTOGRAMS[failure.code].observe(took)
                _log.info(
                    "request_refused",
                    request_id=request.request_id,
                    code=failure.code,
                    reason=str(failure),
                    version=self._routing.version,
                )
        return result

    async def _answer(
        self, request: CallerRequest
    ) -> Result[ReplicaReply | GatheredAnswer, ForwardFailure]:
        table = self._routing.table
        if table is None:
            return Error(NotStarted())
        route = table.find(request.host, request.path)
        if route is None:
            return Error(NoRoute(request.host))
        match self._access.admit(table, route, request):
            case CallerRequest() as admitted:
                request = admitted
            case failure:
                return Error(failure)
        if not self._can_be_served(request, route):
            return Error(RequestNotRun("this instance is stopping", _RETRY_ELSEWHERE))
        arrived_at = self._dependencies.clock.monotonic_time()
        match await self._quotas.admit(request, route):
            case Result(tag="ok", ok=admission):
                waited = self._dependencies.clock.monotonic_time() - arrived_at
                if waited < request.timeout_for(route):
                    if waited >= _MIN_COUNTED_WAIT:
                        request = request.after_wait(waited, route)
                    result = await self._run_admitted(request, route, table)
                else:
                    # This instance was suspended while the request waited.
                    result = Error(RequestNotRun(_TIME_PASSED, _RETRY_ELSEWHERE))
                await self._quotas.settle(admission, result)
                return result
            case Result(error=over_quota):
                return Error(over_quota)

    async def _run_admitted(
        self, request: CallerRequest, route: Route, table: RoutingTable
    ) -> Result[ReplicaReply | GatheredAnswer, ForwardFailure]:
        """Run a request if replicas have room for it and its response has memory."""
        refusal = self._admission.refusal(request, route, table)
        if refusal is not None:
            return Error(refusal)
        memory = self._held.reserve(route.name)
        if memory is None:
            return Error(RequestNotRun(_NO_MEMORY, _RETRY_AFTER_MEMORY))
        size = None
        try:
            result = await self._run(request, route, memory)
            size = _received_bytes(result)
            return result
        finally:
            memory.end(size)

    async def _run(
        self, request: CallerRequest, route: Route, memory: ResponseMemory
    ) -> Result[ReplicaReply | GatheredAnswer, ForwardFailure]:
        match route.destination:
            case GatherShards() as destination:
                return await gather(
                    self._dependencies, request, route, destination, memory
                )
            case TrafficSplit(weighted_services=weighted_services):
                service = self._round_robin.choose(route, weighted_services)
            case OneService(service=service):
                pass
        return await forward(self._dependencies, request, route, service, memory)

    def _can_be_served(self, request: CallerRequest, route: Route) -> bool:
        """Return whether a request can be answered before the instance stops."""
        due_at = self._dependencies.answer_limit.due_at
        if due_at is None:
            return True
        longest = self._dependencies.balancer.longest_latency(
            route, route_services(route), request.workspace
        )
        return can_be_served(
            due_at - self._dependencies.clock.monotonic_time(),
            request.timeout_for(route),
            route.target_latency,
            longest,
        )


def _received_bytes(
    result: Result[ReplicaReply | GatheredAnswer, ForwardFailure],
) -> int | None:
    """Return the bytes received for a response, or None if there is none."""
    match result:
        case Result(tag="ok", ok=GatheredAnswer(received_bytes=size)):
            return size
        case Result(tag="ok", ok=ReplicaReply(body=body)):
            return len(body)
        case _:
            return None
