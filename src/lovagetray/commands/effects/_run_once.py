"""Runs non-idempotent requests at most once."""

from datetime import datetime, timedelta
from hashlib import sha256
from typing import NamedTuple, Protocol
from uuid import uuid4

from expression import Error, Ok, Result
from structlog import get_logger
from xxhash import xxh64_intdigest

from lovagetray._clock import Clock
from lovagetray._errors import (
    Failure,
    KeyConflict,
    KeyExpired,
    LedgerUnavailable,
    OutcomeUnknown,
    UnknownService,
    proves_not_run,
)
from lovagetray._violations import SentTwice, Violations
from lovagetray.state import (
    AlreadyBegun,
    AlreadyFinished,
    AlreadyLost,
    Attempt,
    BeginEffect,
    Begun,
    EffectDone,
    EffectKey,
    EffectOutcome,
    EffectUnknown,
    FinishEffect,
    IssuedTooEarly,
    IssuedTooLate,
    KeyReused,
    LedgerCommand,
    LedgerReply,
    LoseEffect,
    ReleaseEffect,
    TargetDirectory,
)

_log = get_logger()
# Time that remains to record the outcome if the target answers at the last moment.
_RECORD_MARGIN = timedelta(milliseconds=50)
_MAX_TARGETS_TRIED = 3


class EffectRequest(NamedTuple):
    """A caller's non-idempotent request.

    Parameters
    ----------
    key
        The caller's idempotency key, the same in every resend.
    issued_at
        Time at which the caller first issued the request, the same in every resend.
    time_left
        Remaining time until the caller's deadline.
    """

    request_id: str
    service: str
    member: str
    key: str
    issued_at: datetime
    body: str
    time_left: timedelta


class EffectAnswer(NamedTuple):
    """The outcome of a request, and whether another attempt produced it."""

    outcome: EffectOutcome
    repeated: bool


class LedgerProposer(Protocol):
    """Interface of the replicated ledger to a runner."""

    async def propose(
        self, command: LedgerCommand, timeout: timedelta
    ) -> Result[LedgerReply, Failure]:
        """Commit a command within `timeout` and return the ledger's reply."""

    async def wait_for_outcome(
        self, key: EffectKey, timeout: timedelta
    ) -> EffectOutcome | None:
        """Return the outcome once it is recorded, or None after `timeout`."""

    async def release_later(self, command: ReleaseEffect) -> None:
        """Commit a release in the background, retried until it succeeds."""


class EffectSender(Protocol):
    """Interface that runs a request on a target, through the owner of the replica."""

    async def execute(
        self, request: EffectRequest, target: str, timeout: timedelta
    ) -> Result[str, Failure]:
        """Return the target's answer; a failure tells whether it may have run."""


