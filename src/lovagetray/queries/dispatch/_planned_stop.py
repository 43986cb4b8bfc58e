"""The schedule of a planned stop, and which requests can still be served in it."""

from datetime import timedelta
from typing import NamedTuple

# Shares of the grace period. Connections are accepted until the first one; requests
# that wait for a replica are answered at the second one, which leaves a sixth of the
# period for late handling of the signal, for writing the answers and for exiting.
_ACCEPTING_SHARE = 5 / 8
_ANSWERING_SHARE = 5 / 6
# Time that the process needs to exit before the kill.
_EXIT_MARGIN = timedelta(milliseconds=200)
# The next answer may take longer than all recent ones, by this factor.
_LATENCY_FACTOR = 1.25


class StopSchedule(NamedTuple):
    """Times of a planned stop on the monotonic clock.

    Parameters
    ----------
    accept_until
        No more connections are accepted from then on.
    answer_by
        Requests that still wait for a replica are answered without it.
    exit_by
        The process exits, whatever still runs.
    """

    accept_until: timedelta
    answer_by: timedelta
    exit_by: timedelta


def accepting_time(grace_period: timedelta) -> timedelta:
    """Return how long after the stop signal connections are still accepted."""
    return grace_period * _ACCEPTING_SHARE


def stop_schedule(signalled_at: timedelta, grace_period: timedelta) -> StopSchedule:
    """Return the schedule of a stop.

    Parameters
    ----------
    signalled_at
        When the signal was received, on the monotonic clock.
    grace_period
        Time from the signal until the process is killed.
    """
    return StopSchedule(
        signalled_at + accepting_time(grace_period),
        signalled_at + grace_period * _ANSWERING_SHARE,
        signalled_at + max(grace_period - _EXIT_MARGIN, timedelta(0)),
    )


def can_be_served(
    time_left: timedelta,
    timeout: timedelta,
    target_latency: timedelta,
    longest_latency: timedelta,
) -> bool:
    """Return whether a request that has just arrived can be answered before the stop.

    One that cannot is better refused: it has not run, and another instance can serve
    it at once.

    Parameters
    ----------
    time_left
        Time until requests are answered without their replica.
    timeout
        Longest time that the request may take.
    target_latency
        Target latency of the route.
    longest_latency
        Longest latency of recent answers of replicas on the route.
    """
    needed = max(target_latency, longest_latency * _LATENCY_FACTOR)
    return time_left >= min(timeout, needed)
