"""What ownership needs of the rest of an instance, as interfaces."""

from typing import Protocol

from lovagetray._peer_messages import PeerMessage
from lovagetray._types import ReplicaKey


class PeerSender(Protocol):
    """Sends messages to other instances."""

    async def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message to a peer; return whether the peer is known."""


class ReplicaUse(Protocol):
    """What this instance does with replicas."""

    def in_use(self, key: ReplicaKey) -> bool:
        """Tell whether work is in flight at a replica or a connection to it open."""

    async def release(self, key: ReplicaKey) -> None:
        """Take no new work for a replica, finish what runs and close connections."""
