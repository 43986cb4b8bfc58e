"""What the replicated log needs from its environment."""

from datetime import datetime
from typing import Protocol

from lovagetray._peer_messages import AgreementMessage


class StateMachine(Protocol):
    """The state that the log builds; the same on every instance.

    Every method must be deterministic: it depends on its parameters and on earlier
    calls only, never on a clock, a random number or the order of a set.
    """

    def apply(self, index: int, at: datetime, body: bytes) -> bytes:
        """Change the state and return the outcome for the proposer."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, state: bytes) -> None:
        """Replace the state with what `snapshot` returned."""


class PeerLink(Protocol):
    """Sends messages to other instances; they may be lost, late or doubled."""

    async def send(self, name: str, message: AgreementMessage) -> object:
        """Queue a message to an instance without waiting for it to arrive."""


class Disk(Protocol):
    """Files in one folder; only synced content survives a crash."""

    async def read(self, file: str) -> bytes | None:
        """Return the content of a file, or None if there is none."""

    async def append(self, file: str, data: bytes) -> None:
        """Add `data` to the end of a file."""

    async def sync(self, file: str) -> None:
        """Return once the content of a file is durable."""

    async def replace(self, file: str, data: bytes) -> None:
        """Replace a file at once with synced content; durable after `sync_folder`."""

    async def sync_folder(self) -> None:
        """Return once created and replaced files are durable under their names."""
