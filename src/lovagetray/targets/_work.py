"""Requests to replicas and their outcomes."""

from datetime import timedelta
from typing import Any, NamedTuple, Protocol

from expression import Result
from msgspec import Struct

from lovagetray._errors import Failure, proves_not_run
from lovagetray._types import ExecuteReply, ExecuteRequest, SubReply, SubRequest

Reply = SubReply | ExecuteReply


class Search(Struct, frozen=True):
    """A sub-request of a search; it may be sent again after a failure."""

    request: SubRequest


class Execute(Struct, frozen=True):
    """A non-idempotent request; it is sent at most once."""

    request: ExecuteRequest


Work = Search | Execute


class SubOutcome(NamedTuple):
    """The outcome of one sub-request."""

    request_id: str
    result: Result[SubReply, Failure]


class ExecuteOutcome(NamedTuple):
    """The outcome of one non-idempotent request."""

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
    """Receiver of outcomes: a local queue, or a sender of messages to the peer."""

    async def put(self, outcome: SubOutcome | ExecuteOutcome, /) -> None:
        """Add one outcome."""


class Job:
    """A request to an owned replica and its state in the pool.

    Parameters
    ----------
    work
        The request.
    deadline
        Monotonic time after which the outcome is no longer needed.
    outcome_queue
        Receives the outcome.
    """

    def __init__(
        self, work: Work, deadline: timedelta, outcome_queue: OutcomeQueue
    ) -> None:
        self.work = work
        self.deadline = deadline
        self.submitted_at = timedelta(0)
        self.started_at = timedelta(0)
        self.times_sent = 0
        self._outcome_queue = outcome_queue
        self._settled = False

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self.work.request.request_id

    @property
    def settled(self) -> bool:
        """Whether the outcome was delivered or the job was cancelled."""
        return self._settled

    def drop(self) -> None:
        """Suppress the outcome, because the request was cancelled."""
        self._settled = True

    async def settle(self, result: Result[Any, Failure]) -> None:
        """Deliver the outcome; later outcomes of the same job are ignored."""
        if self._settled:
            return
        self._settled = True
        match self.work:
            case Search():
                await self._outcome_queue.put(SubOutcome(self.request_id, result))
            case Execute():
                await self._outcome_queue.put(ExecuteOutcome(self.request_id, result))
