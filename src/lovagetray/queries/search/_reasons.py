"""Why a shard is missing from an answer."""

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


def reason_of(failure: Failure) -> MissingReason:
    """Return what one failed attempt says about its shard."""
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

    Load, lost snapshots and absent replicas are named only if they are the whole
    reason. Otherwise a timeout or a failure decides, because trying again later would
    not help in the same way.
    """
    reasons = {reason_of(failure) for failure in failures}
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
