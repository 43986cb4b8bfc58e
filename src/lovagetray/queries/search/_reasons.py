"""Derives from failed attempts why a shard is missing from an answer."""

from collections.abc import Sequence

from lovagetray._errors import (
    DeadlinePassed,
    Failure,
    NoReply,
    NotOwner,
    Overloaded,
    RefusedByTarget,
    SnapshotUnavailable,
    TimedOut,
)
from lovagetray._types import MissingReason


def reason_for(failure: Failure) -> MissingReason:
    """Return the reason for a missing shard that corresponds to a failed attempt."""
    match failure:
        case RefusedByTarget(reason="shed") | Overloaded() | DeadlinePassed():
            return MissingReason.OVERLOADED
        case RefusedByTarget() | NotOwner():
            return MissingReason.NO_REPLICA
        case SnapshotUnavailable():
            return MissingReason.SNAPSHOT_GONE
        case NoReply() | TimedOut():
            return MissingReason.TIMEOUT
        case _:
            return MissingReason.FAILED


def missing_reason(failures: Sequence[Failure]) -> MissingReason:
    """Return why a shard is missing after all of its attempts failed.

    After overload, a lost snapshot or a missing replica, a later retry by the caller
    may succeed. These reasons are reported only if no attempt failed otherwise or timed
    out, because a retry would not help then in the same way. If they are mixed,
    overload takes precedence; without overload, a missing replica is reported.
    """
    reasons = {reason_for(failure) for failure in failures}
    if not reasons:
        return MissingReason.NO_REPLICA
    if len(reasons) == 1:
        return reasons.pop()
    for reason in (MissingReason.FAILED, MissingReason.TIMEOUT):
        if reason in reasons:
            return reason
    if MissingReason.OVERLOADED in reasons:
        return MissingReason.OVERLOADED
    return MissingReason.NO_REPLICA
