"""The ledger of non-idempotent requests, kept in the replicated log."""

from datetime import timedelta

from curio import Queue
from expression import Error, Result

from lovagetray._clock import Clock
from lovagetray._errors import Failure, OutcomeUnknown, ProposalUnconfirmed
from lovagetray._log_entries import Proposal
from lovagetray._proposals import Proposer
from lovagetray.state import (
    EffectKey,
    EffectOutcome,
    Ledger,
    LedgerCommand,
    LedgerReply,
    ReleaseEffect,
)
from lovagetray.wire import decode_ledger_reply, encode_ledger_command

_OUTCOME_POLL_INTERVAL = timedelta(milliseconds=20)
_RELEASE_RETRY_INTERVAL = timedelta(seconds=1)
_RELEASE_TIMEOUT = timedelta(seconds=5)


class ReplicatedLedger:
    """Proposals of ledger commands, and reads of this instance's ledger."""

    def __init__(self, ledger: Ledger, proposer: Proposer, clock: Clock) -> None:
        self._ledger = ledger
        self._proposer = proposer
        self._clock = clock
        self._releases: Queue = Queue()

    async def propose(
        self, command: LedgerCommand, timeout: timedelta
    ) -> Result[LedgerReply, Failure]:
        """Return the ledger's reply to a command that is committed within `timeout`."""
        body = encode_ledger_command(command)
        proposal = Proposal(_request_id(command), self._clock.now(), body)
        reply = await self._clock.with_timeout(
            timeout, self._proposer.propose(proposal)
        )
        match reply:
            case Result(tag="ok", ok=Result(tag="ok", ok=encoded)):
                return _decode_reply(encoded, proposal.request_id)
            case Result(tag="ok", ok=Result(error=failure)):
                return Error(failure)
            case _:
                return Error(ProposalUnconfirmed(proposal.request_id))

    async def wait_for_outcome(
        self, key: EffectKey, timeout: timedelta
    ) -> EffectOutcome | None:
        """Return the outcome once it is recorded, or None after `timeout`."""
        deadline = self._clock.monotonic_time() + timeout
        while self._clock.monotonic_time() < deadline:
            entry = self._ledger.entry(key)
            if entry is not None and entry.outcome is not None:
                return entry.outcome
            await self._clock.sleep(_OUTCOME_POLL_INTERVAL)
        return None

    async def release_later(self, command: ReleaseEffect) -> None:
        """Commit a release in the background, retried until it succeeds."""
        await self._releases.put(command)

    async def run(self) -> None:
        """Commit the queued releases one after the other, until cancelled."""
        while True:
            command = await self._releases.get()
            while (await self.propose(command, _RELEASE_TIMEOUT)).is_error():
                await self._clock.sleep(_RELEASE_RETRY_INTERVAL)


def _request_id(command: LedgerCommand) -> str:
    attempt = getattr(command, "attempt", None)
    attempt_id = "" if attempt is None else attempt.attempt_id
    return f"ledger:{type(command).__name__}:{attempt_id}"


def _decode_reply(encoded: bytes, request_id: str) -> Result[LedgerReply, Failure]:
    match decode_ledger_reply(encoded):
        case Result(tag="ok") as reply:
            return reply
        case _:
            return Error(OutcomeUnknown(request_id))
