"""Public interface and tasks of the replicated log on one instance."""

from collections.abc import Mapping
from datetime import timedelta

from curio import Queue, TaskGroup
from expression import Error, Ok, Result

from lovagetray._errors import Failure, LogCorrupted, NoLeader, NotLeader
from lovagetray._log_entries import Proposal, Voter, VoterSet
from lovagetray._peer_messages import (
    AgreementMessage,
    AppendEntries,
    AppendReply,
    ForwardProposal,
    ProposalAccepted,
    ProposalRefused,
    SnapshotChunk,
    SnapshotReply,
    TakeOver,
    VoteReply,
    VoteRequest,
)
from lovagetray.commands.agreement._agreement_context import AgreementContext
from lovagetray.commands.agreement._agreement_state import AgreementState
from lovagetray.commands.agreement._applier import Applier
from lovagetray.commands.agreement._disk import NoDisk
from lovagetray.commands.agreement._durable_log import DurableLog
from lovagetray.commands.agreement._election import Election
from lovagetray.commands.agreement._follower import Follower
from lovagetray.commands.agreement._membership import ChangeFailure, Membership
from lovagetray.commands.agreement._outcomes import Outcomes
from lovagetray.commands.agreement._proposals import Proposals
from lovagetray.commands.agreement._protocols import Disk, StateMachine
from lovagetray.commands.agreement._replication import Replication
from lovagetray.commands.agreement._roles import LeaderState


