"""Interface of connections to targets, so that decisions do not depend on encoding."""

from datetime import timedelta
from typing import Protocol

from expression import Result
from msgspec import Struct

from lovagetray._errors import ConnectFailed, Failure
from lovagetray._types import Announcement
from lovagetray.targets._work import Reply, Work


class NoFirstByte(Struct, frozen=True):
    """A connection ended or timed out before the first byte of a reply.

    Parameters
    ----------
    failure
        The failure to report if the request is not sent again on a new connection.
    """

    failure: Failure


class TargetConnection(Protocol):
    """An open connection to a target that carries one exchange at a time."""

    @property
    def exchanges(self) -> int:
        """The number of completed exchanges."""

    @property
    def used_at(self) -> timedelta:
        """Monotonic time at which the last exchange ended."""

    @property
    def reusable(self) -> bool:
        """Whether another exchange can start on this connection."""

    @property
    def readable(self) -> bool:
        """Whether data or the end of the stream can be read.

        An idle connection is dead in this case.
        """

    async def exchange(
        self, work: Work, timeout: timedelta, first_byte_timeout: timedelta | None
    ) -> Result[Reply, Failure | NoFirstByte]:
        """Send one request and return its reply.

        Parameters
        ----------
        timeout
            Time until the last byte of the reply.
        first_byte_timeout
            Time until the first byte of the reply; None if only `timeout` counts.
        """

    async def close(self) -> None:
        """Close the connection; the target stops working on a request in flight."""


class TargetDialer(Protocol):
    """Dialer of connections to targets."""

    async def open(
        self, announcement: Announcement, timeout: timedelta
    ) -> Result[TargetConnection, ConnectFailed]:
        """Return a new connection, or `ConnectFailed` after `timeout`."""
