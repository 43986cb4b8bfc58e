"""Routing types that commands, queries and the wire encoding share."""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from msgspec import Struct

from lovagetray._types import Address


class RetrySafety(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


class OneService(Struct, frozen=True):
    """A destination that sends each request to one replica of a service."""

    service: str


class WeightedService(NamedTuple):
    """A service of a traffic split; `weight` is relative to the other services."""

    service: str
    weight: float


class TrafficSplit(Struct, frozen=True):
    """A destination that sends each request to one replica of one of its services.

    Services are chosen in proportion to their weights.
    """

    weighted_services: tuple[WeightedService, ...]


class GatherShards(Struct, frozen=True):
    """A destination that sends each request to one replica of every shard.

    Each shard is a service.

    Parameters
    ----------
    top_k
        Maximum number of records in the answer; those that sort highest are kept.
    min_coverage
        Minimum fraction of shards that an answer must include, 0 to 1.
    """

    shards: tuple[str, ...]
    top_k: int
    min_coverage: float


Destination = OneService | TrafficSplit | GatherShards


class Route(NamedTuple):
    """Destination and limits of the requests of one host and path prefix.

    Parameters
    ----------
    time_limit
        Maximum time from a request to its response.
    target_latency
        Latency goal; the value of a later answer is reduced.
    priority
        0 is the highest priority.
    max_attempts
        Maximum number of replicas that one request is sent to, for each shard.
    public
        Whether requests need no key where the document has workspaces.
    """

    name: str
    host: str
    prefix: str
    retry_safety: RetrySafety
    time_limit: timedelta
    target_latency: timedelta
    priority: int
    max_attempts: int
    destination: Destination
    public: bool = False


class ServiceSpec(NamedTuple):
    """Configuration of a service, independent of its replicas.

    Parameters
    ----------
    max_connections
        Maximum number of connections that one replica accepts from all instances
        together.
    cold_rate
        Requests per second that a replica bears while it warms up; 0 if not stated.
    """

    name: str
    health_path: str
    max_connections: int
    cold_rate: float = 0.0


class Workspace(NamedTuple):
    """A party on whose behalf callers ask, with its keys and its quota.

    Parameters
    ----------
    keys
        Keys that identify the callers of the workspace.
    rate
        Requests per second of all instances together; 0 if there is no quota.
    burst
        Requests that are allowed at once in addition to `rate`.
    priority
        Replaces the priority of the route; None if the route's priority applies.
    """

    name: str
    keys: tuple[str, ...]
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None


class CallerLimits(NamedTuple):
    """Limits of a caller's request: sizes in bytes, and times."""

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    request_time: timedelta = timedelta(seconds=3)
    idle_time: timedelta = timedelta(seconds=15)


class RoutingDocument(NamedTuple):
    """A complete set of routes, services and limits under one version.

    Parameters
    ----------
    source
        The document as the operator sent it; it is returned unchanged when read.
    workspaces
        The workspaces, one of which each request belongs to, except on public routes;
        None if the document has no workspaces and requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits
    source: bytes
    workspaces: tuple[Workspace, ...] | None = None


class ReplicaState(Enum):
    """State in a notice of a replica; after LEFT the replica is not used again."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class ReplicaNotice(NamedTuple):
    """A notice that a replica sends to the gateway.

    Parameters
    ----------
    born
        Start time of the replica in Unix milliseconds; orders the runs under one id.
    sequence
        Orders the notices of one run.
    slots
        Number of requests that the replica processes concurrently.
    warm_up
        Remaining time in which the replica is slower than usual after its start.
    """

    replica: str
    service: str
    address: Address
    data_centre: str
    state: ReplicaState
    born: int
    sequence: int
    slots: int
    warm_up: timedelta

    @property
    def order(self) -> tuple[int, bool, int]:
        """Sort key of the notices of a replica; within one run LEFT is the last."""
        return self.born, self.state is ReplicaState.LEFT, self.sequence


class NoticeVersion(NamedTuple):
    """Identity of the notice of one replica that an instance has."""

    replica: str
    order: tuple[int, bool, int]


class ReplicaRun(NamedTuple):
    """One run of a replica; `born` is its start time in Unix milliseconds."""

    replica: str
    born: int


class RepeatedNotice(NamedTuple):
    """A notice that a replica repeated.

    Parameters
    ----------
    content_checksum
        Checksum of the notice without its sequence. It shows a receiver that missed a
        change that the repeated notice differs from the one that it has.
    """

    replica: str
    born: int
    sequence: int
    content_checksum: int


class CallerRequest(NamedTuple):
    """A complete request of a caller.

    Parameters
    ----------
    headers
        Headers without hop-by-hop headers, those that the system sets itself, and
        `identity_headers`.
    time_left
        Time that the caller waits, from the arrival of the request; None if not stated.
    credentials
        Values of the headers in which the caller may state a key.
    identity_headers
        Headers that state a key or a workspace. They are forwarded only if the routing
        document has no workspaces.
    workspace
        The workspace of the caller's key; None before authentication or without a key.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    time_left: timedelta | None
    credentials: tuple[bytes, ...] = ()
    identity_headers: tuple[tuple[bytes, bytes], ...] = ()
    workspace: str | None = None

    @property
    def path(self) -> str:
        """The path without the query string."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def timeout_for(self, route: Route) -> timedelta:
        """Return the time limit of the request on a route."""
        return min(route.time_limit, self.time_left or route.time_limit)

    def after_wait(self, waited: timedelta, route: Route) -> "CallerRequest":
        """Return the request with the time that is left after a wait on this instance.

        The wait must be shorter than the time limit of the request.
        """
        return self._replace(time_left=self.timeout_for(route) - waited)


class ReplicaLoad(NamedTuple):
    """Load that a replica reports; it may be out of date."""

    running: int
    waiting: int
    slots: int


class ReplicaReply(NamedTuple):
    """A complete response of a replica.

    Parameters
    ----------
    response_id
        Identifies the response of one run of the request; empty if absent.
    not_run
        Whether the replica states that it did not run the request.
    encoded
        Whether the body has a content encoding that was not requested.
    leaving
        Whether the replica states that it is leaving.
    refuses_for
        Time for which the replica wants no requests from this instance; None if it
        states none.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    request_id: str
    response_id: str
    not_run: bool
    encoded: bool
    load: ReplicaLoad | None
    leaving: bool = False
    refuses_for: timedelta | None = None

    @property
    def has_success_status(self) -> bool:
        """Whether the status is that of a success, usable or not."""
        return 200 <= self.status < 300

    @property
    def succeeded(self) -> bool:
        """Whether the response is successful and usable."""
        return self.has_success_status and bool(self.response_id) and not self.encoded