class Agreement:
    """The replicated log on one instance; created by `open`."""

    def __init__(self, state: AgreementState, machine: StateMachine) -> None:
        self._state = state
        outcomes = Outcomes(state.context.settings.retention)
        self._replication = Replication(state)
        self._membership = Membership(state, self._replication.advance_commit)
        self._proposals = Proposals(state, outcomes, self._replication)
        applier = Applier(
            state,
            machine,
            outcomes,
            self._proposals.deliver_outcome,
            self._membership.voters_applied,
        )
        self._applier = applier
        self._follower = Follower(state, applier)
        self._election = Election(state, self._membership)
        self._inbox = Queue()
        self._group: TaskGroup | None = None

    @classmethod
    async def open(
        cls,
        context: AgreementContext,
        disk: Disk | None,
        machine: StateMachine,
        state_type: type[AgreementState] = AgreementState,
    ) -> Result["Agreement", LogCorrupted]:
        """Open the log on a disk; its tasks start with `run`.

        Parameters
        ----------
        disk
            None for a learner that keeps no state over a restart.
        machine
            State machine in its initial state; restored from the last snapshot, if any.
        """
        durable = disk is not None
        opened = await DurableLog.open(
            disk or NoDisk(), lambda: f"{context.random.getrandbits(128):032x}"
        )
        match opened:
            case Result(tag="ok", ok=log):
                context = context._replace(durable=durable)
                return Ok(cls(state_type(context, log), machine))
            case Result(error=failure):
                return Error(failure)

    @property
    def applied_index(self) -> int:
        """Index of the last entry that the state machine has applied."""
        return self._state.applied_index

    @property
    def commit_index(self) -> int:
        """Index of the last entry that is known to be committed."""
        return self._state.commit_index

    @property
    def leader(self) -> str | None:
        """Name of the leader of the current term, or None if unknown."""
        return self._state.leader

    @property
    def term(self) -> int:
        """Current term of this instance."""
        return self._state.log.term

    @property
    def live(self) -> tuple[str, ...]:
        """Names of the instances that the leader counts as live, sorted."""
        return self._state.live

    @property
    def voter(self) -> Voter:
        """Name and disk identity of this instance."""
        return self._state.voter

    @property
    def voters(self) -> VoterSet:
        """Newest voter set in this instance's log, committed or not."""
        return self._state.log.voters

    @property
    def voters_committed(self) -> bool:
        """Whether the newest voter set in this instance's log is committed."""
        return self._state.commit_index >= self._state.log.voters_index

    @property
    def applied_indexes(self) -> Mapping[str, int]:
        """Last applied index by instance; on followers only this instance's own."""
        own = {self._state.context.name: self.applied_index}
        match self._state.role:
            case LeaderState(peers=peers):
                return {name: peer.applied_index for name, peer in peers.items()} | own
        return own

    def lease_valid(self) -> bool:
        """Return whether the leader confirmed this instance as live within a lease."""
        return self._state.lease_valid()

    def quorum_contact_age(self) -> timedelta | None:
        """Return the time since a majority last confirmed this instance, or None."""
        return self._state.quorum_contact_age()

    def serves_linearizable_reads(self) -> bool:
        """Return whether this instance leads and has applied all accepted changes."""
        return self._state.serves_linearizable_reads()

    def state_confirmed_at(self) -> timedelta | None:
        """Return a time until which all accepted changes are applied here, if any."""
        return self._state.state_confirmed_at()

    def caught_up_since_start(self) -> bool:
        """Return whether all changes accepted before this start are applied here."""
        return self._state.caught_up_since_start()

    async def propose(self, proposal: Proposal) -> Result[bytes, Failure]:
        """Propose a change and wait for its outcome.

        A resend with the same request id, time and body gets the first outcome.

        Returns
        -------
        Result
            The outcome, once the change is committed and applied here or on the leader,
            or a failure. Unless `proves_not_run` is true for the failure, the change
            may still be applied.
        """
        return await self._proposals.propose(proposal)

    async def add_voter(self, name: str) -> Result[None, ChangeFailure]:
        """Make a caught-up learner with a disk a voter; only on the leader."""
        return await self._membership.add_voter(name)

    async def remove_voter(self, name: str) -> Result[None, ChangeFailure]:
        """Remove an instance from the voter set; only on the leader."""
        return await self._membership.remove_voter(name)

    async def transfer_leadership(self) -> Result[None, NoLeader | NotLeader]:
        """Transfer leadership to another voter, if this instance leads."""
        return await self._membership.transfer_leadership()

    async def add_peer(self, name: str) -> None:
        """Replicate to one more instance, a learner until it becomes a voter."""
        if name in self._state.peers or name == self._state.context.name:
            return
        self._state.add_peer(name)
        if self._group is not None:
            await self._group.spawn(self._replication.run_peer, name)

    async def feed(self, name: str) -> None:
        """Start to send the log to a peer, if this instance feeds it by now."""
        if name in self._state.idle_peers:
            await self._state.wake_peer(name)

    async def handle(self, sender: str, message: AgreementMessage) -> None:
        """Queue a message from another instance; never waits for the disk."""
        await self._inbox.put((sender, message))

    async def run(self) -> None:
        """Run the tasks until cancelled; a disk error ends them all and is raised.

        Tasks: message inbox, election, proposal writer, applier, and one replication
        task for each peer.
        """
        async with TaskGroup(wait=any) as group:
            self._group = group
            await group.spawn(self._receive)
            await group.spawn(self._election.run)
            await group.spawn(self._proposals.run)
            await group.spawn(self._applier.run)
            for name in self._state.peers:
                await group.spawn(self._replication.run_peer, name)
        if group.exception is not None:
            raise group.exception

    async def _receive(self) -> None:
        while True:
            sender, message = await self._inbox.get()
            match message:
                case AppendEntries():
                    await self._follower.handle_append_entries(sender, message)
                case AppendReply():
                    await self._replication.handle_append_reply(sender, message)
                case SnapshotChunk():
                    await self._follower.handle_snapshot_chunk(sender, message)
                case SnapshotReply():
                    await self._replication.handle_snapshot_reply(sender, message)
                case VoteRequest():
                    await self._follower.handle_vote_request(sender, message)
                case VoteReply():
                    await self._election.handle_vote_reply(message)
                case TakeOver():
                    await self._election.handle_take_over(message)
                case ForwardProposal():
                    await self._proposals.handle_forwarded(sender, message)
                case ProposalAccepted():
                    await self._proposals.handle_accepted(message)
                case ProposalRefused():
                    await self._proposals.handle_refused(message)
