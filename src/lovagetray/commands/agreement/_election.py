"""Leader election, and the check of a leader for its quorum."""

from datetime import timedelta
from typing import NamedTuple

from curio import Event, Queue
from expression import Result

from lovagetray._log_entries import Voter, VoterSet
from lovagetray._peer_messages import TakeOver, VoteReply, VoteRequest
from lovagetray.commands.agreement._agreement_state import AgreementState
from lovagetray.commands.agreement._membership import Membership
from lovagetray.commands.agreement._roles import LeaderState


class Ballot(NamedTuple):
    """A vote or pre-vote in progress; `replies` is a queue of `VoteReply`."""

    term: int
    pre_vote: bool
    transfer: bool
    replies: Queue


class Election:
    """Election task of one instance."""

    def __init__(self, replica: AgreementState, membership: Membership) -> None:
        self._replica = replica
        self._membership = membership
        self._ballot: Ballot | None = None
        self._takeover = Event()
        self._takeover_term = 0
        self._refused = False
        self._process_started_at = replica.context.process_started_at

    async def run(self) -> None:
        """Start an election when the leader is silent; step down without a quorum."""
        while True:
            match self._replica.role:
                case LeaderState() as leading:
                    await self._keep_leading(leading)
                case _:
                    await self._await_leader()

    async def receive(self, reply: VoteReply) -> None:
        """Pass a reply to the vote in progress; enter its term if that is higher."""
        replica = self._replica
        if reply.term > replica.log.term:
            async with replica.lock:
                if reply.term > replica.log.term:
                    await replica.advance_term(reply.term)
        ballot = self._ballot
        if ballot is not None and ballot[:2] == (reply.ballot_term, reply.pre_vote):
            await ballot.replies.put(reply)

    async def take_over(self, message: TakeOver) -> None:
        """Start an election at once, on a leadership transfer by the leader."""
        if message.term == self._replica.log.term:
            self._takeover_term = message.term
            await self._takeover.set()

    async def _keep_leading(self, leading: LeaderState) -> None:
        replica = self._replica
        await replica.context.clock.sleep(replica.context.settings.heartbeat)
        if replica.role is not leading:
            return
        if not replica.has_quorum(leading):
            async with replica.lock:
                if replica.role is leading:
                    replica.stop_leading()
            return
        if replica.me not in replica.log.voters.voters and replica.settled(leading):
            await self._membership.transfer_leadership()
            return
        replica.refresh_live(leading)
        await self._membership.repair(leading)

    async def _await_leader(self) -> None:
        replica = self._replica
        clock, settings = replica.context.clock, replica.context.settings
        spread = settings.max_election_timeout - settings.min_election_timeout
        timeout = spread * replica.context.random.random()
        if not (self._refused and settings.retry_refused_pre_vote):
            timeout += settings.min_election_timeout
        # The first election timeout runs from the start of the process.
        waited_since = self._process_started_at or clock.monotonic_time()
        self._process_started_at = None
        while not self._takeover.is_set():
            silent_since = max(replica.heard_at, waited_since)
            left = silent_since + timeout - clock.monotonic_time()
            if left <= timedelta(0):
                break
            await clock.with_timeout(left, self._takeover.wait())
            if isinstance(replica.role, LeaderState):
                return
        transfer = self._takeover.is_set() and self._takeover_term == replica.log.term
        self._takeover.clear()
        if self._eligible():
            await self._campaign(transfer)

    def _eligible(self) -> bool:
        replica = self._replica
        if not replica.context.durable:
            return False
        if replica.log.voters.voters:
            return replica.me in replica.log.voters.voters or self._being_removed()
        return replica.context.name in replica.context.initial_voters

    def _being_removed(self) -> bool:
        """Return whether the removal of this voter is in its log but not committed.

        The removal may be in the logs of the lost leader and of this instance only.
        Then this log is the longest, so no other instance can get a majority of the
        old voter set. This instance leads until the removal is committed, and then
        transfers leadership.
        """
        replica, log = self._replica, self._replica.log
        if log.voters_index <= replica.commit_index:
            return False
        return replica.me in log.voters_at(log.voters_index - 1).voters

    async def _campaign(self, transfer: bool) -> None:
        replica, log = self._replica, self._replica.log
        if not transfer:
            pre_vote = Ballot(log.term + 1, True, False, Queue())
            heard_at = replica.heard_at
            granted = await self._take(pre_vote)
            # A refused pre-vote changes no state, so it can be retried soon: the other
            # instances may have started a little later than this one.
            self._refused = granted is None and replica.heard_at == heard_at
            if granted is None or replica.heard_at != heard_at:
                return
        async with replica.lock:
            if transfer and log.term != self._takeover_term:
                return
            term = log.term + 1
            await replica.advance_term(term, replica.me)
        votes = await self._take(Ballot(term, False, transfer, Queue()))
        if votes is None:
            return
        async with replica.lock:
            if log.term == term and log.voted_for == replica.me:
                founding = VoterSet(votes) if not log.voters.voters else None
                await replica.lead(founding)
                await self._membership.advance_commit()

    async def _take(self, ballot: Ballot) -> tuple[Voter, ...] | None:
        """Collect votes; return the voters that granted theirs, or None if too few."""
        replica, log = self._replica, self._replica.log
        clock, settings = replica.context.clock, replica.context.settings
        self._ballot = ballot
        request = VoteRequest(
            ballot.term,
            replica.me,
            log.last_index,
            log.last_term,
            ballot.pre_vote,
            ballot.transfer,
        )
        asked = set(log.voters.names or replica.context.initial_voters)
        asked.discard(replica.context.name)
        for name in sorted(asked):
            await replica.context.link.send(name, request)
        granted = {replica.context.name: replica.me}
        deadline = clock.monotonic_time() + replica.context.settings.vote_timeout
        while not self._enough(granted):
            left = deadline - clock.monotonic_time()
            match await clock.with_timeout(left, ballot.replies.get()):
                case Result(tag="ok", ok=VoteReply(granted=True, voter=voter)):
                    granted[voter.name] = voter
                    asked.discard(voter.name)
                case Result(tag="ok", ok=VoteReply(voter=voter)):
                    asked.discard(voter.name)
                    if not asked and settings.retry_refused_pre_vote:
                        return None
                case _:
                    return None
        return tuple(granted[name] for name in sorted(granted))

    def _enough(self, granted: dict[str, Voter]) -> bool:
        """Return whether the votes suffice: a majority, or all initial voters.

        The first election takes the votes of all initial voters, with empty logs. An
        instance that lost its disk cannot determine by itself whether the voter set was
        formed before.
        """
        voters = self._replica.log.voters
        if voters.voters:
            return voters.is_quorum(granted.values())
        return set(self._replica.context.initial_voters) <= set(granted)
