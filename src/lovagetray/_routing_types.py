"""Records of routing that commands, queries and the wire share."""

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
    """Requests go to one replica of a service."""

    service: str


class WeightedService(NamedTuple):
    """A service's part of a split; `weight` is relative to the other parts."""

    service: str
    weight: float


class TrafficSplit(Struct, frozen=True):
    """Each request goes to one replica of one service, in proportion to weights."""

    weighted_services: tuple[WeightedService, ...]


class GatherShards(Struct, frozen=True):
    """Requests go to one replica of every shard; each shard is a service.

    Parameters
    ----------
    top_k
        How many of the greatest records the answer holds.
    min_coverage
        The smallest share of shards that an answer may include, 0 to 1.
    """

    shards: tuple[str, ...]
    top_k: int
    min_coverage: float


Destination = OneService | TrafficSplit | GatherShards


class Route(NamedTuple):
    """Where requests of one host and path prefix go.

    Parameters
    ----------
    time_limit
        The longest time that a caller is kept waiting.
    target_latency
        The time within which an answer has its full worth.
    priority
        0 is served first.
    max_attempts
        The most replicas that one request may be sent to, for each shard.
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


class ServiceSpec(NamedTuple):
    """What is known of a service before any replica is.

    Parameters
    ----------
    max_connections
        The most connections that one replica accepts from all instances together.
    """

    name: str
    health_path: str
    max_connections: int


class CallerLimits(NamedTuple):
    """What a caller may send, in bytes, and how long it may take."""

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_time: timedelta = timedelta(seconds=3)
    idle_time: timedelta = timedelta(seconds=15)


class RoutingDocument(NamedTuple):
    """A complete set of routes, services and limits under one version.

    Parameters
    ----------
    source
        The document as the operator sent it, so that it reads back unchanged.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits
    source: bytes


class ReplicaState(Enum):
    """What a replica says about itself; a replica that said LEFT is not used again."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class ReplicaNotice(NamedTuple):
    """What a replica announces about itself.

    Parameters
    ----------
    born
        Start of the replica in Unix milliseconds; orders the runs under one id.
    sequence
        Orders the notices of one run.
    slots
        Requests that the replica works on at once.
    warm_up
        How much longer the replica stays slow after its start.
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
        """Sorts the notices of a replica; within one run LEFT is the last."""
        return self.born, self.state is ReplicaState.LEFT, self.sequence


class NoticeVersion(NamedTuple):
    """Which notice of one replica an instance holds."""

    replica: str
    order: tuple[int, bool, int]


class RepeatedNotice(NamedTuple):
    """A notice that a replica repeated.

    Parameters
    ----------
    content_checksum
        Checksum of the notice without its sequence: a receiver that missed a change
        must not take the repetition for one of what it holds.
    """

    replica: str
    born: int
    sequence: int
    content_checksum: int


class CallerRequest(NamedTuple):
    """A request of a caller, complete.

    Parameters
    ----------
    headers
        Without those that concern one connection or that the system sets itself.
    time_left
        How long the caller waits, from the arrival of the request; None if unsaid.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    time_left: timedelta | None

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def timeout_for(self, route: Route) -> timedelta:
        """Return how long the caller is kept waiting on a route."""
        return min(route.time_limit, self.time_left or route.time_limit)


class ReplicaLoad(NamedTuple):
    """What a replica says of its load; it may lag."""

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
        Whether the body is in an encoding that nobody asked for.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    request_id: str
    response_id: str
    not_run: bool
    encoded: bool
    load: ReplicaLoad | None

    @property
    def succeeded(self) -> bool:
        """Tell whether it is a usable success."""
        return 200 <= self.status < 300 and bool(self.response_id) and not self.encoded
