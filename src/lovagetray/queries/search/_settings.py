"""What operators set for the searches of a service."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from msgspec import Struct


class LowestCost(Struct, frozen=True):
    """Choose the replica with the lowest expected time to a reply."""


class LeastInFlight(Struct, frozen=True):
    """Choose the replica with the fewest sub-requests of this instance in flight."""


class RandomReplica(Struct, frozen=True):
    """Choose any replica."""


Policy = LowestCost | LeastInFlight | RandomReplica


class SearchSettings(NamedTuple):
    """The settings in force for the searches of one service.

    The defaults are those of the table of keys.

    Parameters
    ----------
    deadline
        Time limit of a search whose caller names none.
    hedge_budget, retry_budget
        Extra sub-requests allowed, in percent of first sub-requests.
    hedge_percentile
        Percentile of recent latency after which a sub-request is hedged.
    admission_queries
        Queries of the service that one instance runs at once.
    """

    deadline: timedelta = timedelta(milliseconds=330)
    require_complete: bool = False
    policy: Policy = LeastInFlight()
    hedge_budget: float = 5.0
    hedge_percentile: float = 95.0
    retry_budget: float = 10.0
    admission_queries: int = 64


SettingsOf = Callable[[str], SearchSettings]


def default_settings(service: str) -> SearchSettings:
    """Return the defaults, which are the same for every service."""
    return SearchSettings()


def parse_policy(word: str) -> Policy:
    """Return the policy that a value of ``search.policy`` names."""
    match word:
        case "cost":
            return LowestCost()
        case "random":
            return RandomReplica()
        case _:
            return LeastInFlight()
