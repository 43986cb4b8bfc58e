"""Attempts of one query at each shard."""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lovagetray._errors import ConnectionLost, Failure
from lovagetray._types import MissingReason, SubRequest
from lovagetray.queries.search._reasons import missing_reason
from lovagetray.state import Listing


class AttemptKind(Enum):
    """Reason for sending a sub-request."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class Attempt(NamedTuple):
    """A sub-request sent to one replica.

    Parameters
    ----------
    request
        The sub-request.
    kind
        Whether it is the first attempt, a hedge or a retry.
    sent_at
        When it was sent, on the monotonic clock.
    expected_wait
        Estimated queue wait of the replica when the sub-request was sent.
    """

    request: SubRequest
    kind: AttemptKind
    sent_at: timedelta
    expected_wait: timedelta


class ShardAttempts:
    """The attempts of one query at one shard."""

    def __init__(self, shard: int) -> None:
        self._shard = shard
        self._open: dict[str, Attempt] = {}
        self._tried: set[str] = set()
        self._retriable: set[str] = set()
        self._failures: list[Failure] = []

    @property
    def shard(self) -> int:
        """Shard number."""
        return self._shard

    @property
    def open(self) -> tuple[Attempt, ...]:
        """Attempts without an outcome yet, oldest first."""
        return tuple(self._open.values())

    def eligible(self, listings: list[Listing]) -> list[Listing]:
        """Return the replicas that are eligible for another attempt.

        These are the replicas without an attempt so far. If there is none and no
        attempt is open, replicas whose connection was lost are eligible once more,
        because a new connection may succeed.
        """
        tried = self._tried | {
            attempt.request.target for attempt in self._open.values()
        }
        untried = [
            listing for listing in listings if listing.announcement.target not in tried
        ]
        if untried or self._open:
            return untried
        return [
            listing
            for listing in listings
            if listing.announcement.target in self._retriable
        ]

    def record_sent(self, attempt: Attempt) -> None:
        """Record a sent attempt."""
        target = attempt.request.target
        self._retriable.discard(target)
        self._open[attempt.request.request_id] = attempt

    def record_failure(self, attempt: Attempt, failure: Failure) -> None:
        """Record the failure of an attempt."""
        self.record_ended(attempt)
        self._failures.append(failure)
        target = attempt.request.target
        match failure:
            case ConnectionLost() if target not in self._tried:
                self._retriable.add(target)
        self._tried.add(target)

    def record_ended(self, attempt: Attempt) -> None:
        """Close an attempt whose outcome is no longer awaited."""
        self._open.pop(attempt.request.request_id, None)

    def reason(self) -> MissingReason:
        """Return why the shard is missing after all attempts failed."""
        return missing_reason(self._failures)

    def reason_at(self, deadline: timedelta) -> MissingReason:
        """Return why the shard is missing when open attempts are cancelled.

        The reason is overload if, by the expected queue waits, the open attempts could
        not start before `deadline` and no attempt failed for another reason.
        """
        waited_in_queues = all(
            attempt.expected_wait >= deadline - attempt.sent_at
            for attempt in self._open.values()
        )
        overloaded = waited_in_queues and not (
            self._failures and self.reason() is not MissingReason.OVERLOADED
        )
        return MissingReason.OVERLOADED if overloaded else MissingReason.TIMEOUT
