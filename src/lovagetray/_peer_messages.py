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
from lovagetray._routing_types import (
    NoticeVersion,
    RepeatedNotice,
    ReplicaNotice,
    ReplicaRun,
)
from lovagetray._types import (
    Announcement,
    ExecuteReply,
    ExecuteRequest,
    InstanceCapacity,
    InstanceId,
    SubReply,
    SubRequest,
)
from lovagetray.state import (
    CreditAnswer,
    CreditClaim,
    FedInstance,
    FedReplica,
    FeedPosition,
    InstanceRecord,
)


class AgedAnnouncement(NamedTuple):
    """An announcement and the time since the target sent it."""

    announcement: Announcement
    age: timedelta


class KnownTarget(NamedTuple):
    """Identity of the newest announcement of a target that an instance has."""

    service: str
    target: str
    incarnation: int
    sequence: int


class AgedNotice(NamedTuple):
    """A notice of a replica and the time since an instance received it."""

    notice: ReplicaNotice
    age: timedelta


class FailureFrame(NamedTuple):
    """A failure, encoded as its code and fields."""

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
    """A claim on a replica; `number` is unique within one run of the claimer."""

    service: str
    target: str
    number: int


class Heartbeat(Struct, frozen=True):
    """A sign that the sender is alive, with its current record.

    Parameters
    ----------
    capacity
        Capacity of its machine; None if it is unknown.
    confirms_quotas
        Whether the sender answers reports of use if it leads; instances of earlier
        versions do not.
    """

    record: InstanceRecord
    capacity: InstanceCapacity | None = None
    confirms_quotas: bool = False


class Announced(Struct, frozen=True):
    """Announcements that the receiver may not have."""

    items: tuple[AgedAnnouncement, ...]


class AnnouncementDigest(Struct, frozen=True):
    """The announcements that the sender has; the reply has newer and missing ones."""

    known: tuple[KnownTarget, ...]


class RunSubRequests(Struct, frozen=True):
    """Sub-requests for replicas that the receiver owns."""

    requests: tuple[SubRequest, ...]


class SubRequestOutcomes(Struct, frozen=True):
    """Outcomes of sub-requests that the receiver sent."""

    outcomes: tuple[OutcomeFrame, ...]


class CancelSubRequests(Struct, frozen=True):
    """Cancellation of sub-requests whose outcomes are no longer needed."""

    request_ids: tuple[str, ...]


class VoteRequest(Struct, frozen=True):
    """A request for a vote in `term`.

    Parameters
    ----------
    pre_vote
        Whether this is a pre-vote: the receiver only replies whether it would grant its
        vote.
    transfer
        Whether the leader of the previous term asked the candidate to take over.
    """

    term: int
    candidate: Voter
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


class VoteReply(Struct, frozen=True):
    """A reply to a vote request for `ballot_term`; `term` is that of the sender.

    Parameters
    ----------
    live
        Names on the newest live list that the sender received.
    """

    term: int
    ballot_term: int
    voter: Voter
    pre_vote: bool
    granted: bool
    live: tuple[str, ...] = ()


class AppendEntries(Struct, frozen=True):
    """Log entries that follow `previous_index`; a heartbeat if there are none.

    Parameters
    ----------
    compressed
        The entries in compressed form in place of `entries`, for a peer that has said
        that it accepts this; empty otherwise.
    """

    beat: LeaderHeader
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    compressed: bytes = b""


class AppendReply(Struct, frozen=True):
    """A report on how far the sender's synced log matches that of the leader.

    Parameters
    ----------
    index
        If accepted, the last index that is known to match; otherwise the last one that
        may match, after which the leader tries next.
    accepts_compressed
        Whether the sender accepts compressed entries and snapshots; instances of
        earlier versions do not.
    """

    beat: FollowerHeader
    accepted: bool
    index: int
    accepts_compressed: bool = False


class SnapshotChunk(Struct, frozen=True):
    """A part of the encoded snapshot up to `index`, which has `size` bytes in total.

    Parameters
    ----------
    compressed
        Whether the parts together are the compressed form of the snapshot.
    """

    beat: LeaderHeader
    index: int
    offset: int
    size: int
    data: bytes
    compressed: bool = False


class SnapshotReply(Struct, frozen=True):
    """A report that the sender has `offset` bytes of the snapshot up to `index`."""

    beat: FollowerHeader
    index: int
    offset: int


class TakeOver(Struct, frozen=True):
    """A request of the leader of `term` that the receiver become the next leader."""

    term: int


class ForwardProposal(Struct, frozen=True):
    """A proposal that is forwarded to the leader."""

    proposal: Proposal


class ProposalAccepted(Struct, frozen=True):
    """The committed outcome of a forwarded proposal."""

    request_id: str
    digest: bytes
    reply: bytes


