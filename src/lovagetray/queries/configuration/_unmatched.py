"""Finds entries of a routing document that no request can use."""

from collections import Counter
from collections.abc import Iterator, Sequence
from re import compile as compile_pattern

from lovagetray._routing_types import (
    Route,
    RoutingDocument,
    ServiceSpec,
    TrafficSplit,
)
from lovagetray.queries.configuration._findings import (
    ReplacedService,
    RouteWithoutCallers,
    ShadowedRoute,
    UnmatchableHost,
    UnmatchablePrefix,
    UnmatchedEntry,
    UnusedPart,
    UnusedService,
    WorkspaceWithoutKeys,
)
from lovagetray.state import build_table, route_services

# The port of a Host header is removed before the look-up, and hosts are compared as
# they are, without wildcards.
_HOST = compile_pattern(r"[!-)+-9;-~\x80-\xff]*")
# Requests with other characters in their target are refused as malformed, and the
# query string is removed before the look-up.
_PREFIX = compile_pattern(r"(/[!->@-~]*)?")


def find_unmatched(document: RoutingDocument) -> Iterator[UnmatchedEntry]:
    """Find the entries of a document that no request can use."""
    yield from _unmatched_routes(document)
    yield from _shadowed_routes(document)
    yield from _unused_services(document.routes, document.services)
    for workspace in document.workspaces or ():
        if not workspace.keys:
            yield WorkspaceWithoutKeys(workspace.name)


def _unmatched_routes(document: RoutingDocument) -> Iterator[UnmatchedEntry]:
    workspaces = document.workspaces
    no_keys = workspaces is not None and not any(
        workspace.keys for workspace in workspaces
    )
    for route in document.routes:
        if not _HOST.fullmatch(route.host):
            yield UnmatchableHost(route.name, route.host)
        if not _PREFIX.fullmatch(route.prefix):
            yield UnmatchablePrefix(route.name, route.prefix)
        if no_keys and not route.public:
            yield RouteWithoutCallers(route.name)
        match route.destination:
            case TrafficSplit(weighted_services=weighted_services):
                for service, weight in weighted_services:
                    if weight <= 0:
                        yield UnusedPart(route.name, service, weight)


def _shadowed_routes(document: RoutingDocument) -> Iterator[ShadowedRoute]:
    """Find the routes that a look-up of their own prefix does not return.

    The longest prefix wins, so only a route with the same prefix takes all requests of
    another one, or one with the prefix ``/``, which all paths have, those of an empty
    prefix.
    """
    table = build_table(document)
    for route in document.routes:
        found = table.find(route.host, route.prefix or "/")
        if found is not None and found is not route:
            yield ShadowedRoute(route.name, found.name)


def _unused_services(
    routes: Sequence[Route], services: Sequence[ServiceSpec]
) -> Iterator[UnmatchedEntry]:
    named = {service for route in routes for service in route_services(route)}
    for name, entries in Counter(service.name for service in services).items():
        if name not in named:
            yield UnusedService(name)
        if entries > 1:
            yield ReplacedService(name, entries)
