"""Every failure that lovagetray reports, as a data class with a stable code."""

from dataclasses import dataclass
from datetime import timedelta
from typing import ClassVar

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


@dataclass(frozen=True, slots=True)
class TimedOut:
    """Work did not end within its time limit."""

    code: ClassVar[str] = "timed_out"
    limit: timedelta

    def __str__(self) -> str:
        return f"no result within {self.limit.total_seconds() * 1000:.0f} ms"


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """A request could not be decoded."""

    code: ClassVar[str] = "malformed_request"
    reason: str

    def __str__(self) -> str:
        return f"the request is malformed: {self.reason}"


@dataclass(frozen=True, slots=True)
class RequestTooLarge:
    """A request exceeded a size limit, in bytes."""

    code: ClassVar[str] = "request_too_large"
    limit: int

    def __str__(self) -> str:
        return f"the request is larger than {self.limit} bytes"


@dataclass(frozen=True, slots=True)
class RequestTooSlow:
    """A request did not arrive completely within its time limit."""

    code: ClassVar[str] = "request_too_slow"
    limit: timedelta

    def __str__(self) -> str:
        return f"the request took longer than {self.limit.total_seconds():g} s to send"


@dataclass(frozen=True, slots=True)
class UnknownRoute:
    """No handler exists for a method and path."""

    code: ClassVar[str] = "unknown_route"
    method: str
    path: str

    def __str__(self) -> str:
        return f"there is no {self.method} {self.path}"


@dataclass(frozen=True, slots=True)
class UnknownService:
    """No target has announced the service."""

    code: ClassVar[str] = "unknown_service"
    service: str

    def __str__(self) -> str:
        return f"no target has announced service {self.service!r}"


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline had passed before any work started."""

    code: ClassVar[str] = "deadline_passed"

    def __str__(self) -> str:
        return "the deadline passed before the request was started"


@dataclass(frozen=True, slots=True)
class Overloaded:
    """The request was refused because it could not finish in time."""

    code: ClassVar[str] = "overloaded"
    expected_wait: timedelta

    def __str__(self) -> str:
        wait = self.expected_wait.total_seconds() * 1000
        return f"the expected wait of {wait:.0f} ms is longer than the time left"


@dataclass(frozen=True, slots=True)
class Incomplete:
    """The caller asked for a complete answer and some shards are missing."""

    code: ClassVar[str] = "incomplete"
    missing: tuple[int, ...]
    shards: int

    def __str__(self) -> str:
        return f"{len(self.missing)} of {self.shards} shards are missing"


@dataclass(frozen=True, slots=True)
class Stopping:
    """The instance is stopping and takes no new work of this kind."""

    code: ClassVar[str] = "stopping"

    def __str__(self) -> str:
        return "the instance is stopping"


@dataclass(frozen=True, slots=True)
class NotOwner:
    """The instance does not own the replica."""

    code: ClassVar[str] = "not_owner"
    target: str

    def __str__(self) -> str:
        return f"this instance does not own replica {self.target!r}"


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection to a replica could be established."""

    code: ClassVar[str] = "connect_failed"
    target: str

    def __str__(self) -> str:
        return f"no connection to replica {self.target!r}"


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """A connection closed or broke after a request was sent on it."""

    code: ClassVar[str] = "connection_lost"
    target: str

    def __str__(self) -> str:
        return f"the connection to replica {self.target!r} was lost"


@dataclass(frozen=True, slots=True)
class NoReply:
    """A replica sent no reply within the limit of the exchange."""

    code: ClassVar[str] = "no_reply"
    target: str

    def __str__(self) -> str:
        return f"replica {self.target!r} sent no reply in time"


@dataclass(frozen=True, slots=True)
class RefusedByTarget:
    """A replica refused a request before it started it.

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


@dataclass(frozen=True, slots=True)
class SnapshotUnavailable:
    """A replica no longer holds the snapshot asked for."""

    code: ClassVar[str] = "snapshot_unavailable"
    target: str

    def __str__(self) -> str:
        return f"replica {self.target!r} does not hold the snapshot"


@dataclass(frozen=True, slots=True)
class WrongReply:
    """A reply named another request, shard or snapshot than the one asked for."""

    code: ClassVar[str] = "wrong_reply"
    target: str
    field: str

    def __str__(self) -> str:
        return f"the reply of replica {self.target!r} has another {self.field}"


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """A replica reported a failure after it started the request."""

    code: ClassVar[str] = "target_failed"
    target: str
    status: int

    def __str__(self) -> str:
        return f"replica {self.target!r} failed with status {self.status}"


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """No connection to another instance exists, so nothing was sent to it."""

    code: ClassVar[str] = "peer_unreachable"
    instance: str

    def __str__(self) -> str:
        return f"instance {self.instance!r} cannot be reached"


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Another instance stopped answering after a request was sent to it."""

    code: ClassVar[str] = "peer_lost"
    instance: str

    def __str__(self) -> str:
        return f"instance {self.instance!r} stopped answering"


