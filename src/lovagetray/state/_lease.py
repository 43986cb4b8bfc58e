"""Lease that ownership depends on, and the live list that renews it."""

from datetime import timedelta
from typing import Protocol

LEASE_DURATION = timedelta(seconds=2)


class LeaseView(Protocol):
    """The part of the agreement that ownership depends on."""

    def live(self) -> frozenset[str] | None:
        """Return the names on the last live list, or None if there was none yet."""

    def lease_valid(self) -> bool:
        """Return whether this instance was on a live list within the lease duration."""
