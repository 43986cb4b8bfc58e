"""Findings about a routing document.

They contain no key of a workspace, because they are printed. `code` is the stable name
of a kind of finding.
"""

from datetime import timedelta
from enum import Enum
from typing import ClassVar

from msgspec import Struct

from lovagetray._routing_types import Destination, RetrySafety


class EntryKind(Enum):
    """Part of a routing document that a finding is about."""

    DOCUMENT = "document"
    ROUTE = "route"
    SERVICE = "service"
    WORKSPACE = "workspace"
    LIMITS = "limits"


FieldValue = None | bool | int | float | str | timedelta | RetrySafety | Destination


class UnusableFile(Struct, frozen=True):
    """A file that cannot be read as a routing document."""

    code: ClassVar[str] = "unusable_file"
    file: str
    reason: str


class InvalidEntry(Struct, frozen=True):
    """A problem because of which instances refuse the document."""

    code: ClassVar[str] = "invalid_entry"
    problem: str


ConfigurationError = UnusableFile | InvalidEntry


class ShadowedRoute(Struct, frozen=True):
    """A route all of whose requests go to another route."""

    code: ClassVar[str] = "shadowed_route"
    route: str
    by: str


class UnmatchableHost(Struct, frozen=True):
    """A route with a host that no request has."""

    code: ClassVar[str] = "unmatchable_host"
    route: str
    host: str


class UnmatchablePrefix(Struct, frozen=True):
    """A route with a prefix that no path has."""

    code: ClassVar[str] = "unmatchable_prefix"
    route: str
    prefix: str


class RouteWithoutCallers(Struct, frozen=True):
    """A route that needs a key, in a document whose workspaces have none."""

    code: ClassVar[str] = "route_without_callers"
    route: str


class UnusedPart(Struct, frozen=True):
    """A service of a traffic split that gets no requests because of its weight."""

    code: ClassVar[str] = "unused_part"
    route: str
    service: str
    weight: float


class WorkspaceWithoutKeys(Struct, frozen=True):
    """A workspace that no request can belong to."""

    code: ClassVar[str] = "workspace_without_keys"
    workspace: str


class UnusedService(Struct, frozen=True):
    """A service that no route names."""

    code: ClassVar[str] = "unused_service"
    service: str


class ReplacedService(Struct, frozen=True):
    """A service with several entries, of which only the last one is used."""

    code: ClassVar[str] = "replaced_service"
    service: str
    entries: int


UnmatchedEntry = (
    ShadowedRoute
    | UnmatchableHost
    | UnmatchablePrefix
    | RouteWithoutCallers
    | UnusedPart
    | WorkspaceWithoutKeys
    | UnusedService
    | ReplacedService
)


class TargetAboveTimeLimit(Struct, frozen=True):
    """A route whose time limit ends requests before their target latency."""

    code: ClassVar[str] = "target_above_time_limit"
    route: str
    target_latency: timedelta
    time_limit: timedelta


class AttemptsAboveReplicas(Struct, frozen=True):
    """A route with more attempts than its services have replicas."""

    code: ClassVar[str] = "attempts_above_replicas"
    route: str
    attempts: int
    replicas: int


class UnreachableCoverage(Struct, frozen=True):
    """A route whose minimum coverage is not a fraction of its shards."""

    code: ClassVar[str] = "unreachable_coverage"
    route: str
    min_coverage: float


class EmptyAnswer(Struct, frozen=True):
    """A route whose answers may contain no record."""

    code: ClassVar[str] = "empty_answer"
    route: str


class QuotaBelowOne(Struct, frozen=True):
    """A workspace whose quota is less than one request in a window."""

    code: ClassVar[str] = "quota_below_one"
    workspace: str
    quota: float
    window: timedelta


class BurstWithoutRate(Struct, frozen=True):
    """A workspace whose burst has no effect, because it has no quota."""

    code: ClassVar[str] = "burst_without_rate"
    workspace: str
    burst: float


class UnusableLimit(Struct, frozen=True):
    """A limit of callers' requests with which no request can be served."""

    code: ClassVar[str] = "unusable_limit"
    limit: str


Contradiction = (
    TargetAboveTimeLimit
    | AttemptsAboveReplicas
    | UnreachableCoverage
    | EmptyAnswer
    | QuotaBelowOne
    | BurstWithoutRate
    | UnusableLimit
)


class VersionNotHigher(Struct, frozen=True):
    """A version with which the document has no effect once it is sent."""

    code: ClassVar[str] = "version_not_higher"
    old: int
    new: int


class EntryAdded(Struct, frozen=True):
    """An entry that the document in force does not have."""

    code: ClassVar[str] = "entry_added"
    entry: EntryKind
    name: str


class EntryRemoved(Struct, frozen=True):
    """An entry that only the document in force has."""

    code: ClassVar[str] = "entry_removed"
    entry: EntryKind
    name: str


class EntryChanged(Struct, frozen=True):
    """A field of an entry that differs from the document in force."""

    code: ClassVar[str] = "entry_changed"
    entry: EntryKind
    name: str
    field: str
    old: FieldValue
    new: FieldValue


class QuotaLowered(Struct, frozen=True):
    """A rate or burst that is lower than in the document in force."""

    code: ClassVar[str] = "quota_lowered"
    workspace: str
    field: str
    old: float
    new: float


class KeysChanged(Struct, frozen=True):
    """Numbers of keys of a workspace that were added and removed."""

    code: ClassVar[str] = "keys_changed"
    workspace: str
    added: int
    removed: int


Difference = (
    VersionNotHigher
    | EntryAdded
    | EntryRemoved
    | EntryChanged
    | QuotaLowered
    | KeysChanged
)
