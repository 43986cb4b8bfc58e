"""What every query of an instance shares."""

from datetime import timedelta
from random import Random
from typing import NamedTuple

from lovagetray._clock import Clock
from lovagetray._types import SearchRequest
from lovagetray._violations import Violations
from lovagetray.queries.search._replica_stats_store import ReplicaStatsStore
from lovagetray.queries.search._retry_budget import RetryBudget
from lovagetray.queries.search._settings import SearchSettings
from lovagetray.state import TargetDirectory
from lovagetray.targets import SubRequestSender


class SearchDependencies(NamedTuple):
    """State and interfaces that the queries of one instance use.

    Parameters
    ----------
    hedges, retries
        Budgets over the whole instance.
    random
        Breaks near-ties between replicas.
    """

    directory: TargetDirectory
    sender: SubRequestSender
    clock: Clock
    violations: Violations
    stats: ReplicaStatsStore
    hedges: RetryBudget
    retries: RetryBudget
    random: Random


class QueryLimits(NamedTuple):
    """The time limits of one query.

    Parameters
    ----------
    deadline
        When the answer must be ready, on the monotonic clock.
    time_left
        The time between the arrival of the query and its deadline.
    cancel_limit
        How long a query may take to cancel what it no longer needs.
    """

    deadline: timedelta
    time_left: timedelta
    cancel_limit: timedelta


class Query(NamedTuple):
    """A search on its way through this instance.

    Parameters
    ----------
    id
        The same for every snapshot that the query is tried at.
    """

    id: str
    request: SearchRequest
    settings: SearchSettings
    limits: QueryLimits


# Part of a caller's time that is kept to encode and send the answer.
_RESERVED_SHARE = 0.03
_SMALLEST_RESERVE = timedelta(milliseconds=1)
_LARGEST_RESERVE = timedelta(milliseconds=10)


def limits_of(budget: timedelta, now: timedelta) -> QueryLimits:
    """Return the limits of a query that arrived now.

    Parameters
    ----------
    budget
        Time until the caller's deadline.
    """
    reserve = max(_SMALLEST_RESERVE, min(_LARGEST_RESERVE, budget * _RESERVED_SHARE))
    return QueryLimits(now + budget - reserve, budget - reserve, reserve / 2)
