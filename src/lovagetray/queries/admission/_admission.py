"""Admission control of one instance, for the way in which requests are placed."""

from datetime import timedelta
from math import ceil
from random import Random

from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._routing_errors import RequestNotRun
from lovagetray._routing_types import (
    CallerRequest,
    GatherShards,
    Route,
)
from lovagetray._telemetry import ADMISSION_DECISIONS
from lovagetray.queries.access import request_priority
from lovagetray.queries.admission._decide import (
    Admit,
    Claim,
    Refuse,
    WorkspaceUse,
    decide,
    wait_horizon,
)
from lovagetray.queries.load_balancing import (
    ExpectedCostPlacement,
    ExpectedWork,
    LatencyPlacement,
    LoadBalancer,
    Room,
)
from lovagetray.state import (
    AdmissionCounts,
    ReturnSchedule,
    RoutingTable,
    WaitHorizons,
    route_services,
)

_log = get_logger()
_DECISIONS = {
    decision: ADMISSION_DECISIONS.labels(decision)
    for decision in ("admitted", "probe", "too_long", "deadline", "scarcity")
}
# One of this many requests that would take too long even without a queue is admitted:
# estimates that are too high are corrected only by responses.
_PROBE_INTERVAL = 8
_MIN_REFUSED_SHARE = 0.1
# Requests without a workspace are counted as those of one workspace.
_NO_WORKSPACE = ""


class Admission:
    """Admission control of the requests that arrive at one instance.

    Parameters
    ----------
    balancer
        Expected costs and remaining work. Without them, all requests are admitted.
    clock
        Source of monotonic time.
    random
        Spreads the return of refused callers.
    """

    def __init__(self, balancer: LoadBalancer, clock: Clock, random: Random) -> None:
        self._balancer = balancer
        self._clock = clock
        self._counts = AdmissionCounts()
        self._returns = ReturnSchedule(random)
        self._horizons = WaitHorizons()
        self._too_long = 0
        # When a request found no wait last, by route of the document in force.
        self._no_wait_at: dict[str, float] = {}
        self._table: RoutingTable | None = None

    def refusal(
        self,
        request: CallerRequest,
        route: Route,
        table: RoutingTable,
    ) -> RequestNotRun | None:
        """Return why a request is not admitted, or None if it is.

        Parameters
        ----------
        table
            The routing document in force.
        """
        match self._balancer.mode:
            case LatencyPlacement():
                return None
            case ExpectedCostPlacement() as placement:
                if table is not self._table:
                    self._table = table
                    self._no_wait_at.clear()
                priority = request_priority(request, route, table.workspaces)
                return self._refusal(request, route, priority, placement)

    def _refusal(
        self,
        request: CallerRequest,
        route: Route,
        priority: int,
        placement: ExpectedCostPlacement,
    ) -> RequestNotRun | None:
        now = self._clock.monotonic_time()
        seconds = now.total_seconds()
        works = placement.costs.expect(route, route_services(route), request.workspace)
        room = self._room(route, works, now)
        heaviest = max(works, key=lambda work: work.cost)
        claim = Claim(
            priority,
            request.timeout_for(route).total_seconds(),
            route.target_latency.total_seconds(),
            heaviest.cost,
            heaviest.flat,
            self._horizons.above(priority, seconds),
            self._scarce_for(route, room, seconds),
        )
        self._horizons.record(priority, wait_horizon(claim), seconds)
        workspace = request.workspace or _NO_WORKSPACE
        counts = self._counts.of_workspace(workspace, seconds)
        everyone = self._counts.all
        use = WorkspaceUse(
            counts.admitted_share / max(everyone.admitted_share, 1e-6),
            counts.cost / everyone.cost if everyone.cost > 0 else 0.0,
        )
        decision = self._with_probes(decide(claim, room, use))
        for counted in (counts, everyone):
            counted.add(isinstance(decision, Admit), heaviest.cost)
        match decision:
            case Admit():
                _DECISIONS["admitted"].inc()
                return None
            case Refuse() as refuse:
                _log_refusal(request, route, claim, room, refuse)
                return self._refused(refuse, seconds)

    def _refused(self, refuse: Refuse, now: float) -> RequestNotRun:
        """Return a refusal, with the time after which the caller may return."""
        _DECISIONS[refuse.code].inc()
        everyone = self._counts.all
        # Callers that return get the same share of the replicas as others.
        refused = max(_MIN_REFUSED_SHARE, 1 - everyone.admitted_share)
        interval = everyone.interval / refused
        delay = self._returns.delay(now, refuse.room_in, interval)
        return RequestNotRun(refuse.reason, timedelta(seconds=delay))

    def _scarce_for(self, route: Route, room: Room, now: float) -> float:
        """Return for how long all requests of a route have found a wait."""
        if room.wait <= 0:
            self._no_wait_at[route.name] = now
        return now - self._no_wait_at.setdefault(route.name, now)

    def _with_probes(self, decision: Admit | Refuse) -> Admit | Refuse:
        """Admit some of the requests that are expected to take too long."""
        match decision:
            case Refuse(code="too_long"):
                self._too_long += 1
                if self._too_long % _PROBE_INTERVAL == 0:
                    _DECISIONS["probe"].inc()
                    return Admit()
        return decision

    def _room(
        self,
        route: Route,
        works: list[ExpectedWork],
        now: timedelta,
    ) -> Room:
        """Return the room at the services; of a query, where enough shards have it."""
        rooms = [self._balancer.room(work, now) for work in works]
        match route.destination:
            case GatherShards(min_coverage=min_coverage):
                rooms.sort()
                return rooms[max(1, ceil(len(rooms) * min_coverage - 1e-9)) - 1]
        return min(rooms)


def _log_refusal(
    request: CallerRequest, route: Route, claim: Claim, room: Room, refuse: Refuse
) -> None:
    _log.info(
        "request_not_admitted",
        request_id=request.request_id,
        route=route.name,
        code=refuse.code,
        priority=claim.priority,
        expected_ms=round(room.run * 1000, 1),
        wait_ms=round(room.wait * 1000, 1),
        time_left_ms=round(claim.time_left * 1000, 1),
    )
