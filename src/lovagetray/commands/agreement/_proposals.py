"""Proposals: submission on any instance, resends, and delivery of outcomes."""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from curio import Queue
from expression import Error, Ok, Result

from lovagetray._errors import (
    Failure,
    NoLeader,
    NotLeader,
    ProposalTimeRefused,
    ProposalUnconfirmed,
    QuorumLost,
    RequestTooLarge,
)
from lovagetray._log_entries import Entry, EntryKind, Proposal
from lovagetray._peer_messages import (
    ForwardProposal,
    ProposalAccepted,
    ProposalRefused,
)
from lovagetray._violations import TwoOutcomes
from lovagetray.commands.agreement._agreement_state import AgreementState
from lovagetray.commands.agreement._outcomes import Outcomes
from lovagetray.commands.agreement._replication import Replication
from lovagetray.commands.agreement._roles import LeaderState
from lovagetray.wire import decode_failure_frame, encode_failure_frame

_ZERO = timedelta(0)


class SubmittedTo(Enum):
    """The place to which an attempt submitted a proposal."""

    NOWHERE = "nowhere"
    TO_OWN_LOG = "to_own_log"
    TO_PEER = "to_peer"


class Submission(NamedTuple):
    """A proposal that waits to be written to the log.

    Parameters
    ----------
    origin
        Name of the instance that forwarded it, or None if proposed on this one.
    """

    proposal: Proposal
    origin: str | None


