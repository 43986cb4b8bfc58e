"""The policies, service shapes and cases that are measured side by side."""

from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from fleet import Fleet


class Policy(NamedTuple):
    """A way to choose replicas; `settings` are keys of the settings tree."""

    name: str
    settings: dict[str, str]


OURS = "least in flight with hedges"
PLAIN = "plain fan-out"
POLICIES = (
    Policy(
        PLAIN, {"search.policy": "random", "hedge.budget": "0", "retry.budget": "0"}
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
        OURS,
        {
            "search.policy": "least_in_flight",
            "hedge.budget": "5",
            "retry.budget": "10",
        },
    ),
)


def select_policy(fleet: Fleet, service: str, policy: Policy) -> bool:
    """Put a policy in force for a service; return whether the instances did so."""
    revision = fleet.change_settings(f"/{service}", policy.settings)
    fleet.wait_until(lambda: fleet.in_force(revision))
    return True


class Shape(NamedTuple):
    """A service of a user.

    Parameters
    ----------
    work
        Mean work of a target on a sub-request in milliseconds.
    connect
        Time that a new connection costs in milliseconds.
    """

    title: str
    service: str
    data_centres: tuple[str, ...]
    shards: int
    replicas: int
    slots: int
    connections: int
    connect: float
    work: float

    @property
    def capacity(self) -> float:
        """The queries each second that keep every slot busy."""
        return self.replicas * self.slots * 1000 / self.work


_FINLAND = ("helsinki-1", "helsinki-2", "tampere-1", "oulu-1")
_GREECE = ("athens-1", "athens-2", "patras-1")


def shapes(work: float) -> tuple[Shape, ...]:
    """Return the users' services that are measured, with a mean work in ms."""
    return (
        Shape(
            "invoice search",
            "kallioniemi/invoices",
            _FINLAND,
            shards=10,
            replicas=3,
            slots=5,
            connections=40,
            connect=6,
            work=work,
        ),
        Shape(
            "family portal",
            "venture/portal",
            _GREECE,
            shards=10,
            replicas=3,
            slots=2,
            connections=25,
            connect=6,
            work=work,
        ),
        Shape(
            "archive",
            "kallioniemi/archive",
            _FINLAND,
            shards=1,
            replicas=10,
            slots=4,
            connections=130,
            connect=1,
            work=work,
        ),
    )


@dataclass(frozen=True, slots=True)
class Calm:
    """Nothing fails."""


@dataclass(frozen=True, slots=True)
class Straggler:
    """One replica of the service is slower by a factor."""

    factor: float


@dataclass(frozen=True, slots=True)
class FrozenReplica:
    """One replica of the service accepts requests and never answers."""


@dataclass(frozen=True, slots=True)
class LostThird:
    """A third of the replicas, none of them the last of its shard, is lost."""


@dataclass(frozen=True, slots=True)
class Overload:
    """The load goes to a multiple of the capacity and back."""

    factor: float


@dataclass(frozen=True, slots=True)
class FrozenReports:
    """One replica is slower and all load reports keep the value from before."""

    factor: float


@dataclass(frozen=True, slots=True)
class VersionChanges:
    """The replicas change to a new index version again and again."""

    every: timedelta


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
        Share of the capacity.
    deadline
        What requests state; longer than wanted where the latency itself is compared.
    """

    name: str
    condition: Condition
    load: float
    deadline: timedelta


_WANTED = timedelta(milliseconds=330)
_LONG = timedelta(seconds=3)
CALM = "calm"
SLOW = "one straggler, 10 times slower"
FROZEN = "one straggler, frozen"
LOST = "a third of the replicas lost"
OVERLOAD = "1.2 times capacity and back"
REPORTS = "reports frozen, one straggler"
VERSIONS = "a version change every 2 s"
CASES = (
    Case(CALM, Calm(), 0.6, _WANTED),
    Case(SLOW, Straggler(10), 0.6, _LONG),
    Case(FROZEN, FrozenReplica(), 0.6, _LONG),
    Case(LOST, LostThird(), 0.5, _WANTED),
    Case(OVERLOAD, Overload(1.2), 0.8, _WANTED),
    Case(REPORTS, FrozenReports(10), 0.6, _LONG),
    Case(VERSIONS, VersionChanges(timedelta(seconds=2)), 0.6, _WANTED),
)