class EffectRunner:
    """Runner of non-idempotent requests.

    Each call of `run` is executed in the task of the caller's connection.
    """

    def __init__(
        self,
        instance: str,
        directory: TargetDirectory,
        ledger: LedgerProposer,
        sender: EffectSender,
        clock: Clock,
        violations: Violations,
    ) -> None:
        self._instance = instance
        self._directory = directory
        self._ledger = ledger
        self._sender = sender
        self._clock = clock
        self._violations = violations
        self._sent: set[str] = set()

    async def run(self, request: EffectRequest) -> Result[EffectAnswer, Failure]:
        """Return the outcome of a request; run it unless another attempt began it.

        Returns
        -------
        Result
            The outcome, or a failure. `not_run` of the failure is true only if the
            request did not run and may be sent again with the same key.
        """
        deadline = self._clock.monotonic_time() + request.time_left
        if not self._targets(request):
            return Error(UnknownService(request.service))
        key = EffectKey(request.service, request.key)
        attempt = Attempt(self._instance, uuid4().hex)
        begin = BeginEffect(key, _fingerprint(request), request.issued_at, attempt)
        reply = await self._ledger.propose(begin, self._time_left(deadline))
        match reply:
            case Result(tag="ok", ok=Begun()):
                return await self._try_targets(request, key, attempt, deadline)
            case Result(tag="ok", ok=AlreadyFinished(body=body)):
                return Ok(EffectAnswer(EffectDone(body), repeated=True))
            case Result(tag="ok", ok=AlreadyLost()):
                return Ok(EffectAnswer(EffectUnknown(), repeated=True))
            case Result(tag="ok", ok=AlreadyBegun()):
                return await self._await_other_attempt(key, deadline)
            case Result(tag="ok", ok=KeyReused()):
                return Error(KeyConflict(request.key))
            case Result(tag="ok", ok=IssuedTooEarly() | IssuedTooLate()):
                return Error(KeyExpired(request.key))
            case Result(tag="error", error=failure):
                # `begin` may have been committed, but nothing was sent to a target.
                await self._ledger.release_later(ReleaseEffect(key, attempt))
                _log.warning("effect_not_recorded", key=request.key, cause=failure.code)
                return Error(LedgerUnavailable(request.key))
            case _:
                return Error(OutcomeUnknown(request.key))

    async def _try_targets(
        self,
        request: EffectRequest,
        key: EffectKey,
        attempt: Attempt,
        deadline: timedelta,
    ) -> Result[EffectAnswer, Failure]:
        failure: Failure = UnknownService(request.service)
        for target in self._targets(request)[:_MAX_TARGETS_TRIED]:
            timeout = self._time_left(deadline) - _RECORD_MARGIN
            if timeout <= timedelta(0):
                break
            self._check_first_send(attempt)
            result = await self._sender.execute(request, target, timeout)
            match result:
                case Result(tag="ok", ok=body):
                    finish = FinishEffect(key, attempt, body)
                    return await self._finish(finish, EffectDone(body), deadline)
                case Result(error=failure):
                    if not proves_not_run(failure):
                        _log.warning(
                            "effect_outcome_unknown",
                            key=request.key,
                            cause=failure.code,
                        )
                        lose = LoseEffect(key, attempt)
                        return await self._finish(lose, EffectUnknown(), deadline)
                    self._sent.discard(attempt.attempt_id)
        await self._ledger.release_later(ReleaseEffect(key, attempt))
        return Error(failure)

    async def _finish(
        self,
        command: FinishEffect | LoseEffect,
        outcome: EffectOutcome,
        deadline: timedelta,
    ) -> Result[EffectAnswer, Failure]:
        """Record and return an outcome; return it even if it cannot be recorded."""
        self._sent.discard(command.attempt.attempt_id)
        timeout = max(self._time_left(deadline), _RECORD_MARGIN)
        recorded = await self._ledger.propose(command, timeout)
        if recorded.is_error():
            _log.warning("effect_outcome_not_recorded", key=command.key.key)
        return Ok(EffectAnswer(outcome, repeated=False))

    async def _await_other_attempt(
        self, key: EffectKey, deadline: timedelta
    ) -> Result[EffectAnswer, Failure]:
        """Return the outcome of another attempt once it is recorded.

        The outcome is `EffectUnknown` if it is not recorded in time for the deadline.
        """
        timeout = self._time_left(deadline) - _RECORD_MARGIN
        outcome = await self._ledger.wait_for_outcome(key, timeout)
        return Ok(EffectAnswer(outcome or EffectUnknown(), repeated=True))

    def _check_first_send(self, attempt: Attempt) -> None:
        if attempt.attempt_id in self._sent:
            self._violations.report(SentTwice(attempt.attempt_id))
        self._sent.add(attempt.attempt_id)

    def _targets(self, request: EffectRequest) -> list[str]:
        """Return the usable targets of the service, in the order to try them.

        They are sorted by a hash of idempotency key and target, which spreads requests
        evenly. Load reports are not used, because they lag behind the load.
        """
        now = self._clock.monotonic_time()
        usable = [
            listing.announcement.target
            for listing in self._directory.listings(request.service)
            if self._directory.usable(listing, now)
        ]

        def rank(target: str) -> int:
            return xxh64_intdigest(f"{request.key}\0{target}".encode())

        return sorted(usable, key=rank)

    def _time_left(self, deadline: timedelta) -> timedelta:
        return max(timedelta(0), deadline - self._clock.monotonic_time())


def _fingerprint(request: EffectRequest) -> str:
    text = "\0".join((request.service, request.member, request.body))
    return sha256(text.encode()).hexdigest()
