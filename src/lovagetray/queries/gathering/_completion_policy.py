"""Decides when a query over many shards is answered.

Answers the stall of single replicas: one late shard must not make the whole answer late
when enough shards are in, and an answer that is late already should be complete.
"""

from datetime import timedelta
from typing import NamedTuple

from msgspec import Struct

from lovagetray.queries.dispatch import response_cutoff

# The caller's way and the encoding of the answer; callers are 1 to 3 ms away.
_LEAST_MARGIN = timedelta(milliseconds=6)
_MOST_MARGIN = timedelta(milliseconds=25)
_MARGIN_SHARE = 0.2
# A late answer waits this many target latencies for the shards that are missing.
_LATE_PATIENCE = 3.0


class AnswerNow(Struct, frozen=True):
    """Answer with the shards that are in, or fail without enough of them."""


class WaitUntil(Struct, frozen=True):
    """Wait for more shards.

    Parameters
    ----------
    wake_on_any
        Whether each further shard may end the wait, and not only the last one.
    """

    at: timedelta
    wake_on_any: bool


class Patience(NamedTuple):
    """When a query is answered with the shards that it has.

    Parameters
    ----------
    timely_at
        Enough shards are answered from then on, so that the answer is in time.
    late_at
        An answer sent later has lost most of its worth.
    complete_until
        A late answer waits for missing shards until then.
    cutoff_at
        The final answer is due.
    """

    timely_at: timedelta
    late_at: timedelta
    complete_until: timedelta
    cutoff_at: timedelta

    def decide(self, now: timedelta, enough: bool) -> AnswerNow | WaitUntil:
        """Return what to do while some shards are missing."""
        if now >= self.cutoff_at:
            return AnswerNow()
        if now < self.timely_at:
            return WaitUntil(min(self.timely_at, self.cutoff_at), False)
        if enough and (now < self.late_at or now >= self.complete_until):
            return AnswerNow()
        if now < self.late_at:
            return WaitUntil(min(self.late_at, self.cutoff_at), True)
        if now < self.complete_until:
            return WaitUntil(min(self.complete_until, self.cutoff_at), False)
        return WaitUntil(self.cutoff_at, True)


def patience(
    began_at: timedelta, target_latency: timedelta, limit: timedelta
) -> Patience:
    """Return when a query that began at a time is answered."""
    margin = min(max(_LEAST_MARGIN, target_latency * _MARGIN_SHARE), _MOST_MARGIN)
    timely_at = began_at + max(target_latency - margin, target_latency * 0.5)
    return Patience(
        timely_at,
        timely_at + margin * 0.6,
        began_at + target_latency * _LATE_PATIENCE,
        began_at + response_cutoff(limit),
    )
