"""Completion policy: decides when a scatter/gather query is answered.

Single replicas may stall. One late shard must not delay the whole answer once the
coverage suffices, whereas an answer that is already late should be complete.
"""

from datetime import timedelta
from typing import NamedTuple

from msgspec import Struct

from lovagetray.queries.dispatch import response_cutoff

# Time until the request was read and until its answer is encoded and has reached the
# caller, 1 to 3 ms away. A query that waits behind the responses of another one on a
# busy instance takes most of the maximum.
_MIN_MARGIN = timedelta(milliseconds=6)
_MAX_MARGIN = timedelta(milliseconds=30)
_MARGIN_SHARE = 0.25
# Until this share of the margin has passed, an answer can still be in time.
_LATE_MARGIN_SHARE = 0.6
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
    started_at: timedelta,
    spent: timedelta,
    target_latency: timedelta,
    timeout: timedelta,
) -> CompletionPolicy:
    """Return the completion policy of a query.

    Parameters
    ----------
    started_at
        Start of the query on the monotonic clock.
    spent
        Time that the caller has spent on the request before. It is ignored from the
        target latency on: the answer is late already, or the caller waits for less time
        than others.
    target_latency
        Target latency of the route.
    timeout
        Time that the caller waits for the answer.
    """
    margin = min(max(_MIN_MARGIN, target_latency * _MARGIN_SHARE), _MAX_MARGIN)
    timely_after = max(target_latency - margin, target_latency * 0.5)
    if spent < target_latency:
        timely_after -= spent
    timely_at = started_at + timely_after
    return CompletionPolicy(
        timely_at,
        timely_at + margin * _LATE_MARGIN_SHARE,
        started_at + target_latency * _LATE_WAIT_TARGET_LATENCIES,
        started_at + response_cutoff(timeout),
    )
