"""Who the relays are, as instances that are none tell each other.

The seeds of an instance may have been exchanged for instances that are no relays. These
name the relays to it, so that it finds one to subscribe to.
"""

from datetime import timedelta

from lovagetray._peer_messages import KnownInstances
from lovagetray.queries.membership import MAX_MESH_INSTANCES
from lovagetray.state import Members, Relays

# Shortest time between two referrals of the same instance, which may send heartbeats
# every 100 ms until it has found a relay.
_REFERRAL_INTERVAL = timedelta(milliseconds=300)


class Referrals:
    """Referrals to relays that this instance gives and has got."""

    def __init__(self, members: Members, relays: Relays) -> None:
        self._members = members
        self._relays = relays
        self._named: frozenset[str] = frozenset()
        self._referred_at: dict[str, timedelta] = {}

    @property
    def named(self) -> frozenset[str]:
        """The relays that another instance has named; empty if none has."""
        return self._named

    def accept(self, message: KnownInstances) -> None:
        """Store the relays in a message of an instance of a large fleet.

        An instance of a small fleet names all instances that it knows instead.
        """
        if message.records and message.total > MAX_MESH_INSTANCES:
            self._named = frozenset(record.instance.name for record in message.records)

    def next_for(self, name: str, total: int, now: timedelta) -> KnownInstances | None:
        """Return a referral for an instance that is no relay, or None.

        Parameters
        ----------
        total
            Number of instances that this one knows.

        Returns
        -------
        KnownInstances or None
            None if this instance is a relay itself, or if the other one is one or has
            got a referral within the last 300 ms.
        """
        if self._relays.is_relay or name in self._relays.names:
            return None
        self._referred_at = {
            other: at
            for other, at in self._referred_at.items()
            if now - at < _REFERRAL_INTERVAL
        }
        if name in self._referred_at:
            return None
        self._referred_at[name] = now
        records = map(self._members.record, sorted(self._relays.names))
        return KnownInstances(
            tuple(record for record in records if record is not None), total
        )