class ProposalRefused(Struct, frozen=True):
    """The leader's refusal of a forwarded proposal."""

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
    """A request to stop using replicas that the sender owns from now on."""

    claims: tuple[ReplicaClaim, ...]


class ReleasedReplicas(Struct, frozen=True):
    """Confirmation that the sender no longer uses the replicas of the claims.

    It has no request in flight at them and no connection to them open.
    """

    claimer: InstanceId
    claims: tuple[ReplicaClaim, ...]


class Stopped(Struct, frozen=True):
    """A report that the sender has released all replicas and exits now."""


class ReplicaNotices(Struct, frozen=True):
    """Notices of replicas that the receiver may not have.

    Parameters
    ----------
    number
        Above 0 if the sender expects a confirmation.
    """

    number: int
    items: tuple[AgedNotice, ...]


class ReplicasHeard(Struct, frozen=True):
    """Repetitions of notices that were sent in full before."""

    notices: tuple[RepeatedNotice, ...]


class ReplicasLeft(Struct, frozen=True):
    """Replicas that deregistered; the sender expects a confirmation."""

    number: int
    replicas: tuple[str, ...]


class ReplicasLeaving(Struct, frozen=True):
    """Runs of replicas that stated in a response that they are leaving."""

    runs: tuple[ReplicaRun, ...]


class NoticesSeen(Struct, frozen=True):
    """Confirmation of the message of the receiver that has this number.

    Parameters
    ----------
    stored
        Whether the notices are on the disk of the sender, too; a sender with a disk
        confirms twice.
    """

    number: int
    stored: bool = False


class DirectoryChecksum(Struct, frozen=True):
    """Checksum of the sender's directory; the reply is a digest if they differ."""

    checksum: int


class NoticeDigest(Struct, frozen=True):
    """The notices that the sender has; the reply has newer and missing ones."""

    runs: tuple[NoticeVersion, ...]


class Subscribe(Struct, frozen=True):
    """A request for the changes of the directory, sent to a relay at short intervals.

    Parameters
    ----------
    record
        Record of the subscriber.
    position
        Newest version of the relay's feed that the subscriber has.
    capacity
        Capacity of the subscriber's machine; None if it is unknown.
    """

    record: InstanceRecord
    position: FeedPosition
    capacity: InstanceCapacity | None = None


class FeedUpdate(Struct, frozen=True):
    """Changes of the directory after a version of the feed.

    Parameters
    ----------
    after
        Version after which the entries changed; 0 if these are all entries.
    confirmed_age
        Time since a majority last confirmed the relay; None if it never did.
    """

    after: int
    position: FeedPosition
    instances: tuple[FedInstance, ...]
    replicas: tuple[FedReplica, ...]
    confirmed_age: timedelta | None


class SubscribersHeard(Struct, frozen=True):
    """The live subscribers of a relay, for the other relays.

    Parameters
    ----------
    names
        Names of all live subscribers.
    records
        Records of those that changed, and at times of all.
    lost
        Names of former subscribers that have just fallen silent.
    capacities
        Capacities, by name, of those whose records are sent.
    """

    names: tuple[str, ...]
    records: tuple[InstanceRecord, ...]
    lost: tuple[str, ...] = ()
    capacities: dict[str, InstanceCapacity] = {}


class KnownInstances(Struct, frozen=True):
    """Records of instances that the receiver may not have.

    Parameters
    ----------
    total
        Number of instances that the sender knows. It sends no records if they are too
        many for all of them to exchange messages.
    """

    records: tuple[InstanceRecord, ...]
    total: int = 0


class QuotaReport(Struct, frozen=True):
    """The use of limited workspaces at an instance, for the leader.

    Parameters
    ----------
    origin
        The instance that reports.
    number
        Increases with each report of one run of the instance.
    sharers
        Number of instances that share the debt limits; 0 if the origin gets none.
    relayed
        Whether another instance has passed on the report.
    """

    origin: InstanceId
    number: int
    sharers: int
    claims: tuple[CreditClaim, ...]
    relayed: bool = False


class QuotaConfirmation(Struct, frozen=True):
    """The leader's answer to the report of `origin` that has this number."""

    origin: InstanceId
    number: int
    answers: tuple[CreditAnswer, ...]


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
    | ReplicasLeaving
    | NoticesSeen
    | DirectoryChecksum
    | NoticeDigest
    | Subscribe
    | FeedUpdate
    | SubscribersHeard
    | KnownInstances
    | QuotaReport
    | QuotaConfirmation
)


class Envelope(NamedTuple):
    """A message and the instance that sent it."""

    sender: InstanceId
    message: PeerMessage
