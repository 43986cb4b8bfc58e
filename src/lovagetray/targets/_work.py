"""What a replica is asked to do, and what became of it."""

from datetime import timedelta
from typing import Any, NamedTuple, Protocol

from expression import Result
from msgspec import Struct

from lovagetray._errors import Failure, proves_not_run
from lovagetray._types import ExecuteReply, ExecuteRequest, SubReply, SubRequest

Reply = SubReply | ExecuteReply


class Search(Struct, frozen=True):
    """A sub-request of a search; it may be tried again."""

    request: SubRequest


class Execute(Struct, frozen=True):
    """A non-idempotent request; it is sent at most once."""

    request: ExecuteRequest


Work = Search | Execute


class SubOutcome(NamedTuple):
    """What became of one sub-request."""

    request_id: str
    result: Result[SubReply, Failure]


class ExecuteOutcome(NamedTuple):
    """What became of one non-idempotent request."""

    request_id: str
    result: Result[ExecuteReply, Failure]

    @property
    def not_run(self) -> bool:
        """Whether the outcome proves that the request did not run."""
        match self.result:
            case Result(tag="error", error=failure):
                return proves_not_run(failure)
            case _:
                return False


class OutcomeQueue(Protocol):
    """Where outcomes go: a queue, or a message to the peer that asked."""

    async def put(self, outcome: SubOutcome | ExecuteOutcome, /) -> None:
        """Take one outcome."""


class Job:
    """Work for an owned replica, with its state in the pool.

    Parameters
    ----------
    deadline
        When the outcome is no longer wanted, on the monotonic clock.
    outcome_queue
        Where the outcome goes.
    """

    def __init__(
        self, work: Work, deadline: timedelta, outcome_queue: OutcomeQueue
    ) -> None:
        self.work = work
        self.deadline = deadline
        self.submitted_at = timedelta(0)
        self.started_at = timedelta(0)
        self.times_sent = 0
        self._inbox = outcome_queue
        self._settled = False

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self.work.request.request_id

    @property
    def settled(self) -> bool:
        """Whether the outcome was delivered or is no longer wanted."""
        return self._settled

    def drop(self) -> None:
        """Deliver no outcome, because the request was cancelled."""
        self._settled = True

    async def settle(self, result: Result[Any, Failure]) -> None:
        """Deliver the outcome; only the first one counts."""
        if self._settled:
            return
        self._settled = True
        match self.work:
            case Search():
                await self._inbox.put(SubOutcome(self.request_id, result))
            case Execute():
                await self._inbox.put(ExecuteOutcome(self.request_id, result))
