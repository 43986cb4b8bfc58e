"""Membership changes of the voter set, one at a time through the log."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

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
_STEP = timedelta(milliseconds=100)


class Membership:
    """Adds and removes voters on the leader, and transfers leadership.

    Parameters
    ----------
    advance_commit
        Commits entries that a majority has synced; called after each change, because
        a single voter gets no reply that would do so.
    """

    def __init__(
        self, replica: AgreementState, advance_commit: Callable[[], Awaitable[None]]
    ) -> None:
        self._replica = replica
        self.advance_commit = advance_commit
        self._waiting: dict[int, Queue] = {}

    async def add_voter(self, name: str) -> Result[None, ChangeFailure]:
        """Make a caught-up learner a voter; return when the change is committed."""
        return await self._change(name, self._with_voter)

    async def remove_voter(self, name: str) -> Result[None, ChangeFailure]:
        """Remove an instance as voter; return when the change is committed."""
        return await self._change(name, self._without_voter)

    async def applied(self, index: int, voters: VoterSet) -> None:
        """Pass a committed voter set to the caller that waits for the change."""
        waiting = self._waiting.pop(index, None)
        if waiting is not None:
            await waiting.put(voters)

    async def repair(self, leading: LeaderState) -> None:
        """Replace a voter that lost its disk, or move the set towards its target size.

        The old disk identity is removed before the new one is added, and only once the
        new disk has every committed entry. So the set lacks the voter only briefly.
        """
        replica = self._replica
        target = replica.context.settings.target_voters
        async with replica.lock:
            voters = replica.log.voters
            if replica.role is not leading or not replica.settled(leading):
                return
            for name, progress in leading.peers.items():
                voter = progress.voter
                if voter is None or voter in voters.voters:
                    continue
                if not self._caught_up(leading, name):
                    continue
                if name in voters.names:
                    old = voters.voters[voters.names.index(name)]
                    # With a target size, any learner with a disk may become the voter.
                    without = voters.without(old, rejoining=target is None)
                    await self._append(leading, without)
                    return
                if name in voters.rejoining:
                    await self._append(leading, voters.including(voter))
                    return
            changed = self._towards_target(leading, voters)
            if changed is not None:
                _log.info(
                    "voters_changed", before=list(voters.names), to=list(changed.names)
                )
                await self._append(leading, changed)

    async def transfer_leadership(self) -> Result[None, NoLeader | NotLeader]:
        """Transfer leadership to the most up-to-date voter; Ok after stepping down."""
        replica = self._replica
        context = replica.context
        match replica.role:
            case LeaderState() as leading:
                successor = self._successor(leading)
            case _:
                return Error(NotLeader(replica.leader or ""))
        if successor is None:
            return Error(NoLeader())
        leading.handing_over = True
        deadline = context.clock.monotonic_time() + 2 * context.settings.lease
        while replica.role is leading and context.clock.monotonic_time() < deadline:
            if leading.matched.get(successor, 0) == replica.log.last_index:
                await context.link.send(successor.name, TakeOver(replica.log.term))
            await context.clock.sleep(_STEP)
        if replica.role is leading:
            async with replica.lock:
                if replica.role is leading:
                    replica.stop_leading()
        return Ok(None)

    def _towards_target(
        self, leading: LeaderState, voters: VoterSet
    ) -> VoterSet | None:
        """Return the next voter set towards the target size, or None if none is needed.

        A learner is added before a silent voter is removed, so that the learner also
        has the entries that are committed in between.
        """
        target = self._replica.context.settings.target_voters
        if target is None:
            return None
        silent = [voter for voter in voters.voters if self._is_silent(leading, voter)]
        if len(voters.voters) > target:
            others = [one for one in voters.voters if one != self._replica.me]
            return voters.without((silent or others)[-1], rejoining=False)
        spare = self._spare(leading, voters)
        if spare is not None and (silent or len(voters.voters) < target):
            return voters.including(spare)
        return None

    def _is_silent(self, leading: LeaderState, voter: Voter) -> bool:
        if voter == self._replica.me:
            return False
        clock, settings = (
            self._replica.context.clock,
            self._replica.context.settings,
        )
        progress = leading.peers.get(voter.name)
        heard_at = None if progress is None else progress.heard_at
        # Silence under a new leader counts from its election.
        since = max(heard_at or leading.since, leading.watching_since)
        return clock.monotonic_time() - since > settings.voter_replacement_delay

    def _spare(self, leading: LeaderState, voters: VoterSet) -> Voter | None:
        """Return a recently heard, caught-up learner with a disk, or None."""
        now = self._replica.context.clock.monotonic_time()
        failure_timeout = self._replica.context.settings.failure_timeout
        for name, progress in leading.peers.items():
            heard_at = progress.heard_at
            if (
                name in voters.names
                or heard_at is None
                or now - heard_at > failure_timeout
            ):
                continue
            if self._caught_up(leading, name):
                return progress.voter
        return None

    def _successor(self, leading: LeaderState) -> Voter | None:
        replica = self._replica
        now = replica.context.clock.monotonic_time()
        failure_timeout = replica.context.settings.failure_timeout
        best: Voter | None = None
        for progress in leading.peers.values():
            voter, heard_at = progress.voter, progress.heard_at
            if voter not in replica.log.voters.voters or voter is None:
                continue
            if heard_at is None or now - heard_at > failure_timeout:
                continue
            matched = leading.matched
            if best is None or matched.get(voter, 0) > matched.get(best, 0):
                best = voter
        return best

    async def _change(
        self,
        name: str,
        changed: Callable[[LeaderState, str], VoterSet | MembershipChangeRefused],
    ) -> Result[None, ChangeFailure]:
        replica = self._replica
        clock = replica.context.clock
        asked_at = clock.monotonic_time()
        answers = Queue()
        while True:
            async with replica.lock:
                match replica.role:
                    case LeaderState() as leading:
                        outcome = changed(leading, name)
                    case _:
                        return Error(NotLeader(replica.leader or ""))
                if isinstance(outcome, MembershipChangeRefused):
                    return Error(outcome)
                if not replica.settled(leading):
                    reason = "the last voter set or term start is not committed yet"
                    return Error(MembershipChangeRefused(name, reason))
                if self._answered_by_majority(leading, outcome, asked_at):
                    index = replica.log.last_index + 1
                    self._waiting[index] = answers
                    await self._append(leading, outcome)
                    break
            if (
                clock.monotonic_time() - asked_at
                > replica.context.settings.failure_timeout
            ):
                reason = "a majority of the new voter set does not answer"
                return Error(MembershipChangeRefused(name, reason))
            await clock.sleep(_STEP)
        limit = replica.context.settings.propose_limit
        done = await replica.context.clock.with_timeout(limit, answers.get())
        self._waiting.pop(index, None)
        match done:
            case Result(tag="ok", ok=voters) if voters == outcome:
                return Ok(None)
        return Error(ProposalUnconfirmed(f"voter {name}"))

    def _answered_by_majority(
        self, leading: LeaderState, voters: VoterSet, since: timedelta
    ) -> bool:
        """Return whether a majority of `voters` answered a message sent since a time.

        Voters are compared by their disk identity. A voter set is in force from the
        moment it is in the leader's log. Without a majority that answers, no instance
        could be elected any more: the leader's log is the longest, and too few voters
        of its set would grant their votes. An answer to a message from before `since`
        may come from a disk that was lost in the meantime.
        """
        contacted = leading.contacted
        answering = [voter for voter, at in contacted.items() if at >= since]
        return voters.is_quorum([self._replica.me, *answering])

    def _caught_up(self, leading: LeaderState, name: str) -> bool:
        progress = leading.peers.get(name)
        if progress is None or progress.voter is None or not progress.durable:
            return False
        return leading.matched.get(progress.voter, 0) >= self._replica.commit_index

    def _with_voter(
        self, leading: LeaderState, name: str
    ) -> VoterSet | MembershipChangeRefused:
        voters = self._replica.log.voters
        progress = leading.peers.get(name)
        if name in voters.names:
            return MembershipChangeRefused(name, "it is already a voter")
        if progress is None or progress.voter is None:
            return MembershipChangeRefused(name, "the leader got no reply from it")
        if not self._caught_up(leading, name):
            return MembershipChangeRefused(name, "it has no disk or is not caught up")
        return voters.including(progress.voter)

    def _without_voter(
        self, leading: LeaderState, name: str
    ) -> VoterSet | MembershipChangeRefused:
        voters = self._replica.log.voters
        if name not in voters.names:
            return MembershipChangeRefused(name, "it is not a voter")
        if name == self._replica.context.name:
            return MembershipChangeRefused(name, "it leads; transfer leadership first")
        return voters.without(voters.voters[voters.names.index(name)], rejoining=False)

    async def _append(self, leading: LeaderState, voters: VoterSet) -> None:
        replica = self._replica
        index, term = replica.log.last_index + 1, replica.log.term
        entry = Entry(index, term, EntryKind.VOTERS, None, voters)
        await replica.append(leading, [entry])
        await self.advance_commit()
