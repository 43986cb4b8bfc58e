"""The attempts that one query made at its shards."""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lovagetray._errors import ConnectionLost, Failure
from lovagetray._types import MissingReason, SubRequest
from lovagetray.queries.search._reasons import missing_reason
from lovagetray.state import Listing


class Kind(Enum):
    """Why a sub-request was sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class Attempt(NamedTuple):
    """A sub-request that was sent.

    Parameters
    ----------
    expected_wait
        The queue wait known of the replica when the sub-request was sent.
    """

    request: SubRequest
    kind: Kind
    sent_at: timedelta
    expected_wait: timedelta


class ShardAttempts:
    """The attempts of one query at one shard."""

    def __init__(self, shard: int) -> None:
        self._shard = shard
        self._open: dict[str, Attempt] = {}
        self._tried: set[str] = set()
        self._again: set[str] = set()
        self._failures: list[Failure] = []

    @property
    def shard(self) -> int:
        """The number of the shard."""
        return self._shard

    @property
    def open(self) -> tuple[Attempt, ...]:
        """The attempts whose outcome is waited for."""
        return tuple(self._open.values())

    def untried(self, listings: list[Listing]) -> list[Listing]:
        """Return the replicas that may get an attempt.

        Those that were not tried come first; one whose connection was lost may get
        one more, because a fresh connection can work.
        """
        tried = self._tried | {one.request.target for one in self._open.values()}
        fresh = [one for one in listings if one.announcement.target not in tried]
        if fresh or self._open:
            return fresh
        return [one for one in listings if one.announcement.target in self._again]

    def sent(self, attempt: Attempt) -> None:
        """Note an attempt."""
        target = attempt.request.target
        self._again.discard(target)
        self._open[attempt.request.request_id] = attempt

    def failed(self, attempt: Attempt, failure: Failure) -> None:
        """Note that an attempt failed."""
        self.ended(attempt)
        self._failures.append(failure)
        target = attempt.request.target
        match failure:
            case ConnectionLost() if target not in self._tried:
                self._again.add(target)
        self._tried.add(target)

    def ended(self, attempt: Attempt) -> None:
        """Note that the outcome of an attempt is no longer waited for."""
        self._open.pop(attempt.request.request_id, None)

    def reason(self) -> MissingReason:
        """Return why the shard is missing after its attempts failed."""
        return missing_reason(self._failures)

    def reason_at(self, deadline: timedelta) -> MissingReason:
        """Return why the shard is missing when the deadline ends open attempts."""
        waited_in_queues = all(
            attempt.expected_wait >= deadline - attempt.sent_at
            for attempt in self._open.values()
        )
        overloaded = waited_in_queues and not (
            self._failures and self.reason() is not MissingReason.OVERLOADED
        )
        return MissingReason.OVERLOADED if overloaded else MissingReason.TIMEOUT
