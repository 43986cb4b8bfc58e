"""Which instances count as live for ownership, and whether this one holds a lease."""

from datetime import timedelta
from typing import Protocol

LEASE_DURATION = timedelta(seconds=2)


class LeaseView(Protocol):
    """What ownership needs to know of the agreement."""

    def live(self) -> frozenset[str] | None:
        """Return the names on the last list of live instances, or None before it."""

    def lease_valid(self) -> bool:
        """Tell whether this instance got a list with itself on it within the lease."""
