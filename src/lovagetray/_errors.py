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
    """Work that did not end within its time limit."""

    code: ClassVar[str] = "timed_out"
    limit: timedelta

    def __str__(self) -> str:
        return f"no result within {self.limit.total_seconds() * 1000:.0f} ms"


class MalformedRequest(Struct, frozen=True):
    """A request that could not be decoded."""

    code: ClassVar[str] = "malformed_request"
    reason: str

    def __str__(self) -> str:
        return f"the request is malformed: {self.reason}"


class RequestTooLarge(Struct, frozen=True):
    """A request that exceeded a size limit, in bytes."""

    code: ClassVar[str] = "request_too_large"
    limit: int

    def __str__(self) -> str:
        return f"the request is larger than {self.limit} bytes"


class HeadTooLarge(Struct, frozen=True):
    """A request head that exceeded a size limit, in bytes."""

    code: ClassVar[str] = "head_too_large"
    limit: int

    def __str__(self) -> str:
        return f"the head of the request is larger than {self.limit} bytes"


class RequestTooSlow(Struct, frozen=True):
    """A request that did not arrive completely within its time limit."""

    code: ClassVar[str] = "request_too_slow"
    limit: timedelta

    def __str__(self) -> str:
        return f"the request took longer than {self.limit.total_seconds():g} s to send"


class MemoryExhausted(Struct, frozen=True):
    """A request that was not read because the memory for requests is taken.

    Parameters
    ----------
    retry_after
        Time after which a retry is useful.
    """

    code: ClassVar[str] = "memory_exhausted"
    retry_after: timedelta = timedelta(seconds=1)

    def __str__(self) -> str:
        return "the request was not run: too much is held for other callers"


class UnknownRoute(Struct, frozen=True):
    """A method and path without a handler."""

    code: ClassVar[str] = "unknown_route"
    method: str
    path: str

    def __str__(self) -> str:
        return f"no handler for {self.method} {self.path}"


class UnknownService(Struct, frozen=True):
    """A service that no target has announced."""

    code: ClassVar[str] = "unknown_service"
    service: str

    def __str__(self) -> str:
        return f"no target has announced service {self.service!r}"


class DeadlinePassed(Struct, frozen=True):
    """A request whose deadline had passed before any work started."""

    code: ClassVar[str] = "deadline_passed"

    def __str__(self) -> str:
        return "the deadline passed before the request was started"


class Overloaded(Struct, frozen=True):
    """The refusal of a request that could not finish before its deadline."""

    code: ClassVar[str] = "overloaded"
    expected_wait: timedelta

    def __str__(self) -> str:
        wait = self.expected_wait.total_seconds() * 1000
        return f"the expected wait of {wait:.0f} ms is longer than the time left"


class Incomplete(Struct, frozen=True):
    """An answer with shards missing to a caller that asked for a complete one."""

    code: ClassVar[str] = "incomplete"
    missing: tuple[int, ...]
    shards: int

    def __str__(self) -> str:
        return f"{len(self.missing)} of {self.shards} shards are missing"


class Stopping(Struct, frozen=True):
    """The refusal of new work of one kind by an instance that is stopping."""

    code: ClassVar[str] = "stopping"

    def __str__(self) -> str:
        return "the instance is stopping"


class PeerUnreachable(Struct, frozen=True):
    """The lack of a connection to another instance; nothing was sent to it."""

    code: ClassVar[str] = "peer_unreachable"
    instance: str

    def __str__(self) -> str:
        return f"instance {self.instance!r} cannot be reached"


class PeerLost(Struct, frozen=True):
    """Another instance that stopped answering after a request was sent to it."""

    code: ClassVar[str] = "peer_lost"
    instance: str

    def __str__(self) -> str:
        return f"instance {self.instance!r} stopped answering"


class BadAnnouncement(Struct, frozen=True):
    """An announcement that contradicts itself or those of other targets."""

    code: ClassVar[str] = "bad_announcement"
    field: str
    expected: str

    def __str__(self) -> str:
        return f"{self.field} of the announcement must be {self.expected}"


class StaleAnnouncement(Struct, frozen=True):
    """An announcement that is older than the accepted one of the same target."""

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
