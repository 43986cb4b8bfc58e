"""Records of the replicated log, shared by commands, queries and the wire."""

from collections.abc import Collection
from datetime import datetime, timedelta
from enum import Enum
from hashlib import blake2b
from typing import NamedTuple

from msgspec import Struct


class Voter(NamedTuple):
    """An instance together with the life of its disk.

    Parameters
    ----------
    incarnation
        Random, written at the first start on an empty disk. A lost disk comes back
        under another one, so the promises of the old disk are never counted again.
    """

    name: str
    incarnation: str


class VoterSet(NamedTuple):
    """The instances that vote.

    Parameters
    ----------
    rejoining
        Names of voters whose disk was lost and which vote again once their new disk
        holds the log.
    """

    voters: tuple[Voter, ...] = ()
    rejoining: tuple[str, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the voters."""
        return tuple(voter.name for voter in self.voters)

    def is_quorum(self, supporters: Collection[Voter]) -> bool:
        """Tell whether `supporters` include more than half of the voters."""
        return 2 * sum(voter in supporters for voter in self.voters) > len(self.voters)

    def without(self, voter: Voter, rejoining: bool) -> "VoterSet":
        """Return the set without a voter; `rejoining` keeps its name for a new disk."""
        rest = tuple(one for one in self.voters if one != voter)
        names = tuple(name for name in self.rejoining if name != voter.name)
        return VoterSet(rest, (*names, voter.name) if rejoining else names)

    def including(self, voter: Voter) -> "VoterSet":
        """Return the set with one more voter."""
        names = tuple(name for name in self.rejoining if name != voter.name)
        return VoterSet((*self.voters, voter), names)


class Proposal(NamedTuple):
    """A change that a caller wants in the replicated state.

    Parameters
    ----------
    request_id
        Names the change; a resend with the same id gets the first outcome.
    at
        When the caller issued it, in UTC; the same for every resend.
    fingerprint
        What a resend must repeat, if that is not the whole body.
    """

    request_id: str
    at: datetime
    body: bytes
    fingerprint: str = ""

    @property
    def digest(self) -> bytes:
        """A hash that tells a resend from another change under the same id."""
        repeated = self.fingerprint.encode() or self.body
        return blake2b(repeated, digest_size=16).digest()


class EntryKind(Enum):
    """What a log entry holds."""

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
        """What the entry asks every instance to do."""
        if self.kind is EntryKind.VOTERS and self.voters is not None:
            return SetVoters(self.voters)
        if self.kind is EntryKind.PROPOSAL and self.proposal is not None:
            return ApplyProposal(self.proposal)
        return StartTerm()

    @property
    def size(self) -> int:
        """The approximate encoded size in bytes."""
        proposal = self.proposal
        body = 0 if proposal is None else len(proposal.body) + len(proposal.request_id)
        return 64 + body


class StartTerm(Struct, frozen=True):
    """A new leader's first entry; older entries are committed through it."""


class SetVoters(Struct, frozen=True):
    """The complete voter set from this entry on."""

    voters: VoterSet


class ApplyProposal(Struct, frozen=True):
    """A proposal for the state machine."""

    proposal: Proposal


Command = StartTerm | SetVoters | ApplyProposal


class ProcessTimestamp(NamedTuple):
    """A reading of one process's monotonic clock; `run` tells processes apart."""

    run: str
    at: timedelta


class LeaderHeader(NamedTuple):
    """What every message of a leader carries.

    Parameters
    ----------
    commit
        The highest index that the leader knows to be committed.
    live
        The instances that the leader counts as live.
    sent_at
        The leader's monotonic clock; replies return it.
    lease_stamp
        The newest stamp of the receiver that counts for its lease.
    """

    term: int
    leader: Voter
    commit: int
    live: tuple[str, ...]
    sent_at: timedelta
    lease_stamp: ProcessTimestamp | None


class FollowerHeader(NamedTuple):
    """What every reply to a leader carries.

    Parameters
    ----------
    durable
        Whether the sender has a disk and so could become a voter.
    applied
        The highest index that the sender has applied.
    echoed_sent_at
        The `sent_at` of the message that this replies to; None if that message is of an
        older term. A leader that restarted with its machine counts its own time from
        anew, so the time of an earlier term says nothing to it.
    """

    term: int
    voter: Voter
    durable: bool
    applied: int
    echoed_sent_at: timedelta | None
    stamp: ProcessTimestamp


class OutcomeRecord(NamedTuple):
    """The first outcome of a request id."""

    request_id: str
    at: datetime
    digest: bytes
    reply: bytes


class VoteRecord(NamedTuple):
    """What a voter has promised; synced before anyone is told."""

    incarnation: str
    term: int
    voted_for: Voter | None


class LogSnapshot(NamedTuple):
    """The replicated state up to an index, which replaces the entries up to it."""

    log_index: int
    term: int
    voters: VoterSet
    latest_at: datetime | None
    outcomes: tuple[OutcomeRecord, ...]
    state: bytes
