"""Interfaces that the replicated log uses: state machine, transport and disk."""

from datetime import datetime
from typing import Protocol

from lovagetray._peer_messages import AgreementMessage


class StateMachine(Protocol):
    """State to which committed entries are applied; identical on every instance.

    Every method must be deterministic: its result depends only on its parameters and
    on earlier calls, never on a clock, a random number or the order of a set.
    """

    def apply(self, index: int, at: datetime, body: bytes) -> bytes:
        """Apply a proposal's body and return the outcome for the proposer."""

    def snapshot(self) -> bytes:
        """Return the complete encoded state."""

    def restore(self, state: bytes) -> None:
        """Replace the state with one that `snapshot` returned."""


class AgreementTransport(Protocol):
    """Transport to the other instances; may lose, delay or duplicate messages."""

    async def send(self, name: str, message: AgreementMessage) -> object:
        """Queue a message to an instance without waiting for its delivery."""


class Disk(Protocol):
    """Files in one folder; only synced content survives a crash."""

    async def read(self, file: str) -> bytes | None:
        """Return the content of a file, or None if there is none."""

    async def append(self, file: str, data: bytes) -> None:
        """Append `data` to a file."""

    async def sync(self, file: str) -> None:
        """Return once the content of a file is durable."""

    async def replace(self, file: str, data: bytes) -> None:
        """Replace a file atomically by synced content; durable after `sync_folder`."""

    async def sync_folder(self) -> None:
        """Return once the names of created and replaced files are durable."""
