"""Failures of replicas and of connections to them."""

from typing import ClassVar

from msgspec import Struct


class NotOwner(Struct, frozen=True):
    """The instance does not own the replica."""

    code: ClassVar[str] = "not_owner"
    target: str

    def __str__(self) -> str:
        return f"this instance does not own replica {self.target!r}"


class ConnectFailed(Struct, frozen=True):
    """No connection to a replica could be established."""

    code: ClassVar[str] = "connect_failed"
    target: str

    def __str__(self) -> str:
        return f"no connection to replica {self.target!r}"


class ConnectionLost(Struct, frozen=True):
    """A connection closed or broke after a request was sent on it."""

    code: ClassVar[str] = "connection_lost"
    target: str

    def __str__(self) -> str:
        return f"the connection to replica {self.target!r} was lost"


class NoReply(Struct, frozen=True):
    """A replica sent no reply within the limit of the exchange."""

    code: ClassVar[str] = "no_reply"
    target: str

    def __str__(self) -> str:
        return f"replica {self.target!r} sent no reply in time"


class RefusedByTarget(Struct, frozen=True):
    """A replica refused a request without starting it.

    Parameters
    ----------
    target
        The name of the replica.
    reason
        The replica's own code: ``shed``, ``draining`` or ``starting``.
    """

    code: ClassVar[str] = "refused_by_target"
    target: str
    reason: str

    def __str__(self) -> str:
        return f"replica {self.target!r} refused the request: {self.reason}"


class SnapshotUnavailable(Struct, frozen=True):
    """A replica no longer has the requested snapshot."""

    code: ClassVar[str] = "snapshot_unavailable"
    target: str

    def __str__(self) -> str:
        return f"replica {self.target!r} does not have the requested snapshot"


class WrongReply(Struct, frozen=True):
    """The request, shard or snapshot in a reply differs from the requested one."""

    code: ClassVar[str] = "wrong_reply"
    target: str
    field: str

    def __str__(self) -> str:
        return f"the reply of replica {self.target!r} has the wrong {self.field}"


class TargetFailed(Struct, frozen=True):
    """A replica reported a failure after it started the request."""

    code: ClassVar[str] = "target_failed"
    target: str
    status: int

    def __str__(self) -> str:
        return f"replica {self.target!r} failed with status {self.status}"
