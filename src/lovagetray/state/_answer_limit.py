"""The time by which an instance that stops has to answer its requests."""

from datetime import timedelta
from typing import Protocol


class Waiting(Protocol):
    """A request that waits for replicas."""

    async def wake(self) -> None:
        """End the current wait, so that the limit is looked at again."""


class AnswerLimit:
    """The time by which all requests of this instance must be answered, if any.

    A request still gets a complete answer if the process ends before its replica has
    answered: a closed connection would not say whether to try again.
    """

    def __init__(self) -> None:
        self._due_at: timedelta | None = None
        self._waiting: set[Waiting] = set()

    @property
    def due_at(self) -> timedelta | None:
        """The limit on the monotonic clock; None while the instance does not stop."""
        return self._due_at

    async def begin(self, due_at: timedelta) -> None:
        """Set the limit, which also applies to the requests that wait already."""
        self._due_at = due_at
        for waiting in list(self._waiting):
            await waiting.wake()

    def add(self, waiting: Waiting) -> None:
        """Add a request, to be woken when the limit is set."""
        self._waiting.add(waiting)

    def discard(self, waiting: Waiting) -> None:
        """Remove a request that waits no longer."""
        self._waiting.discard(waiting)

    def earliest(self, cutoff_at: timedelta) -> timedelta:
        """Return the earlier of a request's own cutoff and the limit."""
        return cutoff_at if self._due_at is None else min(cutoff_at, self._due_at)

    def has_passed(self, now: timedelta) -> bool:
        """Return whether the limit has passed."""
        return self._due_at is not None and now >= self._due_at
