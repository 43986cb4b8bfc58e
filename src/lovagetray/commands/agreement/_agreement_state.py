"""Raft state of one instance: term, role, log, indexes and leases."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from curio import Event, Lock
from structlog import get_logger

from lovagetray._log_entries import (
    Entry,
    EntryKind,
    FollowerHeader,
    LeaderHeader,
    ProcessTimestamp,
    Voter,
    VoterSet,
)
from lovagetray._violations import RevisionFell
from lovagetray.commands.agreement._agreement_context import AgreementContext
from lovagetray.commands.agreement._durable_log import DurableLog
from lovagetray.commands.agreement._roles import (
    FollowerState,
    LeaderState,
    PeerProgress,
    Role,
)

_log = get_logger()
# Factor by which a lease may last longer on the clock of another instance, because the
# clocks of two instances may run at different rates.
_CLOCK_DRIFT_FACTOR = 1.1
# Earlier than any time on the monotonic clock.
_NEVER = timedelta(days=-1)


class ReadIndex(NamedTuple):
    """Term and commit index of a leader that a majority confirmed after this start."""

    term: int
    commit: int


class Confirmation(NamedTuple):
    """A leader's commit index that covers all changes accepted until a time.

    Parameters
    ----------
    at
        The time, on the clock of this instance.
    read_index
        Term and commit index of the leader, which a majority confirmed after `at`.
    """

    at: timedelta
    read_index: ReadIndex


class AgreementState:
    """Term, role, log and indexes, shared by the tasks of one instance.

    The term, vote, role and log change only under `lock`, because these changes wait
    for disk writes. The commit and applied indexes never decrease.
    """

    def __init__(self, context: AgreementContext, log: DurableLog) -> None:
        self.context = context
        self.log = log
        self.lock = Lock()
        self.committed = Event()
        # Whether this instance has refused a candidate whose log is behind its own
        # since it last followed a leader.
        self.outranks_candidate = False
        self._run_id = f"{context.random.getrandbits(64):016x}"
        self._role: Role = FollowerState(None)
        self._commit_index = log.base_index
        self._applied_index = log.base_index
        self._live: tuple[str, ...] = ()
        self._lease_start: timedelta | None = None
        # Progress of the peers to which this instance passes on the log as a follower.
        self.passed_on: dict[str, PeerProgress] = {}
        # Peers that get nothing from this instance at present.
        self.idle_peers: set[str] = set()
        self._newest_header = (0, timedelta.min)
        # Highest commit index that a leader has named; entries may still be missing.
        self._leader_commit = log.base_index
        self._read_index: ReadIndex | None = None
        self._state_confirmed_at: timedelta | None = None
        # The oldest confirmation whose entries are not applied yet.
        self._unapplied_confirmation: Confirmation | None = None
        self._peer_events: dict[str, Event] = {}
        # The previous run may have answered a leader until the process started, so no
        # vote is granted within the minimum election timeout from then. Most of that
        # time passes while the program loads.
        process_started_at = context.process_started_at
        self._heard_at = (
            context.clock.monotonic_time()
            if process_started_at is None
            else process_started_at
        )

    @property
    def voter(self) -> Voter:
        """Name and disk identity of this instance."""
        return Voter(self.context.name, self.log.incarnation)

    @property
    def role(self) -> Role:
        """Role of this instance in the current term."""
        return self._role

    @property
    def leader(self) -> str | None:
        """Name of the leader of the current term, or None if unknown."""
        match self._role:
            case LeaderState():
                return self.context.name
            case FollowerState(leader=Voter() as leader):
                return leader.name
        return None

    @property
    def commit_index(self) -> int:
        """Index of the last entry that is known to be committed."""
        return self._commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry that the state machine has applied."""
        return self._applied_index

    @property
    def live(self) -> tuple[str, ...]:
        """Names of the live instances, as last distributed by the leader."""
        match self._role:
            case LeaderState(live=live):
                return live
        return self._live

    @property
    def heard_at(self) -> timedelta:
        """When this instance last followed a leader's message or granted a vote."""
        return self._heard_at

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the instances to which this one replicates as leader."""
        return tuple(self._peer_events)

    def add_peer(self, name: str) -> Event:
        """Register a peer and return the event that wakes its replication task."""
        return self._peer_events.setdefault(name, Event())

    async def wake_peers(self) -> None:
        """Wake the replication tasks of all peers."""
        for event in self._peer_events.values():
            await event.set()

    async def wake_passed_on(self) -> None:
        """Wake the replication tasks of the peers that this follower feeds."""
        for name in list(self.passed_on):
            await self.wake_peer(name)

    async def wake_peer(self, name: str) -> None:
        """Wake the replication task of one peer."""
        if name in self._peer_events:
            await self._peer_events[name].set()

    async def advance_term(self, term: int, vote: Voter | None = None) -> None:
        """Store a higher term and become a follower; the caller holds `lock`."""
        await self.log.vote(term, vote)
        self.step_down()

    def step_down(self) -> None:
        """Become a follower of no known leader; the caller holds `lock`.

        A former leader keeps its lease, which runs from its last contact with a
        majority that knows that it is on the live list.
        """
        if isinstance(self._role, LeaderState):
            self._live = self._role.live
            if self._listing_confirmed(self._role, self.context.name):
                self._lease_start = self._lease_contact(self._role)
            _log.info("leadership_ended", term=self.log.term)
        self._role = FollowerState(None)

    async def become_leader(
        self, initial_voters: VoterSet | None, listed: Iterable[str]
    ) -> None:
        """Become leader of the current term; the caller holds `lock`.

        Parameters
        ----------
        initial_voters
            The initial voter set if the log is empty, else None.
        listed
            Names on the live lists of the voters that granted their votes. An instance
            may hold a lease by a list that only some voters received, so the new leader
            lists it until that lease has ended.
        """
        index = self.log.last_index + 1
        kind = EntryKind.TERM_START if initial_voters is None else EntryKind.VOTERS
        now = self.context.clock.monotonic_time()
        others = {name for name in listed if name != self.context.name}
        live = tuple(sorted({*self._live, *others}))
        leader_state = LeaderState(now, index, live, now, now)
        leader_state.listed_at[self.context.name] = now
        self._role = leader_state
        _log.info("leadership_started", term=self.log.term, index=index)
        await self.append(
            leader_state, [Entry(index, self.log.term, kind, None, initial_voters)]
        )

    async def append(self, leader_state: LeaderState, entries: list[Entry]) -> None:
        """Append entries as leader; the caller holds `lock`."""
        await self.wake_peers()
        await self.log.append(entries)
        leader_state.match_index[self.voter] = self.log.synced_index

    async def commit_to(self, index: int) -> None:
        """Raise the commit index to `index` if that is higher."""
        if index > self._commit_index:
            self._commit_index = index
            await self.committed.set()

    def record_applied(self, index: int) -> None:
        """Record that the state machine has applied all entries up to `index`."""
        if index < self._applied_index:
            violation = RevisionFell(self._applied_index, index)
            self.context.violations.report(violation)
        self._applied_index = index
        self._commit_index = max(self._commit_index, index)

    def restart_election_timeout(self) -> None:
        """Restart the election timeout after a leader's message or a granted vote."""
        self._heard_at = self.context.clock.monotonic_time()

    def follow_leader(self, header: LeaderHeader, sender: str) -> None:
        """Follow a leader of the current term and store what its header carries.

        The lease starts at a time on this instance's own clock that it sent in a reply
        and that the leader returned. So a delayed message cannot extend the lease.

        Parameters
        ----------
        sender
            The leader, or a follower that passes on the log. The latter's message can
            prove that this instance has caught up, but gives no lease.
        """
        self.restart_election_timeout()
        self.outranks_candidate = False
        self._role = FollowerState(header.leader)
        self._leader_commit = max(self._leader_commit, header.commit)
        lease_stamp = header.lease_stamp
        confirmed = lease_stamp is not None and lease_stamp.run == self._run_id
        if sender == header.leader.name:
            if (header.term, header.sent_at) <= self._newest_header:
                return
            self._newest_header = (header.term, header.sent_at)
            self._live = header.live
            if lease_stamp is not None and confirmed:
                start = self._lease_start
                self._lease_start = max(lease_stamp.at, start or lease_stamp.at)
        if lease_stamp is not None and confirmed:
            read_index = ReadIndex(header.term, header.commit)
            if not self._read_index_valid():
                self._read_index = read_index
            self._record_confirmation(Confirmation(lease_stamp.at, read_index))

    def leader_header(self, leader_state: LeaderState, peer: str) -> LeaderHeader:
        """Return the header of a message to a peer.

        A timestamp of the peer is returned to it only if a majority answered a message
        that was sent after the timestamp arrived. So every lease that this leader
        grants has ended one lease duration after its last contact with a majority, and
        before a new leader changes the live list. The list for a peer lacks the peer
        until a majority has the list that includes it: a new leader would not know of
        its lease.
        """
        contact = self._lease_contact(leader_state)
        live = leader_state.live if self.context.settings.live_list else ()
        if not self._listing_confirmed(leader_state, peer):
            live = tuple(name for name in live if name != peer)
        return LeaderHeader(
            self.log.term,
            self.voter,
            self._commit_index,
            live,
            self.context.clock.monotonic_time(),
            leader_state.progress(peer).confirmed_timestamp(contact),
        )

    def header_passed_on(self, leader: Voter, progress: PeerProgress) -> LeaderHeader:
        """Return the header of a message by which a follower passes on the log.

        A timestamp of the peer that arrived before one of this instance that a majority
        has confirmed is confirmed as well: the leader has named the commit index since.

        Parameters
        ----------
        leader
            Leader of the current term.
        """
        confirmed = _NEVER if self._lease_start is None else self._lease_start
        return LeaderHeader(
            self.log.term,
            leader,
            self._leader_commit,
            (),
            self.context.clock.monotonic_time(),
            progress.confirmed_timestamp(confirmed),
        )

    def follower_header(self, answered_header: LeaderHeader) -> FollowerHeader:
        """Return the header of a reply to a leader's message."""
        return FollowerHeader(
            self.log.term,
            self.voter,
            self.context.durable,
            self._applied_index,
            answered_header.sent_at if answered_header.term == self.log.term else None,
            ProcessTimestamp(self._run_id, self.context.clock.monotonic_time()),
        )

    def quorum_contact(
        self, leader_state: LeaderState, default: timedelta
    ) -> timedelta:
        """Return the latest time from which a majority has answered messages.

        A majority of voters answered a message that was sent at this time or later, so
        none of them can have supported another leader before it.

        Parameters
        ----------
        default
            Time to use for voters that have not answered in this term.
        """
        voters = self.log.voters.voters
        now = self.context.clock.monotonic_time()
        times = [
            (
                now
                if voter == self.voter
                else leader_state.last_contact.get(voter, default)
            )
            for voter in voters
        ]
        return sorted(times, reverse=True)[len(voters) // 2]

    def _lease_contact(self, leader_state: LeaderState) -> timedelta:
        """Return the quorum contact from which leases run.

        A granted vote counts as an answer to a message sent when the voting started,
        which is at most one vote timeout before the election was won.
        """
        vote_timeout = self.context.settings.vote_timeout
        return self.quorum_contact(leader_state, leader_state.elected_at - vote_timeout)

    def refresh_live(self, leader_state: LeaderState) -> None:
        """Update the live list; a new leader keeps the previous list for one lease.

        A leader whose own process was paused removes no instance from the list until
        it has run again for `failure_timeout`, because it received nothing meanwhile.
        """
        now = self.context.clock.monotonic_time()
        settings = self.context.settings
        if now - leader_state.live_updated_at > 2 * settings.heartbeat:
            leader_state.running_since = now
        leader_state.live_updated_at = now
        if now - leader_state.elected_at < settings.lease * _CLOCK_DRIFT_FACTOR:
            return
        listed_before = leader_state.live
        responsive = []
        for name, peer in leader_state.peers.items():
            heard_at = peer.heard_at or _NEVER
            if name in leader_state.live:
                heard_at = max(heard_at, leader_state.running_since)
            if now - heard_at <= settings.failure_timeout:
                responsive.append(name)
        leader_state.live = tuple(sorted({self.context.name, *responsive}))
        leader_state.listed_at = {
            name: at
            for name, at in leader_state.listed_at.items()
            if name in leader_state.live
        }
        for name in set(leader_state.live).difference(listed_before):
            leader_state.listed_at[name] = now

    def _listing_confirmed(self, leader_state: LeaderState, name: str) -> bool:
        """Return whether a majority has answered a message that lists an instance."""
        listed_at = leader_state.listed_at.get(name)
        return listed_at is None or listed_at <= self._lease_contact(leader_state)

    def has_quorum(self, leader_state: LeaderState) -> bool:
        """Return whether a majority answered this leader within one lease."""
        age = self.context.clock.monotonic_time() - self._lease_contact(leader_state)
        return age < self.context.settings.lease

    def lease_valid(self) -> bool:
        """Return whether this instance is on the live list and its lease is valid."""
        if self.context.name not in self.live:
            return False
        match self._role:
            case LeaderState() as leader_state if self._listing_confirmed(
                leader_state, self.context.name
            ):
                return self.has_quorum(leader_state)
        # A new leader holds its lease of the term before until its own list is known.
        if self._lease_start is None:
            return False
        age = self.context.clock.monotonic_time() - self._lease_start
        return age < self.context.settings.lease

    def quorum_contact_age(self) -> timedelta | None:
        """Return the time since a majority last confirmed this instance, or None."""
        now = self.context.clock.monotonic_time()
        match self._role:
            case LeaderState() as leader_state:
                return now - self.quorum_contact(leader_state, leader_state.elected_at)
        return None if self._lease_start is None else now - self._lease_start

    def serves_linearizable_reads(self) -> bool:
        """Return whether the applied state contains all changes accepted so far.

        True only on a leader within its read lease that has committed an entry of its
        own term and has applied all committed entries.
        """
        match self._role:
            case LeaderState(transferring=False) as leader_state:
                contact = self.quorum_contact(leader_state, _NEVER)
                age = self.context.clock.monotonic_time() - contact
                return (
                    age < self.read_lease
                    and self._commit_index >= leader_state.first_index
                    and self._applied_index == self._commit_index
                )
        return False

    def state_confirmed_at(self) -> timedelta | None:
        """Return a time until which all accepted changes are applied here, if any.

        A follower knows it by a timestamp of its own that a leader returned after a
        majority had confirmed the leader, together with a commit index that this
        instance has applied.
        """
        match self._role:
            case LeaderState() as leader_state if (
                self._commit_index >= leader_state.first_index
                and self._applied_index == self._commit_index
            ):
                contact = self.quorum_contact(leader_state, _NEVER)
                if contact > _NEVER:
                    self._raise_state_confirmed_at(contact)
        self._settle_confirmation()
        return self._state_confirmed_at

    def _record_confirmation(self, confirmation: Confirmation) -> None:
        """Store a confirmation unless the entries of an earlier one are missing."""
        self._settle_confirmation()
        earlier = self._unapplied_confirmation
        if earlier is None or earlier.read_index == confirmation.read_index:
            self._unapplied_confirmation = confirmation

    def _settle_confirmation(self) -> None:
        """Use the stored confirmation once all entries that it covers are applied."""
        confirmation = self._unapplied_confirmation
        if confirmation is None or (
            confirmation.read_index.commit > self._applied_index
        ):
            return
        self._unapplied_confirmation = None
        if self._committed_in_own_term(confirmation.read_index):
            self._raise_state_confirmed_at(confirmation.at)

    def _raise_state_confirmed_at(self, at: timedelta) -> None:
        self._state_confirmed_at = max(at, self._state_confirmed_at or at)

    def caught_up_since_start(self) -> bool:
        """Return whether all changes accepted before this start are applied here.

        A follower waits until it has applied the commit index of a leader that a
        majority confirmed after this start, so that no other leader had replaced it,
        and that had committed an entry of its own term, so that its commit index
        covered the entries of all earlier terms.
        """
        match self._role:
            case LeaderState():
                return self.serves_linearizable_reads()
        return self._read_index_valid() and self._read_index_applied()

    def _read_index_valid(self) -> bool:
        """Return whether the leader of the read index had committed in its own term.

        Assumed to be so until the log reaches the read index, when its term is known.
        """
        read_index = self._read_index
        if read_index is None or read_index.commit > self.log.last_index:
            return read_index is not None
        return self._committed_in_own_term(read_index)

    def _committed_in_own_term(self, read_index: ReadIndex) -> bool:
        """Return whether the leader of a read index had committed in its own term.

        Only then does its commit index cover the entries of all earlier terms. The log
        must have reached the index.
        """
        # A snapshot that covers the index ends at or after it, in no lower term.
        index = max(read_index.commit, self.log.base_index)
        return self.log.term_at(index) >= read_index.term

    def _read_index_applied(self) -> bool:
        return (
            self._read_index is not None
            and self._applied_index >= self._read_index.commit
        )

    @property
    def read_lease(self) -> timedelta:
        """Time after contact with a majority in which no other leader is elected."""
        settings = self.context.settings
        return settings.min_election_timeout * settings.read_lease_fraction

    def may_commit(self, index: int) -> bool:
        """Return whether an entry is committed once a majority has synced it.

        This holds for entries of the current term only. An entry of an older term on a
        majority can still be replaced by a leader that lacks it; it is committed by the
        first entry of the current term after it.
        """
        return self.log.term_at(index) == self.log.term

    def membership_committed(self, leader_state: LeaderState) -> bool:
        """Return whether the last voter set and an entry of this term are committed.

        Without a committed entry of this term, a membership change of an earlier leader
        could still replace the voter set that this leader uses.
        """
        return self._commit_index >= max(
            leader_state.first_index, self.log.voters_index
        )

    def majority_index(self, leader_state: LeaderState) -> int:
        """Return the last index that is synced on a majority of voters."""
        voters: Iterable[Voter] = self.log.voters.voters
        synced = sorted(
            (leader_state.match_index.get(voter, 0) for voter in voters), reverse=True
        )
        return synced[len(synced) // 2]
