"""Completion policy: decides when a scatter/gather query is answered.

Single replicas may stall. One late shard must not delay the whole answer once the
coverage suffices, whereas an answer that is already late should be complete.
"""

from datetime import timedelta
from typing import NamedTuple

from msgspec import Struct

from lovagetray.queries.dispatch import response_cutoff

# Time to encode the answer and send it to the caller, 1 to 3 ms away.
_MIN_MARGIN = timedelta(milliseconds=6)
_MAX_MARGIN = timedelta(milliseconds=25)
_MARGIN_SHARE = 0.2
# A late answer waits for missing shards until this many target latencies have passed.
_LATE_WAIT_TARGET_LATENCIES = 3.0


class AnswerNow(Struct, frozen=True):
    """Decision to answer with the shards that replied, or to fail if too few did."""


class WaitUntil(Struct, frozen=True):
    """Decision to wait for further shards.

    Parameters
    ----------
    at
        End of the wait on the monotonic clock.
    wake_on_any
        Whether the answer of any shard ends the wait; otherwise only that of the last.
    """

    at: timedelta
    wake_on_any: bool


class CompletionPolicy(NamedTuple):
    """Times at which a query may be answered with shards missing.

    Parameters
    ----------
    timely_at
        From this time on, an answer with sufficient coverage is sent at once, so that
        it meets the target latency.
    late_at
        From this time on, an answer misses the target latency and is of little use to
        the caller unless it is complete.
    complete_until
        End of the time for which a late answer waits for missing shards.
    cutoff_at
        When the final answer is due.
    """

    timely_at: timedelta
    late_at: timedelta
    complete_until: timedelta
    cutoff_at: timedelta

    def decide(self, now: timedelta, sufficient: bool) -> AnswerNow | WaitUntil:
        """Decide whether to answer or to wait while some shards are missing.

        Parameters
        ----------
        now
            Current time on the monotonic clock.
        sufficient
            Whether the shards that replied give sufficient coverage.
        """
        if now >= self.cutoff_at:
            return AnswerNow()
        if now < self.timely_at:
            return WaitUntil(min(self.timely_at, self.cutoff_at), False)
        if sufficient and (now < self.late_at or now >= self.complete_until):
            return AnswerNow()
        if now < self.late_at:
            return WaitUntil(min(self.late_at, self.cutoff_at), True)
        if now < self.complete_until:
            return WaitUntil(min(self.complete_until, self.cutoff_at), False)
        return WaitUntil(self.cutoff_at, True)


def completion_policy(
    started_at: timedelta, target_latency: timedelta, timeout: timedelta
) -> CompletionPolicy:
    """Return the completion policy of a query.

    Parameters
    ----------
    started_at
        Start of the query on the monotonic clock.
    target_latency
        Target latency of the route.
    timeout
        Time that the caller waits for the answer.
    """
    margin = min(max(_MIN_MARGIN, target_latency * _MARGIN_SHARE), _MAX_MARGIN)
    timely_at = started_at + max(target_latency - margin, target_latency * 0.5)
    return CompletionPolicy(
        timely_at,
        timely_at + margin * 0.6,
        started_at + target_latency * _LATE_WAIT_TARGET_LATENCIES,
        started_at + response_cutoff(timeout),
    )
