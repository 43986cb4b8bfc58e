"""Applies committed entries to the state machine, in order."""

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

Settle = Callable[[Proposal, Result[bytes, Failure]], Awaitable[None]]
VotersApplied = Callable[[int, VoterSet], Awaitable[None]]


class Applier:
    """Applies committed entries, and takes and restores snapshots.

    Parameters
    ----------
    settle
        Called with each applied proposal and its outcome.
    voters_applied
        Called with each committed voter set and its index.
    """

    def __init__(
        self,
        replica: AgreementState,
        machine: StateMachine,
        outcomes: Outcomes,
        settle: Settle,
        voters_applied: VotersApplied,
    ) -> None:
        self._replica = replica
        self._machine = machine
        self._outcomes = outcomes
        self._settle = settle
        self._voters_applied = voters_applied
        if replica.log.base_index:
            self._load(replica.log.snapshot)

    async def run(self) -> None:
        """Apply entries once they are committed, and take snapshots."""
        replica = self._replica
        every = replica.context.settings.snapshot_every
        while True:
            await replica.committed.wait()
            replica.committed.clear()
            while replica.applied_index < replica.commit_index:
                await self._apply_next()
                if replica.applied_index - replica.log.base_index >= every:
                    await self._take_snapshot()

    async def restore(self, snapshot: LogSnapshot) -> None:
        """Replace the state by the leader's snapshot; the caller holds the lock."""
        self._load(snapshot)
        self._replica.applied(snapshot.log_index)

    def _load(self, snapshot: LogSnapshot) -> None:
        self._machine.restore(snapshot.state)
        self._outcomes.restore(snapshot.latest_at, snapshot.outcomes)

    async def _apply_next(self) -> None:
        index = self._replica.applied_index + 1
        match self._replica.log.entry(index).command:
            case ApplyProposal(proposal=proposal):
                result = self._outcome_of(index, proposal)
                self._replica.applied(index)
                await self._settle(proposal, result)
            case SetVoters(voters=voters):
                self._replica.applied(index)
                await self._voters_applied(index, voters)
            case _:
                self._replica.applied(index)

    def _outcome_of(self, index: int, proposal: Proposal) -> Result[bytes, Failure]:
        known = self._outcomes.known(proposal)
        if known is not None:
            return known
        reply = self._machine.apply(index, proposal.at, proposal.body)
        self._outcomes.record(proposal, reply)
        return Ok(reply)

    async def _take_snapshot(self) -> None:
        replica = self._replica
        async with replica.lock:
            index = replica.applied_index
            if index <= replica.log.base_index:
                return
            snapshot = LogSnapshot(
                index,
                replica.log.term_at(index),
                replica.log.voters_at(index),
                self._outcomes.latest_at,
                self._outcomes.records,
                self._machine.snapshot(),
            )
            await replica.log.compact(snapshot)