@dataclass(frozen=True, slots=True)
class BadAnnouncement:
    """An announcement contradicts itself or what other targets announced."""

    code: ClassVar[str] = "bad_announcement"
    field: str
    expected: str

    def __str__(self) -> str:
        return f"{self.field} of the announcement must be {self.expected}"


@dataclass(frozen=True, slots=True)
class StaleAnnouncement:
    """A newer announcement of the same target was accepted before."""

    code: ClassVar[str] = "stale_announcement"
    target: str

    def __str__(self) -> str:
        return f"a newer announcement of target {self.target!r} is known"


@dataclass(frozen=True, slots=True)
class KeyConflict:
    """An idempotency key was used before with other contents or another issue time."""

    code: ClassVar[str] = "key_conflict"
    key: str

    def __str__(self) -> str:
        return f"idempotency key {self.key!r} belongs to another request"


@dataclass(frozen=True, slots=True)
class KeyExpired:
    """The issue time of a non-idempotent request is outside of what is kept."""

    code: ClassVar[str] = "key_expired"
    key: str

    def __str__(self) -> str:
        return f"the issue time of {self.key!r} is too old or lies in the future"


@dataclass(frozen=True, slots=True)
class LedgerUnavailable:
    """A non-idempotent request could not be recorded, so it was not sent anywhere."""

    code: ClassVar[str] = "ledger_unavailable"
    key: str

    def __str__(self) -> str:
        return f"request {self.key!r} could not be recorded and was not run"


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A non-idempotent request may have been started; its outcome is not known."""

    code: ClassVar[str] = "outcome_unknown"
    key: str

    def __str__(self) -> str:
        return f"request {self.key!r} may have been started, outcome unknown"


@dataclass(frozen=True, slots=True)
class LogCorrupted:
    """A file of the replicated log is damaged other than by a crash at its end.

    Parameters
    ----------
    file
        The name of the file in the data folder.
    position
        The offset of the damaged record, in bytes.
    """

    code: ClassVar[str] = "log_corrupted"
    file: str
    position: int

    def __str__(self) -> str:
        return f"file {self.file!r} of the log is corrupt at byte {self.position}"


@dataclass(frozen=True, slots=True)
class NoLeader:
    """No leader with a majority of voters took the proposal; it was not appended."""

    code: ClassVar[str] = "no_leader"

    def __str__(self) -> str:
        return "no instance leads a majority of voters; the change was not accepted"


@dataclass(frozen=True, slots=True)
class NotLeader:
    """The instance does not lead, so it appended nothing.

    Parameters
    ----------
    leader
        The instance that leads as far as this one knows, or empty.
    """

    code: ClassVar[str] = "not_leader"
    leader: str

    def __str__(self) -> str:
        if not self.leader:
            return "this instance does not lead and knows no leader"
        return f"this instance does not lead; {self.leader!r} does"


@dataclass(frozen=True, slots=True)
class QuorumLost:
    """The leader has not heard from a majority of voters for a lease."""

    code: ClassVar[str] = "quorum_lost"

    def __str__(self) -> str:
        return "the leader has lost contact with a majority of voters"


@dataclass(frozen=True, slots=True)
class ProposalUnconfirmed:
    """A proposal was sent or appended, and its outcome is not known yet."""

    code: ClassVar[str] = "proposal_unconfirmed"
    request_id: str

    def __str__(self) -> str:
        return f"the outcome of change {self.request_id!r} is not known yet"


@dataclass(frozen=True, slots=True)
class RequestIdConflict:
    """The request id was used before with another body; this one has no effect."""

    code: ClassVar[str] = "request_id_conflict"
    request_id: str

    def __str__(self) -> str:
        return f"request id {self.request_id!r} was used with another body"


@dataclass(frozen=True, slots=True)
class ProposalTimeRefused:
    """The proposal's time is older than the retention of outcomes, or in the future.

    An earlier proposal with the same id may have had an outcome that is forgotten now.
    """

    code: ClassVar[str] = "proposal_time_refused"
    request_id: str

    def __str__(self) -> str:
        return f"the time of change {self.request_id!r} is too old or in the future"


@dataclass(frozen=True, slots=True)
class MembershipChangeRefused:
    """A voter cannot be added or removed now."""

    code: ClassVar[str] = "membership_change_refused"
    instance: str
    reason: str

    def __str__(self) -> str:
        return f"the voters cannot change by {self.instance!r}: {self.reason}"


Failure = (
    TimedOut
    | MalformedRequest
    | RequestTooLarge
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
    """Tell whether a failure proves that the request was never started.

    Only refusals before any byte of the request reached a replica, and a replica's
    own refusal, are proof. Everything else may have run.
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
