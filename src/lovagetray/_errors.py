"""All failures that lovagetray reports, as data classes with stable error codes."""

from datetime import timedelta
from typing import ClassVar

from msgspec import Struct

from lovagetray._agreement_errors import (
    LogCorrupted,
    MembershipChangeRefused,
    NoLeader,
    NotLeader,
    ProposalTimeRefused,
    ProposalUnconfirmed,
    QuorumLost,
    RequestIdConflict,
)
from lovagetray._effect_errors import (
    KeyConflict,
    KeyExpired,
    LedgerUnavailable,
    OutcomeUnknown,
)
from lovagetray._settings_errors import (
    InvalidSettings,
    RefusedSettings,
    RequestIdReused,
    RevisionAhead,
    RevisionConflict,
    Unauthorized,
    UnknownRevision,
    UnreadableOutcome,
)
from lovagetray._target_errors import (
    ConnectFailed,
    ConnectionLost,
    NoReply,
    NotOwner,
    RefusedByTarget,
    SnapshotUnavailable,
    TargetFailed,
    WrongReply,
)


class TimedOut(Struct, frozen=True):
    """Work did not end within its time limit."""

    code: ClassVar[str] = "timed_out"
    limit: timedelta

    def __str__(self) -> str:
        return f"no result within {self.limit.total_seconds() * 1000:.0f} ms"


class MalformedRequest(Struct, frozen=True):
    """A request could not be decoded."""

    code: ClassVar[str] = "malformed_request"
    reason: str

    def __str__(self) -> str:
        return f"the request is malformed: {self.reason}"


class RequestTooLarge(Struct, frozen=True):
    """A request exceeded a size limit, in bytes."""

    code: ClassVar[str] = "request_too_large"
    limit: int

    def __str__(self) -> str:
        return f"the request is larger than {self.limit} bytes"


class HeadTooLarge(Struct, frozen=True):
    """The head of a request exceeded a size limit, in bytes."""

    code: ClassVar[str] = "head_too_large"
    limit: int

    def __str__(self) -> str:
        return f"the head of the request is larger than {self.limit} bytes"


class RequestTooSlow(Struct, frozen=True):
    """A request did not arrive completely within its time limit."""

    code: ClassVar[str] = "request_too_slow"
    limit: timedelta

    def __str__(self) -> str:
        return f"the request took longer than {self.limit.total_seconds():g} s to send"


class UnknownRoute(Struct, frozen=True):
    """No handler exists for a method and path."""

    code: ClassVar[str] = "unknown_route"
    method: str
    path: str

    def __str__(self) -> str:
        return f"no handler for {self.method} {self.path}"


class UnknownService(Struct, frozen=True):
    """No target has announced the service."""

    code: ClassVar[str] = "unknown_service"
    service: str

    def __str__(self) -> str:
        return f"no target has announced service {self.service!r}"


class DeadlinePassed(Struct, frozen=True):
    """The request's deadline had passed before any work started."""

    code: ClassVar[str] = "deadline_passed"

    def __str__(self) -> str:
        return "the deadline passed before the request was started"


class Overloaded(Struct, frozen=True):
    """The request was refused because it could not finish before its deadline."""

    code: ClassVar[str] = "overloaded"
    expected_wait: timedelta

    def __str__(self) -> str:
        wait = self.expected_wait.total_seconds() * 1000
        return f"the expected wait of {wait:.0f} ms is longer than the time left"


class Incomplete(Struct, frozen=True):
    """The caller asked for a complete answer and some shards are missing."""

    code: ClassVar[str] = "incomplete"
    missing: tuple[int, ...]
    shards: int

    def __str__(self) -> str:
        return f"{len(self.missing)} of {self.shards} shards are missing"


class Stopping(Struct, frozen=True):
    """The instance is stopping and takes no new work of this kind."""

    code: ClassVar[str] = "stopping"

    def __str__(self) -> str:
        return "the instance is stopping"


class PeerUnreachable(Struct, frozen=True):
    """No connection to another instance exists, so nothing was sent to it."""

    code: ClassVar[str] = "peer_unreachable"
    instance: str

    def __str__(self) -> str:
        return f"instance {self.instance!r} cannot be reached"


class PeerLost(Struct, frozen=True):
    """Another instance stopped answering after a request was sent to it."""

    code: ClassVar[str] = "peer_lost"
    instance: str

    def __str__(self) -> str:
        return f"instance {self.instance!r} stopped answering"


class BadAnnouncement(Struct, frozen=True):
    """An announcement contradicts itself or what other targets announced."""

    code: ClassVar[str] = "bad_announcement"
    field: str
    expected: str

    def __str__(self) -> str:
        return f"{self.field} of the announcement must be {self.expected}"


class StaleAnnouncement(Struct, frozen=True):
    """A newer announcement of the same target was accepted before."""

    code: ClassVar[str] = "stale_announcement"
    target: str

    def __str__(self) -> str:
        return f"a newer announcement of target {self.target!r} was accepted before"


Failure = (
    TimedOut
    | MalformedRequest
    | RequestTooLarge
    | HeadTooLarge
    | RequestTooSlow
    | UnknownRoute
    | UnknownService
    | DeadlinePassed
    | Overloaded
    | Incomplete
    | Stopping
    | NotOwner
    | ConnectFailed
    | ConnectionLost
    | NoReply
    | RefusedByTarget
    | SnapshotUnavailable
    | WrongReply
    | TargetFailed
    | PeerUnreachable
    | PeerLost
    | BadAnnouncement
    | StaleAnnouncement
    | KeyConflict
    | KeyExpired
    | LedgerUnavailable
    | OutcomeUnknown
    | InvalidSettings
    | RefusedSettings
    | RevisionConflict
    | RevisionAhead
    | UnknownRevision
    | RequestIdReused
    | UnreadableOutcome
    | Unauthorized
    | LogCorrupted
    | NoLeader
    | NotLeader
    | QuorumLost
    | ProposalUnconfirmed
    | RequestIdConflict
    | ProposalTimeRefused
    | MembershipChangeRefused
)


def proves_not_run(failure: object) -> bool:
    """Return whether a failure proves that the request did not run.

    This holds only for refusals before any byte of the request reached a replica and
    for refusals by the replica itself. After any other failure it may have run.
    """
    match failure:
        case (
            MalformedRequest()
            | RequestTooLarge()
            | RequestTooSlow()
            | UnknownRoute()
            | UnknownService()
            | DeadlinePassed()
            | Overloaded()
            | Stopping()
            | NotOwner()
            | ConnectFailed()
            | RefusedByTarget()
            | SnapshotUnavailable()
            | PeerUnreachable()
            | BadAnnouncement()
            | StaleAnnouncement()
            | KeyConflict()
            | KeyExpired()
            | LedgerUnavailable()
            | RefusedSettings()
            | RevisionConflict()
            | RevisionAhead()
            | UnknownRevision()
            | RequestIdReused()
            | Unauthorized()
            | NoLeader()
            | NotLeader()
            | QuorumLost()
            | RequestIdConflict()
            | MembershipChangeRefused()
        ):
            return True
        case _:
            return False
