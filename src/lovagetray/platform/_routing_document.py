"""Decoding of the routing document that an operator provides."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Annotated, Any

from expression import Error, Ok, Result
from msgspec import DecodeError, Meta, Raw, Struct, ValidationError, field
from msgspec.json import Decoder

from lovagetray._routing_errors import UnreadableDocument
from lovagetray._routing_types import (
    CallerLimits,
    Destination,
    GatherShards,
    OneService,
    RetrySafety,
    Route,
    RoutingDocument,
    ServiceSpec,
    TrafficSplit,
    WeightedService,
    Workspace,
)

# Size of the largest document that an instance accepts; one with 2,000 routes has about
# 600 KB.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
_RETRY_SAFETY_OF_TYPE = {
    "safe": RetrySafety.IDEMPOTENT,
    "unsafe": RetrySafety.AT_MOST_ONCE,
}
# A timedelta cannot hold longer times, nor can messages between instances hold larger
# counts.
_Milliseconds = Annotated[float, Meta(ge=0, le=365 * 24 * 60 * 60 * 1000)]
_Count = Annotated[int, Meta(ge=0, le=2**53)]
# Requests per second, or requests; more than any fleet serves.
_Rate = Annotated[float, Meta(ge=0, le=1_000_000_000)]
# Without control characters, because the name is sent to replicas in a header.
_Name = Annotated[
    str, Meta(min_length=1, max_length=256, pattern=r"^[^\x00-\x1f\x7f]+\Z")
]
_Key = Annotated[str, Meta(min_length=1, max_length=1024)]


class _WeightedService(Struct):
    service: str = field(name="Service")
    weight: float = field(name="Weight")


class _Route(Struct):
    name: str = field(name="Name")
    host: str = field(name="Host")
    prefix: str = field(name="PathPrefix")
    retry_safety: str = field(name="RouteType")
    timeout_ms: _Milliseconds = field(name="TimeoutMs")
    target_latency_ms: _Milliseconds = field(name="TargetLatencyMs", default=0)
    priority: int = field(name="Priority", default=0)
    max_attempts: int = field(name="MaxAttempts", default=1)
    service: str | None = field(name="Service", default=None)
    split: list[_WeightedService] | None = field(name="TrafficSplit", default=None)
    shards: list[str] | None = field(name="Gather", default=None)
    top_k: _Count = field(name="TopK", default=0)
    min_coverage: float = field(name="MinCoverage", default=1.0)
    public: bool = field(name="Public", default=False)


class _Service(Struct):
    name: str = field(name="Name")
    health_path: str = field(name="HealthPath", default="/health")
    max_connections: int = field(name="MaxConnections", default=1)
    cold_rate: _Rate = field(name="WarmupPerS", default=0.0)


class _Workspace(Struct):
    name: _Name = field(name="Name")
    keys: list[_Key] = field(name="ApiKeys", default_factory=list)
    priority: int | None = field(name="Priority", default=None)
    rate: _Rate | None = field(name="RatePerS", default=None)
    burst: _Rate | None = field(name="BurstSize", default=None)


class _Limits(Struct):
    head_bytes: _Count = field(name="MaxHeaderBytes", default=16_384)
    body_bytes: _Count = field(name="MaxBodyBytes", default=262_144)
    request_ms: _Milliseconds = field(name="HeaderTimeoutMs", default=3_000)
    idle_ms: _Milliseconds = field(name="IdleTimeoutMs", default=15_000)


class _Document(Struct):
    version: _Count = field(name="Version")
    routes: list[_Route] = field(name="Routes")
    services: list[_Service] = field(name="Services")
    limits: _Limits = field(name="Limits", default_factory=_Limits)
    workspaces: list[_Workspace] | None = field(name="Tenants", default=None)


class _Outline(Struct):
    """A document whose entries are not yet decoded."""

    version: Raw = field(name="Version")
    routes: list[Raw] = field(name="Routes")
    services: list[Raw] = field(name="Services")
    limits: Raw = field(name="Limits", default_factory=lambda: Raw(b"{}"))
    workspaces: list[Raw] | None = field(name="Tenants", default=None)


_decoder = Decoder(_Document)
_outline_decoder = Decoder(_Outline)
_version_decoder = Decoder(_Count)
_route_decoder = Decoder(_Route)
_service_decoder = Decoder(_Service)
_limits_decoder = Decoder(_Limits)
_workspace_decoder = Decoder(_Workspace)
_UNREADABLE = (DecodeError, ValidationError, ValueError, RecursionError)


def decode_document(source: bytes) -> Result[RoutingDocument, UnreadableDocument]:
    """Return the routing document in `source`, or the reason why it is unreadable."""
    try:
        document = _decoder.decode(source)
        routes = tuple(_to_route(route) for route in document.routes)
    except _UNREADABLE as error:
        return Error(UnreadableDocument(str(error)))
    limits = document.limits
    return Ok(
        RoutingDocument(
            version=document.version,
            routes=routes,
            services=tuple(
                ServiceSpec(
                    service.name,
                    service.health_path,
                    service.max_connections,
                    service.cold_rate,
                )
                for service in document.services
            ),
            limits=CallerLimits(
                limits.head_bytes,
                limits.body_bytes,
                timedelta(milliseconds=limits.request_ms),
                timedelta(milliseconds=limits.idle_ms),
            ),
            source=source,
            workspaces=_to_workspaces(document.workspaces),
        )
    )


def unreadable_entries(source: bytes) -> tuple[UnreadableDocument, ...]:
    """Return a reason for each unreadable entry of a document, with its position.

    The result is empty if the document is readable.
    """
    match decode_document(source):
        case Result(tag="ok"):
            return ()
        case Result(error=failure):
            pass
    try:
        outline = _outline_decoder.decode(source)
    except _UNREADABLE:
        return (failure,)
    reasons = tuple(UnreadableDocument(reason) for reason in _entry_faults(outline))
    # An entry that is nested too deeply in its document may be readable alone.
    return reasons or (failure,)


def _entry_faults(outline: _Outline) -> Iterator[str]:
    entries: list[tuple[str, Raw, Decoder[Any]]] = [
        ("$.Version", outline.version, _version_decoder),
        ("$.Limits", outline.limits, _limits_decoder),
    ]
    for name, raws, decoder in (
        ("Routes", outline.routes, _route_decoder),
        ("Services", outline.services, _service_decoder),
        ("Tenants", outline.workspaces or [], _workspace_decoder),
    ):
        entries += [
            (f"$.{name}[{index}]", raw, decoder) for index, raw in enumerate(raws)
        ]
    for position, raw, decoder in entries:
        try:
            match decoder.decode(raw):
                case _Route() as route:
                    _to_route(route)
        except _UNREADABLE as error:
            reason = str(error)
            if "`$" in reason:
                yield reason.replace("`$", f"`{position}", 1)
            else:
                yield f"{reason} - at `{position}`"


def _to_workspaces(
    workspaces: list[_Workspace] | None,
) -> tuple[Workspace, ...] | None:
    if workspaces is None:
        return None
    return tuple(
        Workspace(
            workspace.name,
            tuple(workspace.keys),
            workspace.rate or 0.0,
            workspace.burst or 0.0,
            workspace.priority,
        )
        for workspace in workspaces
    )


def _to_route(route: _Route) -> Route:
    retry_safety = _RETRY_SAFETY_OF_TYPE.get(route.retry_safety)
    if retry_safety is None:
        raise ValidationError(
            f"route {route.name!r} has unknown type {route.retry_safety!r}"
        )
    time_limit = timedelta(milliseconds=route.timeout_ms)
    target_latency = timedelta(milliseconds=route.target_latency_ms)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        retry_safety=retry_safety,
        time_limit=time_limit,
        target_latency=target_latency or time_limit,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        destination=_to_destination(route),
        public=route.public,
    )


def _to_destination(route: _Route) -> Destination:
    if route.shards is not None:
        return GatherShards(tuple(route.shards), route.top_k, route.min_coverage)
    if route.split is not None:
        return TrafficSplit(
            tuple(
                WeightedService(weighted.service, weighted.weight)
                for weighted in route.split
            )
        )
    if route.service is not None:
        return OneService(route.service)
    raise ValidationError(f"route {route.name!r} names no service")
