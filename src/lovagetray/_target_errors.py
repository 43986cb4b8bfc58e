"""Failures of replicas and of connections to them."""

from typing import ClassVar

from msgspec import Struct


class NotOwner(Struct, frozen=True):
    """The refusal of an instance that does not own the replica."""

    code: ClassVar[str] = "not_owner"
    target: str

    def __str__(self) -> str:
        return f"this instance does not own replica {self.target!r}"


class ConnectFailed(Struct, frozen=True):
    """A connection to a replica that could not be established."""

    code: ClassVar[str] = "connect_failed"
    target: str

    def __str__(self) -> str:
        return f"no connection to replica {self.target!r}"


class ConnectionLost(Struct, frozen=True):
    """A connection that closed or broke after a request was sent on it."""

    code: ClassVar[str] = "connection_lost"
    target: str

    def __str__(self) -> str:
        return f"the connection to replica {self.target!r} was lost"


class NotSent(Struct, frozen=True):
    """A request that was dropped before it was sent, because its replica left."""

    code: ClassVar[str] = "not_sent"
    target: str

    def __str__(self) -> str:
        return f"the request was not sent, as replica {self.target!r} takes no more"


class ResponseTooLarge(Struct, frozen=True):
    """A response that exceeds the limits for its head, body or number of parts."""

    code: ClassVar[str] = "response_too_large"
    target: str

    def __str__(self) -> str:
        return f"replica {self.target!r} sent more than a response may have"


class ResponseNotHeld(Struct, frozen=True):
    """A response that was given up because this instance has no memory for it."""

    code: ClassVar[str] = "response_not_held"
    target: str

    def __str__(self) -> str:
        return f"no memory is free for the response of replica {self.target!r}"


class NoReply(Struct, frozen=True):
    """The lack of a reply from a replica within the time limit of the exchange."""

    code: ClassVar[str] = "no_reply"
    target: str

    def __str__(self) -> str:
        return f"replica {self.target!r} sent no reply in time"


class RefusedByTarget(Struct, frozen=True):
    """A replica's refusal of a request that it did not start.

    Parameters
    ----------
    target
        Name of the replica.
    reason
        The replica's own code: ``shed``, ``draining`` or ``starting``.
    """

    code: ClassVar[str] = "refused_by_target"
    target: str
    reason: str

    def __str__(self) -> str:
        return f"replica {self.target!r} refused the request: {self.reason}"


class SnapshotUnavailable(Struct, frozen=True):
    """A requested snapshot that the replica no longer has."""

    code: ClassVar[str] = "snapshot_unavailable"
    target: str

    def __str__(self) -> str:
        return f"replica {self.target!r} does not have the requested snapshot"


class WrongReply(Struct, frozen=True):
    """A reply with another request, shard or snapshot than the requested one."""

    code: ClassVar[str] = "wrong_reply"
    target: str
    field: str

    def __str__(self) -> str:
        return f"the reply of replica {self.target!r} has the wrong {self.field}"


class TargetFailed(Struct, frozen=True):
    """A failure that a replica reported after it started the request."""

    code: ClassVar[str] = "target_failed"
    target: str
    status: int

    def __str__(self) -> str:
        return f"replica {self.target!r} failed with status {self.status}"
