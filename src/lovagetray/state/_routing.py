"""Routing document in force and the look-up of its routes."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from expression import Result
from structlog import get_logger

from lovagetray._routing_errors import UnreadableDocument
from lovagetray._routing_types import (
    GatherShards,
    OneService,
    RetrySafety,
    Route,
    RoutingDocument,
    ServiceSpec,
    TrafficSplit,
)
from lovagetray.state._workspaces import (
    WorkspaceIndex,
    build_workspace_index,
    workspace_problems,
)

_log = get_logger()

DocumentDecoder = Callable[[bytes], Result[RoutingDocument, UnreadableDocument]]


class RoutingTable(NamedTuple):
    """A routing document indexed for look-ups.

    Parameters
    ----------
    routes
        Routes by host, sorted by the length of the prefix, longest first.
    services
        Services by name.
    workspaces
        The workspaces; None if the document has none.
    """

    document: RoutingDocument
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, ServiceSpec]
    workspaces: WorkspaceIndex | None = None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches `path`, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class RoutingState:
    """The routing document in force; only the replicated log changes it.

    Parameters
    ----------
    decode
        Function that decodes a document as the operator sent it.
    """

    def __init__(self, decode: DocumentDecoder) -> None:
        self._decode = decode
        self._table: RoutingTable | None = None

    @property
    def table(self) -> RoutingTable | None:
        """The document in force; None before the first one."""
        return self._table

    @property
    def limits_cold_replicas(self) -> bool:
        """Whether a service states the rate that its cold replicas bear."""
        table = self._table
        return table is not None and any(
            service.cold_rate for service in table.document.services
        )

    @property
    def version(self) -> int:
        """The version in force; -1 before the first document."""
        return -1 if self._table is None else self._table.document.version

    def apply(self, source: bytes) -> int:
        """Put a document in force if its version is higher than that in force.

        A document that cannot be decoded is logged and ignored.

        Returns
        -------
        int
            The version in force afterwards.
        """
        match self._decode(source):
            case Result(tag="ok", ok=document):
                if document.version > self.version:
                    _log.info(
                        "routing_in_force",
                        version=document.version,
                        previous=self.version,
                        routes=len(document.routes),
                        workspaces=len(document.workspaces or ()),
                    )
                    self._table = build_table(document)
            case Result(error=failure):
                _log.error("routing_document_unreadable", reason=str(failure))
        return self.version

    def snapshot(self) -> bytes:
        """Return the document in force as the operator sent it; empty before one."""
        return b"" if self._table is None else self._table.document.source

    def restore(self, source: bytes) -> None:
        """Put the document of a snapshot in force if its version is higher."""
        if source:
            self.apply(source)


def build_table(document: RoutingDocument) -> RoutingTable:
    """Return a document indexed for look-ups."""
    routes: dict[str, list[Route]] = {}
    for route in document.routes:
        routes.setdefault(route.host, []).append(route)
    sorted_routes = {
        host: tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
        for host, host_routes in routes.items()
    }
    services = {service.name: service for service in document.services}
    workspaces = document.workspaces
    return RoutingTable(
        document,
        sorted_routes,
        services,
        None if workspaces is None else build_workspace_index(workspaces),
    )


def route_services(route: Route) -> tuple[str, ...]:
    """Return the names of the services that a route sends requests to."""
    match route.destination:
        case OneService(service=service):
            return (service,)
        case TrafficSplit(weighted_services=weighted_services):
            return tuple(weighted.service for weighted in weighted_services)
        case GatherShards(shards=shards):
            return shards


def document_problems(document: RoutingDocument) -> tuple[str, ...]:
    """Return the reasons why a document cannot be put in force; empty if it can."""
    service_names = {service.name for service in document.services}
    problems = [
        f"route {route.name!r} has a time limit of 0"
        for route in document.routes
        if not route.time_limit
    ]
    for route in document.routes:
        unknown = sorted(set(route_services(route)) - service_names)
        if unknown:
            problems.append(
                f"route {route.name!r} refers to unknown services {unknown}"
            )
        problems += _destination_problems(route)
    route_counts = Counter((route.host, route.prefix) for route in document.routes)
    problems += [
        f"{count} routes share host {host!r} and prefix {prefix!r}"
        for (host, prefix), count in route_counts.items()
        if count > 1
    ]
    problems += workspace_problems(document.workspaces or ())
    return tuple(problems)


def _destination_problems(route: Route) -> list[str]:
    match route.destination:
        case TrafficSplit(weighted_services=weighted_services):
            if sum(weighted.weight for weighted in weighted_services) <= 0:
                return [f"the weights of route {route.name!r} add up to 0"]
        case GatherShards(shards=shards):
            if not shards or len(set(shards)) != len(shards):
                return [f"route {route.name!r} needs at least one shard, each once"]
            if route.retry_safety is not RetrySafety.IDEMPOTENT:
                return [f"route {route.name!r} gathers shards and is not idempotent"]
    return []
