"""Application of committed entries to the state machine, in order."""

from collections.abc import Awaitable, Callable

from expression import Ok, Result

from lovagetray._errors import Failure
from lovagetray._log_entries import (
    ApplyProposal,
    LogSnapshot,
    Proposal,
    SetVoters,
    VoterSet,
)
from lovagetray.commands.agreement._agreement_state import AgreementState
from lovagetray.commands.agreement._outcomes import Outcomes
from lovagetray.commands.agreement._protocols import StateMachine

DeliverOutcome = Callable[[Proposal, Result[bytes, Failure]], Awaitable[None]]
VotersApplied = Callable[[int, VoterSet], Awaitable[None]]


class Applier:
    """The task that applies committed entries, takes snapshots and restores them.

    Parameters
    ----------
    deliver_outcome
        Called with each applied proposal and its outcome.
    voters_applied
        Called with each committed voter set and its index.
    """

    def __init__(
        self,
        state: AgreementState,
        machine: StateMachine,
        outcomes: Outcomes,
        deliver_outcome: DeliverOutcome,
        voters_applied: VotersApplied,
    ) -> None:
        self._state = state
        self._machine = machine
        self._outcomes = outcomes
        self._deliver_outcome = deliver_outcome
        self._voters_applied = voters_applied
        if state.log.base_index:
            self._load(state.log.snapshot)

    async def run(self) -> None:
        """Apply entries once they are committed, and take snapshots."""
        state = self._state
        entries_per_snapshot = state.context.settings.entries_per_snapshot
        while True:
            await state.committed.wait()
            state.committed.clear()
            while state.applied_index < state.commit_index:
                await self._apply_next()
                if state.applied_index - state.log.base_index >= entries_per_snapshot:
                    await self._take_snapshot()

    async def restore(self, snapshot: LogSnapshot) -> None:
        """Replace the state by a snapshot of the leader; the caller holds `lock`."""
        self._load(snapshot)
        self._state.record_applied(snapshot.log_index)

    def _load(self, snapshot: LogSnapshot) -> None:
        self._machine.restore(snapshot.state)
        self._outcomes.restore(snapshot.latest_at, snapshot.outcomes)

    async def _apply_next(self) -> None:
        index = self._state.applied_index + 1
        match self._state.log.entry(index).command:
            case ApplyProposal(proposal=proposal):
                result = self._outcome_of(index, proposal)
                self._state.record_applied(index)
                await self._deliver_outcome(proposal, result)
            case SetVoters(voters=voters):
                self._state.record_applied(index)
                await self._voters_applied(index, voters)
            case _:
                self._state.record_applied(index)

    def _outcome_of(self, index: int, proposal: Proposal) -> Result[bytes, Failure]:
        existing = self._outcomes.existing_outcome(proposal)
        if existing is not None:
            return existing
        reply = self._machine.apply(index, proposal.at, proposal.body)
        self._outcomes.record(proposal, reply)
        return Ok(reply)

    async def _take_snapshot(self) -> None:
        state = self._state
        async with state.lock:
            index = state.applied_index
            if index <= state.log.base_index:
                return
            snapshot = LogSnapshot(
                index,
                state.log.term_at(index),
                state.log.voters_at(index),
                self._outcomes.latest_at,
                self._outcomes.records,
                self._machine.snapshot(),
            )
            await state.log.compact(snapshot)
