"""Which instances count as live for ownership, and whether this one holds a lease."""

from datetime import timedelta
from typing import Protocol

from lovagetray._clock import Clock
from lovagetray.state._members import InstanceState, Members

LEASE = timedelta(seconds=2)


class LeaseView(Protocol):
    """What ownership needs to know of the agreement."""

    def live(self) -> frozenset[str] | None:
        """Return the names on the last list of live instances, or None before it."""

    def lease_valid(self) -> bool:
        """Tell whether this instance got a list with itself on it within the lease."""


class MemberLease:
    """A lease from heartbeats alone.

    Instances can disagree on who is live, so under a one-way cut two of them can
    believe that they own a replica. The replicated log's list replaces this one.
    """

    def __init__(self, members: Members, clock: Clock) -> None:
        self._members = members
        self._clock = clock

    def live(self) -> frozenset[str] | None:
        """Return this instance and those heard lately."""
        found = self._members.live(self._clock.elapsed())
        return frozenset(record.instance.name for record in found)

    def lease_valid(self) -> bool:
        """Tell whether a majority of the known instances was heard within the lease."""
        now = self._clock.elapsed()
        known = heard = 1
        for sighting in self._members.sightings():
            if sighting.record.state is InstanceState.LEAVING:
                continue
            known += 1
            heard += now - sighting.heard_at <= LEASE
        return 2 * heard > known
