"""Membership changes of the voter set, one at a time through the log."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from curio import Queue
from expression import Error, Ok, Result
from structlog import get_logger

from lovagetray._errors import (
    MembershipChangeRefused,
    NoLeader,
    NotLeader,
    ProposalUnconfirmed,
)
from lovagetray._log_entries import Entry, EntryKind, Voter, VoterSet
from lovagetray._peer_messages import TakeOver
from lovagetray.commands.agreement._agreement_state import AgreementState
from lovagetray.commands.agreement._roles import LeaderState

_log = get_logger()
ChangeFailure = MembershipChangeRefused | NotLeader | ProposalUnconfirmed
_POLL_INTERVAL = timedelta(milliseconds=100)


class _PlannedChange(NamedTuple):
    """A voter set that a leader is about to append, and since when."""

    leader_state: LeaderState
    voters: VoterSet
    since: timedelta


class Membership:
    """Changes of the voter set by the leader, and leadership transfer.

    Parameters
    ----------
    advance_commit
        Commits the entries that a majority has synced. Called after each change,
        because a leader that is the only voter gets no reply that would commit it.
    """

    def __init__(
        self, state: AgreementState, advance_commit: Callable[[], Awaitable[None]]
    ) -> None:
        self._state = state
        self.advance_commit = advance_commit
        self._waiting: dict[int, Queue] = {}
        self._planned: _PlannedChange | None = None

    async def add_voter(self, name: str) -> Result[None, ChangeFailure]:
        """Make a caught-up learner a voter; return when the change is committed."""
        return await self._change(name, self._voters_with)

    async def remove_voter(self, name: str) -> Result[None, ChangeFailure]:
        """Remove an instance as voter; return when the change is committed."""
        return await self._change(name, self._voters_without)

    async def voters_applied(self, index: int, voters: VoterSet) -> None:
        """Pass a committed voter set to the caller that waits for the change."""
        waiting = self._waiting.pop(index, None)
        if waiting is not None:
            await waiting.put(voters)

    async def adjust_voters(self, leader_state: LeaderState) -> None:
        """Replace a voter that lost its disk, or move the set towards its target size.

        The old disk identity is removed before the new one is added, and only once the
        new disk has every committed entry. So the set lacks the voter only briefly.
        """
        state = self._state
        target = state.context.settings.target_voters
        async with state.lock:
            voters = state.log.voters
            if state.role is not leader_state or not state.membership_committed(
                leader_state
            ):
                return
            for name, progress in leader_state.peers.items():
                voter = progress.voter
                if voter is None or voter in voters.voters:
                    continue
                if not self._caught_up(leader_state, name):
                    continue
                if name in voters.names:
                    old = voters.voters[voters.names.index(name)]
                    # With a target size, any learner with a disk may become the voter.
                    without = voters.without(old, rejoining=target is None)
                    await self._adjust(leader_state, without)
                    return
                if name in voters.rejoining:
                    await self._adjust(leader_state, voters.including(voter))
                    return
            new_voters = self._next_towards_target(leader_state, voters)
            if new_voters is not None:
                await self._adjust(leader_state, new_voters)
            else:
                self._planned = None

    async def _adjust(self, leader_state: LeaderState, voters: VoterSet) -> None:
        """Append a voter set once a majority of it has answered since it was planned.

        Answers before that may come from a disk that was lost in the meantime. With two
        such voters no majority of the set would be left.
        """
        now = self._state.context.clock.monotonic_time()
        if self._planned is None or self._planned[:2] != (leader_state, voters):
            self._planned = _PlannedChange(leader_state, voters, now)
        if not self._answered_by_majority(leader_state, voters, self._planned.since):
            return
        _log.info(
            "voters_changed",
            before=list(self._state.log.voters.names),
            to=list(voters.names),
        )
        self._planned = None
        await self._append(leader_state, voters)

    async def transfer_leadership(self) -> Result[None, NoLeader | NotLeader]:
        """Transfer leadership to the most up-to-date voter; Ok after stepping down."""
        state = self._state
        context = state.context
        match state.role:
            case LeaderState() as leader_state:
                successor = self._successor(leader_state)
            case _:
                return Error(NotLeader(state.leader or ""))
        if successor is None:
            return Error(NoLeader())
        leader_state.transferring = True
        deadline = context.clock.monotonic_time() + 2 * context.settings.lease
        while state.role is leader_state and context.clock.monotonic_time() < deadline:
            if leader_state.match_index.get(successor, 0) == state.log.last_index:
                await context.transport.send(successor.name, TakeOver(state.log.term))
            await context.clock.sleep(_POLL_INTERVAL)
        if state.role is leader_state:
            async with state.lock:
                if state.role is leader_state:
                    state.step_down()
        return Ok(None)

    def _next_towards_target(
        self, leader_state: LeaderState, voters: VoterSet
    ) -> VoterSet | None:
        """Return the next voter set towards the target size, or None if none is needed.

        A learner is added before a silent voter is removed, so that the learner also
        has the entries that are committed in between.
        """
        target = self._state.context.settings.target_voters
        if target is None:
            return None
        silent = [
            voter for voter in voters.voters if self._is_silent(leader_state, voter)
        ]
        if len(voters.voters) > target:
            others = [voter for voter in voters.voters if voter != self._state.voter]
            return voters.without((silent or others)[-1], rejoining=False)
        replacement = self._find_replacement(leader_state, voters)
        if replacement is not None and (silent or len(voters.voters) < target):
            return voters.including(replacement)
        return None

    def _is_silent(self, leader_state: LeaderState, voter: Voter) -> bool:
        if voter == self._state.voter:
            return False
        clock, settings = (
            self._state.context.clock,
            self._state.context.settings,
        )
        progress = leader_state.peers.get(voter.name)
        heard_at = None if progress is None else progress.heard_at
        # Silence under a new leader counts from its election.
        since = max(heard_at or leader_state.elected_at, leader_state.running_since)
        return clock.monotonic_time() - since > settings.voter_replacement_delay

    def _find_replacement(
        self, leader_state: LeaderState, voters: VoterSet
    ) -> Voter | None:
        """Return a recently heard, caught-up learner with a disk, or None."""
        now = self._state.context.clock.monotonic_time()
        failure_timeout = self._state.context.settings.failure_timeout
        for name, progress in leader_state.peers.items():
            heard_at = progress.heard_at
            if (
                name in voters.names
                or heard_at is None
                or now - heard_at > failure_timeout
            ):
                continue
            if self._caught_up(leader_state, name):
                return progress.voter
        return None

    def _successor(self, leader_state: LeaderState) -> Voter | None:
        """Return the recently heard voter with the longest synced log, or None."""
        state = self._state
        now = state.context.clock.monotonic_time()
        failure_timeout = state.context.settings.failure_timeout
        best: Voter | None = None
        for progress in leader_state.peers.values():
            voter, heard_at = progress.voter, progress.heard_at
            if voter not in state.log.voters.voters or voter is None:
                continue
            if heard_at is None or now - heard_at > failure_timeout:
                continue
            match_index = leader_state.match_index
            if best is None or match_index.get(voter, 0) > match_index.get(best, 0):
                best = voter
        return best

    async def _change(
        self,
        name: str,
        make_voters: Callable[[LeaderState, str], VoterSet | MembershipChangeRefused],
    ) -> Result[None, ChangeFailure]:
        state = self._state
        clock = state.context.clock
        started_at = clock.monotonic_time()
        results = Queue()
        while True:
            async with state.lock:
                match state.role:
                    case LeaderState() as leader_state:
                        new_voters = make_voters(leader_state, name)
                    case _:
                        return Error(NotLeader(state.leader or ""))
                if isinstance(new_voters, MembershipChangeRefused):
                    return Error(new_voters)
                if not state.membership_committed(leader_state):
                    reason = (
                        "the last voter set or the first entry of the term is not "
                        "committed yet"
                    )
                    return Error(MembershipChangeRefused(name, reason))
                if self._answered_by_majority(leader_state, new_voters, started_at):
                    index = state.log.last_index + 1
                    self._waiting[index] = results
                    await self._append(leader_state, new_voters)
                    break
            if (
                clock.monotonic_time() - started_at
                > state.context.settings.failure_timeout
            ):
                reason = "a majority of the new voter set does not answer"
                return Error(MembershipChangeRefused(name, reason))
            await clock.sleep(_POLL_INTERVAL)
        timeout = state.context.settings.proposal_timeout
        applied = await state.context.clock.with_timeout(timeout, results.get())
        self._waiting.pop(index, None)
        match applied:
            case Result(tag="ok", ok=voters) if voters == new_voters:
                return Ok(None)
        return Error(ProposalUnconfirmed(f"voter {name}"))

    def _answered_by_majority(
        self, leader_state: LeaderState, voters: VoterSet, since: timedelta
    ) -> bool:
        """Return whether a majority of `voters` answered a message sent since a time.

        Voters are compared by their disk identity. A voter set is in force from the
        moment it is in the leader's log. If no majority of it answers, no instance can
        be elected any more: the leader's log is the longest, and too few voters of its
        set would grant their votes. The answer to a message that was sent before
        `since` may come from a disk that was lost in the meantime.
        """
        contacted = leader_state.last_contact
        answering = [voter for voter, at in contacted.items() if at >= since]
        return voters.is_quorum([self._state.voter, *answering])

    def _caught_up(self, leader_state: LeaderState, name: str) -> bool:
        progress = leader_state.peers.get(name)
        if progress is None or progress.voter is None or not progress.durable:
            return False
        return (
            leader_state.match_index.get(progress.voter, 0) >= self._state.commit_index
        )

    def _voters_with(
        self, leader_state: LeaderState, name: str
    ) -> VoterSet | MembershipChangeRefused:
        voters = self._state.log.voters
        progress = leader_state.peers.get(name)
        if name in voters.names:
            return MembershipChangeRefused(name, "it is already a voter")
        if progress is None or progress.voter is None:
            return MembershipChangeRefused(name, "the leader got no reply from it")
        if not self._caught_up(leader_state, name):
            return MembershipChangeRefused(name, "it has no disk or is not caught up")
        return voters.including(progress.voter)

    def _voters_without(
        self, leader_state: LeaderState, name: str
    ) -> VoterSet | MembershipChangeRefused:
        voters = self._state.log.voters
        if name not in voters.names:
            return MembershipChangeRefused(name, "it is not a voter")
        if name == self._state.context.name:
            return MembershipChangeRefused(name, "it leads; transfer leadership first")
        return voters.without(voters.voters[voters.names.index(name)], rejoining=False)

    async def _append(self, leader_state: LeaderState, voters: VoterSet) -> None:
        state = self._state
        index, term = state.log.last_index + 1, state.log.term
        entry = Entry(index, term, EntryKind.VOTERS, None, voters)
        await state.append(leader_state, [entry])
        await self.advance_commit()
