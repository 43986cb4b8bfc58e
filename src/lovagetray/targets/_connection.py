"""The connection to a target as an interface, so that decisions stay off the wire."""

from datetime import timedelta
from typing import Protocol

from expression import Result
from msgspec import Struct

from lovagetray._errors import ConnectFailed, Failure
from lovagetray._types import Announcement
from lovagetray.targets._work import Reply, Work


class NoFirstByte(Struct, frozen=True):
    """A connection ended or passed its limit before the first byte of a reply.

    Parameters
    ----------
    failure
        What it means if it is not the connection's fault alone.
    """

    failure: Failure


class TargetConnection(Protocol):
    """An open connection to a target that carries one exchange at a time."""

    @property
    def exchanges(self) -> int:
        """The exchanges completed so far."""

    @property
    def used_at(self) -> timedelta:
        """When the last exchange ended, on the monotonic clock."""

    @property
    def reusable(self) -> bool:
        """Whether another exchange can start on this connection."""

    @property
    def readable(self) -> bool:
        """Whether bytes or the end of the stream wait; an idle one is dead then."""

    async def exchange(
        self, work: Work, limit: timedelta, first_byte: timedelta | None
    ) -> Result[Reply, Failure | NoFirstByte]:
        """Send one request and return its reply within `limit`."""

    async def close(self) -> None:
        """Close the connection; the target stops work on a running request."""


class TargetDialer(Protocol):
    """Opens connections to targets."""

    async def open(
        self, announcement: Announcement, limit: timedelta
    ) -> Result[TargetConnection, ConnectFailed]:
        """Return a new connection, or a failure after `limit`."""
