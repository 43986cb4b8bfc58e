"""Search settings of a service."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from msgspec import Struct


class LowestCost(Struct, frozen=True):
    """Policy that selects the replica with the lowest expected time to a reply."""


class LeastInFlight(Struct, frozen=True):
    """Policy that selects the replica with the fewest sub-requests in flight.

    Only the sub-requests of this instance are counted.
    """


class RandomReplica(Struct, frozen=True):
    """Policy that selects a replica at random."""


Policy = LowestCost | LeastInFlight | RandomReplica


class SearchSettings(NamedTuple):
    """Settings in force for the searches of one service.

    The defaults are the same as those of the setting keys.

    Parameters
    ----------
    deadline
        Time limit of a search if the caller sends none.
    require_complete
        Whether a search fails if shards are missing from its answer.
    policy
        Load-balancing policy.
    hedge_budget, retry_budget
        Hedges and retries allowed, in percent of first sub-requests.
    hedge_percentile
        Percentile of recent latency after which a sub-request is hedged.
    admission_queries
        Largest number of concurrent queries of the service on one instance.
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
    """Return the default settings, which are the same for every service."""
    return SearchSettings()


def parse_policy(value: str) -> Policy:
    """Return the policy for a value of the setting ``search.policy``."""
    match value:
        case "cost":
            return LowestCost()
        case "random":
            return RandomReplica()
        case _:
            return LeastInFlight()
