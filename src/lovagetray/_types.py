"""Core types that commands, queries and the wire encoding share."""

from datetime import timedelta
from enum import Enum
from socket import AF_INET, inet_pton
from typing import NamedTuple

_MAX_PORT = 65535
# Longest host name of the domain name system; addresses are shorter.
_MAX_HOST_LENGTH = 253
_FIRST_MULTICAST_OCTET = 224


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address in a text of the form ``host:port``.

        Raises
        ------
        ValueError
            If the text has another form, or the port is not from 1 to 65535.
        """
        host, _, port = text.rpartition(":")
        # `isdigit` alone also accepts superscripts, which `int` does not.
        if not 0 < len(host) <= _MAX_HOST_LENGTH or not (
            port.isascii() and port.isdigit()
        ):
            raise ValueError(f"{text[:80]!r} is not host:port")
        if len(port) > len(str(_MAX_PORT)) or not 1 <= int(port) <= _MAX_PORT:
            raise ValueError(f"the port of {text[:80]!r} is not from 1 to {_MAX_PORT}")
        return cls(host, int(port))


def is_host_address(host: str) -> bool:
    """Return whether a text is the IPv4 address of a single host."""
    try:
        octets = inet_pton(AF_INET, host)
    except (OSError, ValueError):
        return False
    return 0 < octets[0] < _FIRST_MULTICAST_OCTET


class InstanceId(NamedTuple):
    """Identity of one run of an instance; a restart has another incarnation."""

    name: str
    incarnation: str


class InstanceCapacity(NamedTuple):
    """Capacity of the machine of an instance.

    Parameters
    ----------
    cores
        Processor cores that the machine may use.
    link_mbps
        Bandwidth of the machine's network link in Mbit/s.
    disk
        Whether the instance keeps its state on a disk, so that it may vote.
    """

    cores: float
    link_mbps: float
    disk: bool = False


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
    """State that a target announces."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Load(NamedTuple):
    """Load that a target reports; only a hint, because reports may be late or wrong."""

    in_flight: int
    queued: int


class Announcement(NamedTuple):
    """An announcement of a target to the entry instances.

    Parameters
    ----------
    incarnation
        Start time of the target's process in nanoseconds; a restart has a higher one.
    sequence
        Number of the announcement within its incarnation.
    slots
        Number of requests that the target processes concurrently.
    connections
        Number of concurrent connections that the target accepts.
    connect_cost
        Time needed to open a connection.
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
        Time left until the deadline when the sub-request was sent.
    limit
        Maximum number of records to return.
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
        Estimated time that a new sub-request would wait for a slot at this replica.
    """

    request_id: str
    shard: int
    snapshot: Snapshot
    records: tuple[Record, ...]
    queue_wait: timedelta


class ReplicaKey(NamedTuple):
    """Identity of a replica across all incarnations of its target."""

    service: str
    target: str


class ReplicaQuota(NamedTuple):
    """Slots and connections of a replica that an instance may use now.

    Parameters
    ----------
    slots, connections
        Maximum numbers of requests in flight and of open connections.
    orphaned
        Whether the lease has ended; connections above the quota are then closed, also
        those with requests in flight.
    available_in
        Time until slots are expected to become available if there are none.
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
        Time left until the deadline when the request was sent.
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
    """Reason why a shard is missing from an answer."""

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
    """The shards of a snapshot that an answer includes and those that it lacks."""

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
        Member on whose behalf the caller searches; members share the capacity.
    limit
        Maximum number of records to return.
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
