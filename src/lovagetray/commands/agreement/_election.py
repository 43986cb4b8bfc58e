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
    """The task of one instance that holds elections and checks a leader's quorum."""

    def __init__(self, state: AgreementState, membership: Membership) -> None:
        self._state = state
        self._membership = membership
        self._ballot: Ballot | None = None
        # Names on the live lists of the voters that granted their votes.
        self._listed: set[str] = set()
        self._transfer_requested = Event()
        self._transfer_term = 0
        self._pre_vote_refused = False
        self._process_started_at = state.context.process_started_at

    async def run(self) -> None:
        """Start an election when the leader is silent; step down without a quorum."""
        while True:
            match self._state.role:
                case LeaderState() as leader_state:
                    await self._check_leadership(leader_state)
                case _:
                    await self._await_election()

    async def handle_vote_reply(self, reply: VoteReply) -> None:
        """Count a reply in the vote in progress; enter its term if that is higher."""
        state = self._state
        if reply.term > state.log.term:
            async with state.lock:
                if reply.term > state.log.term:
                    await state.advance_term(reply.term)
        ballot = self._ballot
        if ballot is not None and ballot[:2] == (reply.ballot_term, reply.pre_vote):
            await ballot.replies.put(reply)

    async def handle_take_over(self, message: TakeOver) -> None:
        """Start an election at once, at the request of the leader of this term."""
        if message.term == self._state.log.term:
            self._transfer_term = message.term
            await self._transfer_requested.set()

    async def _check_leadership(self, leader_state: LeaderState) -> None:
        state = self._state
        await state.context.clock.sleep(state.context.settings.heartbeat)
        if state.role is not leader_state:
            return
        if not state.has_quorum(leader_state):
            async with state.lock:
                if state.role is leader_state:
                    state.step_down()
            return
        if state.voter not in state.log.voters.voters and state.membership_committed(
            leader_state
        ):
            await self._membership.transfer_leadership()
            return
        state.refresh_live(leader_state)
        await self._membership.adjust_voters(leader_state)

    async def _await_election(self) -> None:
        state = self._state
        clock, settings = state.context.clock, state.context.settings
        spread = settings.max_election_timeout - settings.min_election_timeout
        timeout = spread * state.context.random.random()
        if not (self._pre_vote_refused and settings.retry_refused_pre_vote):
            timeout += settings.min_election_timeout
        # The first election timeout runs from the start of the process.
        waited_since = self._process_started_at or clock.monotonic_time()
        self._process_started_at = None
        while not self._transfer_requested.is_set():
            silent_since = max(state.heard_at, waited_since)
            time_left = silent_since + timeout - clock.monotonic_time()
            if time_left <= timedelta(0):
                break
            await clock.with_timeout(time_left, self._transfer_requested.wait())
            if isinstance(state.role, LeaderState):
                return
        transfer = (
            self._transfer_requested.is_set() and self._transfer_term == state.log.term
        )
        self._transfer_requested.clear()
        if self._eligible():
            await self._campaign(transfer)

    def _eligible(self) -> bool:
        """Return whether this instance may be a candidate.

        A learner may if it refused a candidate whose log is behind its own. Such a
        candidate counts it as a voter, by a voter set that is not committed and that
        this instance does not have. Without the vote of this instance no one could be
        elected. It needs the votes of a majority of its own voter set, and once its
        first entry is committed it transfers leadership to a voter.
        """
        state = self._state
        if not state.context.durable:
            return False
        if state.log.voters.voters:
            return (
                state.voter in state.log.voters.voters
                or self._removal_pending()
                or state.outranks_candidate
            )
        return state.context.name in state.context.initial_voters

    def _removal_pending(self) -> bool:
        """Return whether the removal of this voter is in its log but not committed.

        The removal may be in the logs of the lost leader and of this instance only.
        Then this log is the longest, so without the vote of this instance no other one
        can get a majority of the old voter set. This instance leads until the removal
        is committed, and then transfers leadership.
        """
        state, log = self._state, self._state.log
        if log.voters_index <= state.commit_index:
            return False
        return state.voter in log.voters_at(log.voters_index - 1).voters

    async def _campaign(self, transfer: bool) -> None:
        state, log = self._state, self._state.log
        if not transfer:
            pre_vote = Ballot(log.term + 1, True, False, Queue())
            heard_at = state.heard_at
            granted = await self._collect_votes(pre_vote)
            # A refused pre-vote changes no state, so it can be retried soon: the other
            # instances may have started a little later than this one.
            self._pre_vote_refused = granted is None and state.heard_at == heard_at
            if granted is None or state.heard_at != heard_at:
                return
        async with state.lock:
            if transfer and log.term != self._transfer_term:
                return
            term = log.term + 1
            await state.advance_term(term, state.voter)
        votes = await self._collect_votes(Ballot(term, False, transfer, Queue()))
        if votes is None:
            return
        async with state.lock:
            if log.term == term and log.voted_for == state.voter:
                initial_voters = VoterSet(votes) if not log.voters.voters else None
                await state.become_leader(initial_voters, self._listed)
                await self._membership.advance_commit()

    async def _collect_votes(self, ballot: Ballot) -> tuple[Voter, ...] | None:
        """Collect votes; return the voters that granted theirs, or None if too few."""
        state, log = self._state, self._state.log
        clock, settings = state.context.clock, state.context.settings
        self._ballot = ballot
        self._listed = set()
        request = VoteRequest(
            ballot.term,
            state.voter,
            log.last_index,
            log.last_term,
            ballot.pre_vote,
            ballot.transfer,
        )
        pending = set(log.voters.names or state.context.initial_voters)
        pending.discard(state.context.name)
        for name in sorted(pending):
            await state.context.transport.send(name, request)
        granted = {state.context.name: state.voter}
        deadline = clock.monotonic_time() + state.context.settings.vote_timeout
        while not self._has_enough_votes(granted):
            time_left = deadline - clock.monotonic_time()
            match await clock.with_timeout(time_left, ballot.replies.get()):
                case Result(
                    tag="ok", ok=VoteReply(granted=True, voter=voter, live=live)
                ):
                    granted[voter.name] = voter
                    self._listed.update(live)
                    pending.discard(voter.name)
                case Result(tag="ok", ok=VoteReply(voter=voter)):
                    pending.discard(voter.name)
                    if not pending and settings.retry_refused_pre_vote:
                        return None
                case _:
                    return None
        return tuple(granted[name] for name in sorted(granted))

    def _has_enough_votes(self, granted: dict[str, Voter]) -> bool:
        """Return whether the votes suffice: a majority, or all initial voters.

        The first election takes the votes of all initial voters, with empty logs. An
        instance that lost its disk cannot determine by itself whether the voter set was
        formed before.
        """
        voters = self._state.log.voters
        if voters.voters:
            return voters.is_quorum(granted.values())
        return set(self._state.context.initial_voters) <= set(granted)
