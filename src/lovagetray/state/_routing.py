"""The routing document in force and the look-up of routes."""

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

_log = get_logger()

DocumentDecoder = Callable[[bytes], Result[RoutingDocument, UnreadableDocument]]


class RoutingTable(NamedTuple):
    """A document prepared for look-ups.

    Parameters
    ----------
    routes
        For each host its routes, those with the longest prefix first.
    """

    document: RoutingDocument
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, ServiceSpec]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class RoutingState:
    """The newest accepted document; the replicated log is its only writer.

    Parameters
    ----------
    decode
        Reads the operator's form of a document.
    """

    def __init__(self, decode: DocumentDecoder) -> None:
        self._decode = decode
        self._table: RoutingTable | None = None

    @property
    def table(self) -> RoutingTable | None:
        """The document in force, or None before the first one."""
        return self._table

    @property
    def version(self) -> int:
        """The version in force; -1 before the first document."""
        return -1 if self._table is None else self._table.document.version

    def apply(self, source: bytes) -> int:
        """Put a document in force if its version is the highest.

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
                    )
                    self._table = build_table(document)
            case Result(error=failure):
                _log.error("routing_document_unreadable", reason=str(failure))
        return self.version

    def snapshot(self) -> bytes:
        """Return the document in force as the operator sent it; empty if none."""
        return b"" if self._table is None else self._table.document.source

    def restore(self, source: bytes) -> None:
        """Take over a snapshot; an older document than the one in force is ignored."""
        if source:
            self.apply(source)


def build_table(document: RoutingDocument) -> RoutingTable:
    """Prepare a document for look-ups."""
    routes: dict[str, list[Route]] = {}
    for route in document.routes:
        routes.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in routes.items()
    }
    services = {service.name: service for service in document.services}
    return RoutingTable(document, ordered, services)


def route_services(route: Route) -> tuple[str, ...]:
    """Return the services that a route names."""
    match route.destination:
        case OneService(service=service):
            return (service,)
        case TrafficSplit(weighted_services=weighted_services):
            return tuple(share.service for share in weighted_services)
        case GatherShards(shards=shards):
            return shards


def document_problems(document: RoutingDocument) -> tuple[str, ...]:
    """Return why a document cannot be put in force; empty if it can."""
    known = {service.name for service in document.services}
    problems = [
        f"route {route.name!r} has a time limit of 0"
        for route in document.routes
        if not route.time_limit
    ]
    for route in document.routes:
        unknown = sorted(set(route_services(route)) - known)
        if unknown:
            problems.append(f"route {route.name!r} names unknown services {unknown}")
        problems += _destination_problems(route)
    places = Counter((route.host, route.prefix) for route in document.routes)
    problems += [
        f"{number} routes share host {host!r} and prefix {prefix!r}"
        for (host, prefix), number in places.items()
        if number > 1
    ]
    return tuple(problems)


def _destination_problems(route: Route) -> list[str]:
    match route.destination:
        case TrafficSplit(weighted_services=weighted_services):
            if sum(share.weight for share in weighted_services) <= 0:
                return [f"the weights of route {route.name!r} add up to 0"]
        case GatherShards(shards=shards):
            if not shards or len(set(shards)) != len(shards):
                return [f"route {route.name!r} needs different shards"]
            if route.retry_safety is not RetrySafety.IDEMPOTENT:
                return [f"route {route.name!r} gathers and is not idempotent"]
    return []
