"""Messages between instances."""

from datetime import timedelta
from typing import Any, NamedTuple

from msgspec import Struct

from lovagetray._log_entries import (
    Entry,
    FollowerHeader,
    LeaderHeader,
    Proposal,
    Voter,
)
from lovagetray._routing_types import NoticeVersion, RepeatedNotice, ReplicaNotice
from lovagetray._types import (
    Announcement,
    ExecuteReply,
    ExecuteRequest,
    InstanceId,
    SubReply,
    SubRequest,
)
from lovagetray.state import InstanceRecord


class AgedAnnouncement(NamedTuple):
    """An announcement and the time since a target posted it."""

    announcement: Announcement
    age: timedelta


class KnownTarget(NamedTuple):
    """The newest announcement of a target that an instance holds."""

    service: str
    target: str
    incarnation: int
    sequence: int


class AgedNotice(NamedTuple):
    """A replica's notice and the time since an instance heard it."""

    notice: ReplicaNotice
    age: timedelta


class FailureFrame(NamedTuple):
    """A failure as code and fields."""

    code: str
    fields: dict[str, Any]


class OutcomeFrame(NamedTuple):
    """The outcome of one sub-request; exactly one of reply and failure is set."""

    request_id: str
    reply: SubReply | None
    failure: FailureFrame | None


class ExecutionFrame(NamedTuple):
    """The outcome of one execution; exactly one of reply and failure is set."""

    request_id: str
    reply: ExecuteReply | None
    failure: FailureFrame | None


class ReplicaClaim(NamedTuple):
    """A claim on a replica; `number` differs for each claim of one run."""

    service: str
    target: str
    number: int


class Heartbeat(Struct, frozen=True):
    """Tells a peer that this instance is alive and what it is."""

    record: InstanceRecord


class Announced(Struct, frozen=True):
    """Announcements that the receiver may not have."""

    items: tuple[AgedAnnouncement, ...]


class AnnouncementDigest(Struct, frozen=True):
    """What the sender holds; the receiver answers with what is newer or absent."""

    known: tuple[KnownTarget, ...]


class RunSubRequests(Struct, frozen=True):
    """Sub-requests for replicas that the receiver owns."""

    requests: tuple[SubRequest, ...]


class SubRequestOutcomes(Struct, frozen=True):
    """Outcomes of sub-requests that the receiver sent."""

    outcomes: tuple[OutcomeFrame, ...]


class CancelSubRequests(Struct, frozen=True):
    """Sub-requests whose outcomes are no longer wanted."""

    request_ids: tuple[str, ...]


class VoteRequest(Struct, frozen=True):
    """Asks for a vote in `term`.

    Parameters
    ----------
    pre_vote
        A pre-vote: the receiver only says whether it would vote.
    transfer
        The leader of the term before asked the candidate to take over.
    """

    term: int
    candidate: Voter
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


class VoteReply(Struct, frozen=True):
    """Answers a vote request for `ballot_term`; `term` is the sender's own."""

    term: int
    ballot_term: int
    voter: Voter
    pre_vote: bool
    granted: bool


class AppendEntries(Struct, frozen=True):
    """Entries that follow `previous_index`; without entries a heartbeat."""

    beat: LeaderHeader
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]


class AppendReply(Struct, frozen=True):
    """What the sender's synced log shares with the leader's.

    Parameters
    ----------
    index
        If accepted, the last index known to be equal; otherwise where to try next.
    """

    beat: FollowerHeader
    accepted: bool
    index: int


class SnapshotChunk(Struct, frozen=True):
    """A part of the encoded snapshot of `size` bytes up to an index."""

    beat: LeaderHeader
    index: int
    offset: int
    size: int
    data: bytes


class SnapshotReply(Struct, frozen=True):
    """How many bytes of the snapshot up to an index the sender holds."""

    beat: FollowerHeader
    index: int
    offset: int


class TakeOver(Struct, frozen=True):
    """The leader of `term` asks the receiver to become leader in the next."""

    term: int


class ForwardProposal(Struct, frozen=True):
    """A proposal for the leader."""

    proposal: Proposal


class ProposalAccepted(Struct, frozen=True):
    """The committed outcome of a forwarded proposal."""

    request_id: str
    digest: bytes
    reply: bytes


class ProposalRefused(Struct, frozen=True):
    """Why a forwarded proposal had no effect."""

    request_id: str
    digest: bytes
    failure: FailureFrame


AgreementMessage = (
    VoteRequest
    | VoteReply
    | AppendEntries
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TakeOver
    | ForwardProposal
    | ProposalAccepted
    | ProposalRefused
)


class RunExecutions(Struct, frozen=True):
    """Non-idempotent requests for replicas that the receiver owns."""

    requests: tuple[ExecuteRequest, ...]


class ExecutionOutcomes(Struct, frozen=True):
    """Outcomes of executions that the receiver sent."""

    outcomes: tuple[ExecutionFrame, ...]


class ClaimReplicas(Struct, frozen=True):
    """Asks the receiver to stop using replicas that the sender owns from now on."""

    claims: tuple[ReplicaClaim, ...]


class ReleasedReplicas(Struct, frozen=True):
    """Tells a claimer that the sender has nothing in flight and no connection open."""

    claimer: InstanceId
    claims: tuple[ReplicaClaim, ...]


class Stopped(Struct, frozen=True):
    """Tells that the sender has released all replicas and ends now."""


class ReplicaNotices(Struct, frozen=True):
    """Notices of replicas that the receiver may not have.

    Parameters
    ----------
    number
        Above 0 if the sender waits for a confirmation.
    """

    number: int
    items: tuple[AgedNotice, ...]


class ReplicasHeard(Struct, frozen=True):
    """Replicas that repeated a notice which was sent in full before."""

    notices: tuple[RepeatedNotice, ...]


class ReplicasLeft(Struct, frozen=True):
    """Replicas that said they are gone; the sender waits for a confirmation."""

    number: int
    replicas: tuple[str, ...]


class NoticesSeen(Struct, frozen=True):
    """Confirms a message of the receiver."""

    number: int


class NoticeDigest(Struct, frozen=True):
    """What the sender holds; the receiver answers with what is newer or absent."""

    runs: tuple[NoticeVersion, ...]


class KnownInstances(Struct, frozen=True):
    """Instances that the receiver may not know."""

    records: tuple[InstanceRecord, ...]


PeerMessage = (
    Heartbeat
    | Announced
    | AnnouncementDigest
    | RunSubRequests
    | SubRequestOutcomes
    | CancelSubRequests
    | AgreementMessage
    | RunExecutions
    | ExecutionOutcomes
    | ClaimReplicas
    | ReleasedReplicas
    | Stopped
    | ReplicaNotices
    | ReplicasHeard
    | ReplicasLeft
    | NoticesSeen
    | NoticeDigest
    | KnownInstances
)


class Envelope(NamedTuple):
    """A message and the instance that sent it."""

    sender: InstanceId
    message: PeerMessage
