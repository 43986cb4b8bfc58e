"""Core records that commands, queries and the wire share."""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address written as ``host:port``; ValueError if it is not one."""
        host, _, port = text.rpartition(":")
        # `isdigit` alone also accepts superscripts, which `int` does not.
        if not host or not (port.isascii() and port.isdigit()):
            raise ValueError(f"{text!r} is not host:port")
        return cls(host, int(port))


class InstanceId(NamedTuple):
    """One run of an instance; a restart has another incarnation."""

    name: str
    incarnation: str


class Snapshot(NamedTuple):
    """An index version together with the partition map that divides it."""

    version: int
    layout: str
    shards: int


class Holding(NamedTuple):
    """One shard of one snapshot that a target can serve."""

    snapshot: Snapshot
    shard: int


class TargetState(Enum):
    """What a target says about itself."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Load(NamedTuple):
    """A target's own load report; a hint, since reports lag or mislead."""

    in_flight: int
    queued: int


class Announcement(NamedTuple):
    """What a target tells the entry instances about itself.

    Parameters
    ----------
    incarnation
        Start time of the target's process in nanoseconds; a restart has a higher one.
    sequence
        Counts the announcements of one incarnation.
    slots
        Requests that the target works on at once.
    connections
        Connections that the target accepts at once.
    connect_cost
        Time that a new connection costs.
    """

    service: str
    target: str
    incarnation: int
    sequence: int
    data_centre: str
    address: Address
    state: TargetState
    holdings: tuple[Holding, ...]
    slots: int
    connections: int
    connect_cost: timedelta
    load: Load


class Record(NamedTuple):
    """One search result."""

    id: str
    score: float
    fields: dict[str, str]


class SubRequest(NamedTuple):
    """The part of a query that one replica of one shard answers.

    Parameters
    ----------
    request_id
        Unique for each attempt.
    time_left
        Time left when the sub-request was sent.
    limit
        The most records to return.
    """

    request_id: str
    query_id: str
    service: str
    target: str
    shard: int
    snapshot: Snapshot
    time_left: timedelta
    terms: str
    limit: int


class SubReply(NamedTuple):
    """A replica's reply to a sub-request.

    Parameters
    ----------
    queue_wait
        How long a new sub-request would wait for a slot at this replica now.
    """

    request_id: str
    shard: int
    snapshot: Snapshot
    records: tuple[Record, ...]
    queue_wait: timedelta


class ReplicaKey(NamedTuple):
    """Names a replica over all incarnations of its target."""

    service: str
    target: str


class ReplicaQuota(NamedTuple):
    """What an instance may use of a replica now.

    Parameters
    ----------
    slots, connections
        Requests in flight and connections open at once.
    orphaned
        Whether the lease has ended, so that work above the allowance is cut off.
    available_in
        Time until slots are expected when there are none.
    """

    slots: int
    connections: int
    orphaned: bool = False
    available_in: timedelta = timedelta(0)


class ExecuteRequest(NamedTuple):
    """A non-idempotent request for one replica.

    Parameters
    ----------
    request_id
        Unique for each attempt.
    key
        The caller's idempotency key.
    body
        A JSON document that is passed to the target unchanged.
    time_left
        Time left when the request was sent.
    """

    request_id: str
    service: str
    target: str
    key: str
    body: bytes
    time_left: timedelta


class ExecuteReply(NamedTuple):
    """A replica's reply to a non-idempotent request: its JSON document."""

    request_id: str
    body: bytes


class MissingReason(Enum):
    """Why a shard is missing from an answer."""

    NO_REPLICA = "no_replica"
    TIMEOUT = "timeout"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    SNAPSHOT_GONE = "snapshot_gone"


class MissingShard(NamedTuple):
    """A shard that an answer does not include."""

    shard: int
    reason: MissingReason


class Coverage(NamedTuple):
    """Which shards of a snapshot an answer includes and which it does not."""

    shards: int
    included: tuple[int, ...]
    missing: tuple[MissingShard, ...]

    @property
    def complete(self) -> bool:
        """Whether every shard is included."""
        return not self.missing


class SearchRequest(NamedTuple):
    """A caller's search.

    Parameters
    ----------
    member
        On whose behalf the caller searches; service is shared between members.
    limit
        The most records to return.
    time_left
        Time until the caller's deadline.
    """

    request_id: str
    service: str
    member: str
    terms: str
    limit: int
    time_left: timedelta
    require_complete: bool


class Answer(NamedTuple):
    """The answer to a search: the best records of one snapshot, with coverage."""

    request_id: str
    query_id: str
    service: str
    snapshot: Snapshot
    coverage: Coverage
    records: tuple[Record, ...]
