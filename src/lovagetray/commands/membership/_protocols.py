"""Interfaces that the transfer of ownership depends on."""

from typing import Protocol

from lovagetray._peer_messages import PeerMessage
from lovagetray._types import ReplicaKey


class OwnershipTransport(Protocol):
    """Transport to the other instances."""

    async def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message to a peer; return whether the peer is known."""


class ReplicaUse(Protocol):
    """The use that this instance makes of replicas."""

    def in_use(self, key: ReplicaKey) -> bool:
        """Return whether a replica has work in flight or an open connection."""

    async def release(self, key: ReplicaKey) -> None:
        """Accept no more work for a replica, finish what runs and close connections."""
