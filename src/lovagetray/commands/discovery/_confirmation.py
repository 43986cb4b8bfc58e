"""Confirmations that a departure needs before it is acknowledged."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from curio import Event


class DepartureStore(Protocol):
    """Storage of the directory on the disk of this instance."""

    async def save(self, timeout: timedelta) -> bool:
        """Return whether all changes so far are on the disk within `timeout`."""


class PendingConfirmation:
    """The confirmations of a message.

    Parameters
    ----------
    names
        Instances that are to confirm it.
    copies_wanted
        Number of disks that it should be on.
    """

    def __init__(self, names: Iterable[str], copies_wanted: int) -> None:
        self.missing = set(names)
        self.confirmed: set[str] = set()
        self.copies: set[str] = set()
        self.copies_wanted = copies_wanted
        self.done = Event()

    @property
    def complete(self) -> bool:
        """Whether all instances have confirmed and enough disks have the message."""
        return not self.missing and len(self.copies) >= self.copies_wanted

    async def add(self, name: str, stored: bool) -> None:
        """Record the confirmation of an instance."""
        self.missing.discard(name)
        self.confirmed.add(name)
        if stored:
            self.copies.add(name)
        if self.complete:
            await self.done.set()
