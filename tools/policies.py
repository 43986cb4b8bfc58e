"""The policies, service shapes and cases that are measured side by side."""

from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from fleet import Fleet


class Policy(NamedTuple):
    """A way to choose replicas; `settings` maps keys of the settings tree to values."""

    name: str
    settings: dict[str, str]


SYSTEM_POLICY = "least in flight with hedges"
PLAIN_FAN_OUT = "plain fan-out"
POLICIES = (
    Policy(
        PLAIN_FAN_OUT,
        {"search.policy": "random", "hedge.budget": "0", "retry.budget": "0"},
    ),
    Policy(
        "least in flight",
        {
            "search.policy": "least_in_flight",
            "hedge.budget": "0",
            "retry.budget": "10",
        },
    ),
    Policy(
        SYSTEM_POLICY,
        {
            "search.policy": "least_in_flight",
            "hedge.budget": "5",
            "retry.budget": "10",
        },
    ),
)


def select_policy(fleet: Fleet, service: str, policy: Policy) -> bool:
    """Set a policy for a service; return True when all instances have applied it.

    Raises
    ------
    FleetTimeout
        If the instances do not apply it in time.
    """
    revision = fleet.change_settings(f"/{service}", policy.settings)
    fleet.wait_until(lambda: fleet.in_force(revision))
    return True


class Shape(NamedTuple):
    """A user's service and the size of its targets.

    Parameters
    ----------
    replicas
        Number of replicas of each shard.
    slots, connections
        Number of sub-requests that a target processes concurrently, and of connections
        that it accepts.
    connect_ms
        Time that a new connection to a target takes.
    work_ms
        Mean time that a target works on a sub-request.
    """

    title: str
    service: str
    data_centres: tuple[str, ...]
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    work_ms: float

    @property
    def capacity(self) -> float:
        """Rate in queries a second at which every slot is in use."""
        return self.replicas * self.slots * 1000 / self.work_ms


_FINLAND = ("helsinki-1", "helsinki-2", "tampere-1", "oulu-1")
_GREECE = ("athens-1", "athens-2", "patras-1")


def shapes(work_ms: float) -> tuple[Shape, ...]:
    """Return the measured services, with a mean time for a sub-request in ms."""
    return (
        Shape(
            "invoice search",
            "kallioniemi/invoices",
            _FINLAND,
            shards=10,
            replicas=3,
            slots=5,
            connections=40,
            connect_ms=6,
            work_ms=work_ms,
        ),
        Shape(
            "family portal",
            "venture/portal",
            _GREECE,
            shards=10,
            replicas=3,
            slots=2,
            connections=25,
            connect_ms=6,
            work_ms=work_ms,
        ),
        Shape(
            "archive",
            "kallioniemi/archive",
            _FINLAND,
            shards=1,
            replicas=10,
            slots=4,
            connections=130,
            connect_ms=1,
            work_ms=work_ms,
        ),
    )


@dataclass(frozen=True, slots=True)
class Calm:
    """The condition without any fault."""


@dataclass(frozen=True, slots=True)
class Straggler:
    """The condition in which one replica is slower by a factor."""

    factor: float


@dataclass(frozen=True, slots=True)
class FrozenReplica:
    """The condition in which one replica accepts requests and never answers."""


@dataclass(frozen=True, slots=True)
class LostThird:
    """The loss of a third of the replicas; each shard keeps at least one."""


@dataclass(frozen=True, slots=True)
class Overload:
    """A phase with a load of a multiple of the capacity, between two usual ones."""

    factor: float


@dataclass(frozen=True, slots=True)
class FrozenReports:
    """The condition in which one replica is slower and no load report changes."""

    factor: float


@dataclass(frozen=True, slots=True)
class VersionChanges:
    """The regular replacement of the index version; `interval` is between versions."""

    interval: timedelta


Condition = (
    Calm
    | Straggler
    | FrozenReplica
    | LostThird
    | Overload
    | FrozenReports
    | VersionChanges
)


class Case(NamedTuple):
    """A condition under load.

    Parameters
    ----------
    load
        Rate of queries as a share of the capacity.
    deadline
        Deadline sent in requests, which cuts latencies off. Where latencies are
        compared, it is therefore longer than the 330 ms up to which an answer counts as
        in time.
    """

    name: str
    condition: Condition
    load: float
    deadline: timedelta


_SEARCH_DEADLINE = timedelta(milliseconds=330)
_LONG_DEADLINE = timedelta(seconds=3)
CALM = "calm"
SLOW_REPLICA = "one straggler, 10 times slower"
FROZEN_REPLICA = "one straggler, frozen"
LOST_THIRD = "a third of the replicas lost"
OVERLOAD = "1.2 times capacity and back"
FROZEN_REPORTS = "reports frozen, one straggler"
VERSION_CHANGES = "a version change every 2 s"
CASES = (
    Case(CALM, Calm(), 0.6, _SEARCH_DEADLINE),
    Case(SLOW_REPLICA, Straggler(10), 0.6, _LONG_DEADLINE),
    Case(FROZEN_REPLICA, FrozenReplica(), 0.6, _LONG_DEADLINE),
    Case(LOST_THIRD, LostThird(), 0.5, _SEARCH_DEADLINE),
    Case(OVERLOAD, Overload(1.2), 0.8, _SEARCH_DEADLINE),
    Case(FROZEN_REPORTS, FrozenReports(10), 0.6, _LONG_DEADLINE),
    Case(VERSION_CHANGES, VersionChanges(timedelta(seconds=2)), 0.6, _SEARCH_DEADLINE),
)
