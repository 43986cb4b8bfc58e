"""Finds limits in a routing document that contradict each other."""

from collections.abc import Iterator
from datetime import timedelta

from lovagetray._routing_types import (
    CallerLimits,
    GatherShards,
    Route,
    RoutingDocument,
    Workspace,
)
from lovagetray.queries.configuration._findings import (
    AttemptsAboveReplicas,
    BurstWithoutRate,
    Contradiction,
    EmptyAnswer,
    QuotaBelowOne,
    TargetAboveTimeLimit,
    UnreachableCoverage,
    UnusableLimit,
)


def find_contradictions(
    document: RoutingDocument, quota_window: timedelta, replicas: int | None
) -> Iterator[Contradiction]:
    """Find the limits in a document that contradict each other.

    Parameters
    ----------
    quota_window
        Length of the window in which quotas hold.
    replicas
        Number of replicas of each service; None if it is not known.
    """
    for route in document.routes:
        yield from _of_route(route, replicas)
    for workspace in document.workspaces or ():
        yield from _of_workspace(workspace, quota_window)
    yield from _of_limits(document.limits)


def _of_route(route: Route, replicas: int | None) -> Iterator[Contradiction]:
    # A time limit of 0 is an error; it needs no second finding.
    if timedelta(0) < route.time_limit < route.target_latency:
        yield TargetAboveTimeLimit(route.name, route.target_latency, route.time_limit)
    if replicas is not None and route.max_attempts > replicas:
        yield AttemptsAboveReplicas(route.name, route.max_attempts, replicas)
    match route.destination:
        case GatherShards(top_k=top_k, min_coverage=min_coverage):
            if not 0 <= min_coverage <= 1:
                yield UnreachableCoverage(route.name, min_coverage)
            if top_k == 0:
                yield EmptyAnswer(route.name)


def _of_workspace(workspace: Workspace, window: timedelta) -> Iterator[Contradiction]:
    if not workspace.rate:
        if workspace.burst:
            yield BurstWithoutRate(workspace.name, workspace.burst)
        return
    quota = workspace.rate * window.total_seconds() + workspace.burst
    if quota < 1:
        yield QuotaBelowOne(workspace.name, quota, window)


def _of_limits(limits: CallerLimits) -> Iterator[Contradiction]:
    # A body limit of 0 is a use: it accepts only requests without a body.
    for name in ("head_bytes", "request_time", "idle_time"):
        if not getattr(limits, name):
            yield UnusableLimit(name)
