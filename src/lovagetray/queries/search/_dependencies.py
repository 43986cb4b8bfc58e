"""Dependencies that all queries of an instance share, and the limits of one query."""

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
    """State and interfaces shared by the queries of one instance.

    Parameters
    ----------
    directory
        Announced targets.
    sender
        Sends sub-requests to the owners of replicas.
    clock
        Source of monotonic time and timeouts.
    violations
        Receives violations of invariants.
    stats
        Statistics of each replica.
    hedges, retries
        Instance-wide budgets of hedges and retries.
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
    """Time limits of one query.

    Parameters
    ----------
    deadline
        When the answer must be ready, on the monotonic clock.
    time_left
        Time from the arrival of the query to its deadline.
    cancel_timeout
        Time limit for cancelling the attempts that the query no longer needs.
    """

    deadline: timedelta
    time_left: timedelta
    cancel_timeout: timedelta


class Query(NamedTuple):
    """A search being processed by this instance.

    Parameters
    ----------
    id
        Identifier of the query; it stays the same if the query restarts at a newer
        snapshot.
    request
        The caller's request.
    settings
        Settings in force for the service.
    limits
        Time limits of the query.
    """

    id: str
    request: SearchRequest
    settings: SearchSettings
    limits: QueryLimits


# Share of the time to the deadline reserved for encoding and sending the answer.
_RESERVED_SHARE = 0.03
_MIN_RESERVE = timedelta(milliseconds=1)
_MAX_RESERVE = timedelta(milliseconds=10)


def query_limits(time_left: timedelta, now: timedelta) -> QueryLimits:
    """Return the time limits of a query that arrived now.

    Parameters
    ----------
    time_left
        Time until the caller's deadline.
    now
        Time of arrival on the monotonic clock.
    """
    reserve = max(_MIN_RESERVE, min(_MAX_RESERVE, time_left * _RESERVED_SHARE))
    return QueryLimits(now + time_left - reserve, time_left - reserve, reserve / 2)
