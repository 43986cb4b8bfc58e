"""Hands a caller's request to the command or query of its route."""

from expression import Error, Result

from lovagetray._routing_errors import ForwardFailure, NoRoute, NotStarted
from lovagetray._routing_types import (
    CallerRequest,
    GatherShards,
    OneService,
    ReplicaReply,
    SplitServices,
)
from lovagetray.commands.forwarding import SplitCounter, forward
from lovagetray.queries.dispatch import DispatchTools
from lovagetray.queries.gathering import GatheredAnswer, gather
from lovagetray.state import RoutingState


class Dispatcher:
    """Answers requests by the routing document in force when they arrive."""

    def __init__(self, routing: RoutingState, tools: DispatchTools) -> None:
        self._routing = routing
        self._tools = tools
        self._splits = SplitCounter()

    async def answer(
        self, request: CallerRequest
    ) -> Result[ReplicaReply | GatheredAnswer, ForwardFailure]:
        """Return the response to a request, or why there is none."""
        table = self._routing.table
        if table is None:
            return Error(NotStarted())
        route = table.find(request.host, request.path)
        if route is None:
            return Error(NoRoute(request.host))
        match route.destination:
            case GatherShards() as destination:
                return await gather(self._tools, request, route, destination)
            case SplitServices(shares=shares):
                service = self._splits.choose(route, shares)
                return await forward(self._tools, request, route, service)
            case OneService(service=service):
                return await forward(self._tools, request, route, service)
