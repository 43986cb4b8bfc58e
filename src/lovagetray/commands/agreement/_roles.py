"""Raft roles of an instance and the state that each role has."""

from dataclasses import dataclass, field
from datetime import timedelta

from lovagetray._log_entries import ProcessTimestamp, Voter

RequestKey = tuple[str, bytes]


@dataclass(slots=True)
class PeerProgress:
    """Replication progress of one peer, as the leader knows it.

    Parameters
    ----------
    next_index
        Index of the first entry that was not sent yet.
    sent_at
        When the newest message was sent, on the leader's monotonic clock.
    heard_at
        When the last reply of this term arrived, on the leader's monotonic clock.
    stamps
        Timestamps in replies, each with its arrival time, the oldest first.
    start_proved
        Whether a message has returned a confirmed timestamp to the peer.
    chunk_index, chunk_source, chunk_offset
        Last index and content of the snapshot that is being sent, and the number of
        bytes that the peer has received. A newer snapshot does not replace it, or a
        slow transfer would never end.
    chunk_compressed
        Whether that content is compressed.
    accepts_compressed
        Whether the peer accepts compressed entries and snapshots, by its last reply.
    """

    next_index: int
    sent_at: timedelta | None = None
    voter: Voter | None = None
    durable: bool = False
    applied_index: int = 0
    heard_at: timedelta | None = None
    stamps: list[tuple[timedelta, ProcessTimestamp]] = field(default_factory=list)
    start_proved: bool = False
    chunk_index: int = 0
    chunk_source: bytes = b""
    chunk_offset: int = 0
    chunk_compressed: bool = False
    accepts_compressed: bool = False

    def confirmed_timestamp(self, until: timedelta) -> ProcessTimestamp | None:
        """Return the newest timestamp that arrived by `until`, if any; drop older."""
        arrived = [
            position for position, stamp in enumerate(self.stamps) if stamp[0] <= until
        ]
        if not arrived:
            return None
        del self.stamps[: arrived[-1]]
        return self.stamps[0][1]


@dataclass(slots=True)
class FollowerState:
    """A follower or candidate; `leader` leads the current term, None if unknown."""

    leader: Voter | None


@dataclass(slots=True)
class LeaderState:
    """The leader of the current term.

    Parameters
    ----------
    elected_at
        When the election was won, on the leader's monotonic clock.
    first_index
        Index of the first entry of the term.
    listed_at
        When each name was added to the live list. A name on the list of the leader
        before has no time, but for the name of this leader.
    live_updated_at, running_since
        When the live list was last updated, and since when it was updated without a
        pause of the process.
    match_index
        Last index that each voter or learner has synced.
    last_contact
        Send time of the newest message that each voter or learner has answered.
    origins
        Names of the instances that forwarded a proposal and wait for its outcome.
    in_flight
        Proposals that were appended in this term and are not applied yet.
    transferring
        Set when a leadership transfer starts and never cleared in a term. From then on,
        another instance may be elected before this leader's read lease has ended, so
        this leader must not serve linearizable reads any more.
    """

    elected_at: timedelta
    first_index: int
    live: tuple[str, ...]
    live_updated_at: timedelta
    running_since: timedelta
    listed_at: dict[str, timedelta] = field(default_factory=dict)
    peers: dict[str, PeerProgress] = field(default_factory=dict)
    match_index: dict[Voter, int] = field(default_factory=dict)
    last_contact: dict[Voter, timedelta] = field(default_factory=dict)
    origins: dict[RequestKey, set[str]] = field(default_factory=dict)
    in_flight: set[RequestKey] = field(default_factory=set)
    transferring: bool = False

    def progress(self, name: str) -> PeerProgress:
        """Return the progress of a peer, new if the peer has just joined."""
        return self.peers.setdefault(name, PeerProgress(self.first_index))


Role = FollowerState | LeaderState