class Proposals:
    """Proposals of this instance and, on the leader, of all instances."""

    def __init__(
        self, state: AgreementState, outcomes: Outcomes, replication: Replication
    ) -> None:
        self._state = state
        self._outcomes = outcomes
        self._replication = replication
        self._submitted = Queue()
        self._waiting: dict[tuple[str, bytes], list[Queue]] = {}

    async def propose(self, proposal: Proposal) -> Result[bytes, Failure]:
        """Return the outcome of a proposal, or the failure.

        The proposal is resent under the same request id until `proposal_timeout` has
        passed.
        """
        settings = self._state.context.settings
        if len(proposal.body) > settings.proposal_bytes:
            return Error(RequestTooLarge(settings.proposal_bytes))
        key = proposal.request_id, proposal.digest
        results = Queue()
        self._waiting.setdefault(key, []).append(results)
        try:
            return await self._await_outcome(proposal, results)
        finally:
            self._waiting[key].remove(results)
            if not self._waiting[key]:
                del self._waiting[key]

    async def run(self) -> None:
        """Write submitted proposals to the log; all that wait share one disk sync."""
        while True:
            batch = [await self._submitted.get()]
            for _ in range(self._submitted.qsize()):
                batch.append(await self._submitted.get())
            await self._write(batch)

    async def handle_forwarded(self, sender: str, message: ForwardProposal) -> None:
        """Queue a proposal that another instance forwarded."""
        submission = Submission(message.proposal, sender)
        await self._submitted.put(submission)

    async def handle_accepted(self, message: ProposalAccepted) -> None:
        """Deliver the leader's outcome to the callers that wait for it."""
        record = self._outcomes.find_record(message.request_id)
        if record is not None:
            if (record.digest, record.reply) != (message.digest, message.reply):
                violation = TwoOutcomes(message.request_id)
                self._state.context.violations.report(violation)
        key = message.request_id, message.digest
        await self._deliver(key, Ok(message.reply))

    async def handle_refused(self, message: ProposalRefused) -> None:
        """Deliver the leader's refusal to the callers that wait for an outcome."""
        failure = decode_failure_frame(message.failure)
        if failure is not None:
            key = message.request_id, message.digest
            await self._deliver(key, Error(failure))

    async def deliver_outcome(
        self, proposal: Proposal, result: Result[bytes, Failure]
    ) -> None:
        """Deliver the outcome of an applied proposal to all that wait for it."""
        key = proposal.request_id, proposal.digest
        await self._deliver(key, result)
        match self._state.role:
            case LeaderState() as leader_state:
                leader_state.in_flight.discard(key)
                for origin in sorted(leader_state.origins.pop(key, ())):
                    await self._reply(origin, proposal, result)

    async def _await_outcome(
        self, proposal: Proposal, results: Queue
    ) -> Result[bytes, Failure]:
        clock = self._state.context.clock
        settings = self._state.context.settings
        deadline = clock.monotonic_time() + settings.proposal_timeout
        maybe_appended = False
        refusal: Failure = NoLeader()
        while (time_left := deadline - clock.monotonic_time()) > _ZERO:
            existing = self._outcomes.existing_outcome(proposal)
            if existing is not None:
                return existing
            destination = await self._send_to_leader(proposal)
            # The transport may deliver a message twice, and the second may be refused
            # after the first was appended. So the refusal of a forwarded proposal does
            # not prove that the proposal was not appended.
            maybe_appended = maybe_appended or destination is SubmittedTo.TO_PEER
            timeout = (
                settings.heartbeat
                if destination is SubmittedTo.NOWHERE
                else settings.proposal_attempt_timeout
            )
            match await clock.with_timeout(min(time_left, timeout), results.get()):
                case Result(tag="ok", ok=Result(tag="ok", ok=reply)):
                    return Ok(reply)
                case Result(
                    tag="ok",
                    ok=Result(error=NoLeader() | NotLeader() | QuorumLost() as failure),
                ):
                    refusal = failure
                    await clock.sleep(min(time_left, settings.heartbeat))
                case Result(tag="ok", ok=Result(error=failure)):
                    return Error(failure)
                case _:
                    maybe_appended = (
                        maybe_appended or destination is SubmittedTo.TO_OWN_LOG
                    )
        if maybe_appended:
            return Error(ProposalUnconfirmed(proposal.request_id))
        return Error(refusal)

    async def _send_to_leader(self, proposal: Proposal) -> SubmittedTo:
        """Submit a proposal here if this instance leads, else forward it."""
        state = self._state
        leader = state.leader
        if leader is None:
            return SubmittedTo.NOWHERE
        if leader == state.context.name:
            await self._submitted.put(Submission(proposal, None))
            return SubmittedTo.TO_OWN_LOG
        await state.context.transport.send(leader, ForwardProposal(proposal))
        return SubmittedTo.TO_PEER

    async def _write(self, batch: list[Submission]) -> None:
        state = self._state
        decided: list[tuple[Submission, Result[bytes, Failure]]] = []
        entries: list[Entry] = []
        async with state.lock:
            for submission in batch:
                decision = self._decide(submission)
                if decision is not None:
                    decided.append((submission, decision))
                elif self._register(submission):
                    index = state.log.last_index + 1 + len(entries)
                    kind, proposal = EntryKind.PROPOSAL, submission.proposal
                    entries.append(Entry(index, state.log.term, kind, proposal))
            match state.role:
                case LeaderState() as leader_state if entries:
                    await state.append(leader_state, entries)
                    await self._replication.advance_commit()
        for submission, result in decided:
            await self._answer(submission, result)

    def _decide(self, submission: Submission) -> Result[bytes, Failure] | None:
        """Return the outcome that a submission already has, or None to append it."""
        state, proposal = self._state, submission.proposal
        existing = self._outcomes.existing_outcome(proposal)
        if existing is not None:
            return existing
        match state.role:
            case LeaderState() as leader_state:
                pass
            case _:
                return Error(NotLeader(state.leader or ""))
        if leader_state.transferring:
            return Error(NoLeader())
        if not state.has_quorum(leader_state):
            state.step_down()
            return Error(QuorumLost())
        clock, settings = state.context.clock, state.context.settings
        if proposal.at > clock.now() + settings.clock_tolerance:
            return Error(ProposalTimeRefused(proposal.request_id))
        return None

    def _register(self, submission: Submission) -> bool:
        """Record the origin; return whether the proposal is not in the log yet."""
        key = submission.proposal.request_id, submission.proposal.digest
        match self._state.role:
            case LeaderState(origins=origins, in_flight=in_flight):
                if submission.origin is not None:
                    origins.setdefault(key, set()).add(submission.origin)
                if key in in_flight:
                    return False
                in_flight.add(key)
                return True
        return False

    async def _answer(
        self, submission: Submission, result: Result[bytes, Failure]
    ) -> None:
        proposal = submission.proposal
        if submission.origin is None:
            await self._deliver((proposal.request_id, proposal.digest), result)
        else:
            await self._reply(submission.origin, proposal, result)

    async def _reply(
        self, origin: str, proposal: Proposal, result: Result[bytes, Failure]
    ) -> None:
        transport = self._state.context.transport
        request_id, digest = proposal.request_id, proposal.digest
        match result:
            case Result(tag="ok", ok=reply):
                await transport.send(
                    origin, ProposalAccepted(request_id, digest, reply)
                )
            case Result(error=failure):
                frame = encode_failure_frame(failure)
                await transport.send(origin, ProposalRefused(request_id, digest, frame))

    async def _deliver(
        self, key: tuple[str, bytes], result: Result[bytes, Failure]
    ) -> None:
        for results in self._waiting.get(key, []):
            await results.put(result)
