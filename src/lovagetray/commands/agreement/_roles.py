"""The roles of an instance in the replicated log."""

from dataclasses import dataclass, field
from datetime import timedelta

from lovagetray._log_entries import ProcessTimestamp, Voter

RequestKey = tuple[str, bytes]


@dataclass(slots=True)
class PeerProgress:
    """What a leader knows about one peer.

    Parameters
    ----------
    next_index
        The first entry that was not sent yet.
    sent_at
        When the newest message was sent, on the leader's monotonic clock.
    heard_at
        When any reply of this term came, on the leader's monotonic clock.
    stamps
        Stamps of replies, with the time at which each came; the oldest first.
    chunk_index, chunk_source, chunk_offset
        The snapshot that is being sent and how many of its bytes the peer holds. A
        newer one does not replace it, or a slow transfer would never end.
    """

    next_index: int
    sent_at: timedelta | None = None
    voter: Voter | None = None
    durable: bool = False
    applied: int = 0
    heard_at: timedelta | None = None
    stamps: list[tuple[timedelta, ProcessTimestamp]] = field(default_factory=list)
    chunk_index: int = 0
    chunk_source: bytes = b""
    chunk_offset: int = 0

    def confirmed(self, until: timedelta) -> ProcessTimestamp | None:
        """Return the newest stamp that came by `until`; older ones are forgotten."""
        came = [number for number, one in enumerate(self.stamps) if one[0] <= until]
        if not came:
            return None
        del self.stamps[: came[-1]]
        return self.stamps[0][1]


@dataclass(slots=True)
class Following:
    """Not a leader; `leader` is who leads the current term, if known."""

    leader: Voter | None


@dataclass(slots=True)
class LeaderState:
    """Leads the current term.

    Parameters
    ----------
    since
        When the election was won, on the monotonic clock.
    first_index
        The index of the first entry of the term.
    watched_at, watching_since
        When the live list was last looked after, and since when without a pause.
    matched
        The last index that is synced at each instance.
    contacted
        When the newest message that each instance answered was sent.
    origins
        Instances that wait for the outcome of a proposal.
    in_flight
        Proposals that were appended in this term and not applied yet.
    handing_over
        Set before another instance may be elected early; never cleared in a term,
        because this instance cannot answer current reads any more.
    """

    since: timedelta
    first_index: int
    live: tuple[str, ...]
    watched_at: timedelta
    watching_since: timedelta
    peers: dict[str, PeerProgress] = field(default_factory=dict)
    matched: dict[Voter, int] = field(default_factory=dict)
    contacted: dict[Voter, timedelta] = field(default_factory=dict)
    origins: dict[RequestKey, set[str]] = field(default_factory=dict)
    in_flight: set[RequestKey] = field(default_factory=set)
    handing_over: bool = False

    def progress(self, name: str) -> PeerProgress:
        """Return what is known about a peer, which may have just joined."""
        return self.peers.setdefault(name, PeerProgress(self.first_index))


Role = Following | LeaderState
