"""Records of the replicated log, shared by commands, queries and the wire."""

from collections.abc import Collection
from datetime import datetime, timedelta
from enum import Enum
from hashlib import blake2b
from typing import NamedTuple

from msgspec import Struct


class Voter(NamedTuple):
    """An instance with the identity of its disk.

    Parameters
    ----------
    incarnation
        Random identity, written at the first start on an empty disk. After the loss of
        a disk the instance gets another one, so votes and synced entries of the old
        disk are never counted again.
    """

    name: str
    incarnation: str


class VoterSet(NamedTuple):
    """The voters of the replicated log.

    Parameters
    ----------
    rejoining
        Names of voters whose disk was lost and which become voters again once their
        new disk has the log.
    """

    voters: tuple[Voter, ...] = ()
    rejoining: tuple[str, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the voters."""
        return tuple(voter.name for voter in self.voters)

    def is_quorum(self, supporters: Collection[Voter]) -> bool:
        """Return whether `supporters` include more than half of the voters."""
        return 2 * sum(voter in supporters for voter in self.voters) > len(self.voters)

    def without(self, voter: Voter, rejoining: bool) -> "VoterSet":
        """Return the set without a voter.

        Parameters
        ----------
        rejoining
            Whether the name of the voter is listed in the field `rejoining`.
        """
        remaining = tuple(other for other in self.voters if other != voter)
        names = tuple(name for name in self.rejoining if name != voter.name)
        return VoterSet(remaining, (*names, voter.name) if rejoining else names)

    def including(self, voter: Voter) -> "VoterSet":
        """Return the set with one more voter."""
        names = tuple(name for name in self.rejoining if name != voter.name)
        return VoterSet((*self.voters, voter), names)


class Proposal(NamedTuple):
    """A proposed change of the replicated state.

    Parameters
    ----------
    request_id
        Identifies the change; a resend with the same id gets the first outcome.
    at
        When the caller issued the change, in UTC; the same for every resend.
    fingerprint
        Text that a resend must repeat; empty if it must repeat the whole body.
    """

    request_id: str
    at: datetime
    body: bytes
    fingerprint: str = ""

    @property
    def digest(self) -> bytes:
        """Hash that distinguishes a resend from another change with the same id."""
        repeated = self.fingerprint.encode() or self.body
        return blake2b(repeated, digest_size=16).digest()


class EntryKind(Enum):
    """Kind of content of a log entry."""

    TERM_START = "term_start"
    VOTERS = "voters"
    PROPOSAL = "proposal"


class Entry(NamedTuple):
    """One entry of the replicated log, as it is stored and sent."""

    log_index: int
    term: int
    kind: EntryKind
    proposal: Proposal | None = None
    voters: VoterSet | None = None

    @property
    def command(self) -> "Command":
        """Command that every instance executes when it applies the entry."""
        if self.kind is EntryKind.VOTERS and self.voters is not None:
            return SetVoters(self.voters)
        if self.kind is EntryKind.PROPOSAL and self.proposal is not None:
            return ApplyProposal(self.proposal)
        return StartTerm()

    @property
    def size(self) -> int:
        """Approximate encoded size in bytes."""
        proposal = self.proposal
        body = 0 if proposal is None else len(proposal.body) + len(proposal.request_id)
        return 64 + body


class StartTerm(Struct, frozen=True):
    """First entry of a new leader; its commit also commits older entries."""


class SetVoters(Struct, frozen=True):
    """Complete voter set, in force from this entry on."""

    voters: VoterSet


class ApplyProposal(Struct, frozen=True):
    """A proposal for the state machine."""

    proposal: Proposal


Command = StartTerm | SetVoters | ApplyProposal


class ProcessTimestamp(NamedTuple):
    """A reading of the monotonic clock of a process, which `run` identifies."""

    run: str
    at: timedelta


class LeaderHeader(NamedTuple):
    """Header of every message from a leader.

    Parameters
    ----------
    commit
        The leader's commit index.
    live
        Names of the instances that the leader counts as live.
    sent_at
        Send time on the leader's monotonic clock; the reply returns it.
    lease_stamp
        Newest timestamp of the receiver that a majority has confirmed; the lease of the
        receiver runs from it. None if there is none.
    """

    term: int
    leader: Voter
    commit: int
    live: tuple[str, ...]
    sent_at: timedelta
    lease_stamp: ProcessTimestamp | None


class FollowerHeader(NamedTuple):
    """Header of every reply to a leader.

    Parameters
    ----------
    durable
        Whether the sender has a disk and so could become a voter.
    applied
        Highest index that the sender has applied.
    echoed_sent_at
        The `sent_at` of the answered message; None if that message is of an older term.
        The monotonic clock of a leader starts anew with its machine, so after a restart
        it cannot use times of an earlier term.
    """

    term: int
    voter: Voter
    durable: bool
    applied: int
    echoed_sent_at: timedelta | None
    stamp: ProcessTimestamp


class OutcomeRecord(NamedTuple):
    """Outcome of the first proposal with a request id."""

    request_id: str
    at: datetime
    digest: bytes
    reply: bytes


class VoteRecord(NamedTuple):
    """A voter's term and vote; synced to disk before they are sent."""

    incarnation: str
    term: int
    voted_for: Voter | None


class LogSnapshot(NamedTuple):
    """Replicated state up to `log_index`; replaces the entries up to it."""

    log_index: int
    term: int
    voters: VoterSet
    latest_at: datetime | None
    outcomes: tuple[OutcomeRecord, ...]
    state: bytes
