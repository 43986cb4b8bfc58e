"""The replicated record of non-idempotent requests and their outcomes."""

from datetime import datetime, timedelta, timezone
from enum import Enum
from typing import NamedTuple

from msgspec import Struct

from lovagetray._violations import SentTwice, Violations

_EARLIEST = datetime.min.replace(tzinfo=timezone.utc)
# A caller's clock may be ahead; a request issued later than this is refused.
_CLOCK_TOLERANCE = timedelta(minutes=5)


class EffectKey(NamedTuple):
    """What identifies a non-idempotent request for good."""

    service: str
    key: str


class Attempt(NamedTuple):
    """One instance's right to run a request once.

    Parameters
    ----------
    attempt_id
        Unique for each try to begin, also over restarts of an instance.
    """

    instance: str
    attempt_id: str


class EffectDone(Struct, frozen=True):
    """The request ran; `body` is what the target answered."""

    body: str


class EffectUnknown(Struct, frozen=True):
    """The request was started and its outcome is not known."""


EffectOutcome = EffectDone | EffectUnknown


class BeginEffect(Struct, frozen=True):
    """Asks for the right to run a request.

    Parameters
    ----------
    fingerprint
        Digest of everything in the request that a resend must repeat.
    issued_at
        When the caller issued the request, by the caller's clock.
    """

    key: EffectKey
    fingerprint: str
    issued_at: datetime
    attempt: Attempt


class FinishEffect(Struct, frozen=True):
    """Records what the target answered to a request that was begun."""

    key: EffectKey
    attempt: Attempt
    body: str


class LoseEffect(Struct, frozen=True):
    """Records that a request was begun and its outcome is not known."""

    key: EffectKey
    attempt: Attempt


class ReleaseEffect(Struct, frozen=True):
    """Gives the right to run a request back; it is proved not to have run."""

    key: EffectKey
    attempt: Attempt


class ChangeRetention(Struct, frozen=True):
    """Sets how long outcomes are kept."""

    retention: timedelta


LedgerCommand = (
    BeginEffect | FinishEffect | LoseEffect | ReleaseEffect | ChangeRetention
)


class Begun(Struct, frozen=True):
    """The attempt may run the request, once."""


class AlreadyBegun(Struct, frozen=True):
    """Another attempt has begun; its outcome is not recorded yet."""

    attempt: Attempt


class AlreadyFinished(Struct, frozen=True):
    """The request ran; `body` is what the target answered."""

    body: str


class AlreadyLost(Struct, frozen=True):
    """The request was begun and its outcome is not known."""


class KeyReused(Struct, frozen=True):
    """The key belongs to a request with other contents."""


class IssuedTooEarly(Struct, frozen=True):
    """The request is older than the outcomes that are kept."""

    horizon: datetime


class IssuedTooLate(Struct, frozen=True):
    """The request claims to be issued in the future."""


class Recorded(Struct, frozen=True):
    """The command took effect, or had done so before."""


LedgerReply = (
    Begun
    | AlreadyBegun
    | AlreadyFinished
    | AlreadyLost
    | KeyReused
    | IssuedTooEarly
    | IssuedTooLate
    | Recorded
)


class Progress(Enum):
    """How far a request has come."""

    BEGUN = "begun"
    FINISHED = "finished"
    LOST = "lost"


class LedgerEntry(NamedTuple):
    """One request that was begun; `body` is the answer once it has finished."""

    key: EffectKey
    fingerprint: str
    issued_at: datetime
    attempt: Attempt
    progress: Progress
    body: str

    @property
    def outcome(self) -> EffectOutcome | None:
        """The recorded outcome, or None while there is none."""
        match self.progress:
            case Progress.BEGUN:
                return None
            case Progress.FINISHED:
                return EffectDone(self.body)
            case Progress.LOST:
                return EffectUnknown()


class LedgerSnapshot(NamedTuple):
    """The whole ledger, for a snapshot of the replicated state."""

    entries: tuple[LedgerEntry, ...]
    time: datetime
    horizon: datetime
    retention: timedelta


class Ledger:
    """Non-idempotent requests that were begun; changed by `apply` only.

    An entry is forgotten only when its issue time lies before the horizon, and a
    request issued before the horizon is refused, so forgetting never permits a second
    run. The horizon never moves back, also when the retention is made longer.
    """

    def __init__(self, violations: Violations, retention: timedelta) -> None:
        self._violations = violations
        self._retention = retention
        self._entries: dict[EffectKey, LedgerEntry] = {}
        self._time = _EARLIEST
        self._horizon = _EARLIEST

    @property
    def horizon(self) -> datetime:
        """Requests issued before this time are refused."""
        return self._horizon

    def entry(self, key: EffectKey) -> LedgerEntry | None:
        """Return what is recorded of a request."""
        return self._entries.get(key)

    def apply(self, at: datetime, command: LedgerCommand) -> LedgerReply:
        """Carry out a committed command; the same on every instance.

        Parameters
        ----------
        at
            The time in the log entry. It may fall between entries; the ledger's own
            time does not.
        """
        self._advance(at)
        match command:
            case BeginEffect():
                return self._begin(command)
            case FinishEffect(key=key, attempt=attempt, body=body):
                self._record(key, attempt, Progress.FINISHED, body)
            case LoseEffect(key=key, attempt=attempt):
                self._record(key, attempt, Progress.LOST, "")
            case ReleaseEffect(key=key, attempt=attempt):
                self._release(key, attempt)
            case ChangeRetention(retention=retention):
                self._retention = retention
        return Recorded()

    def snapshot(self) -> LedgerSnapshot:
        """Return the whole ledger."""
        return LedgerSnapshot(
            tuple(self._entries.values()), self._time, self._horizon, self._retention
        )

    def restore(self, snapshot: LedgerSnapshot) -> None:
        """Replace the ledger by a snapshot."""
        self._entries = {entry.key: entry for entry in snapshot.entries}
        self._time = snapshot.time
        self._horizon = snapshot.horizon
        self._retention = snapshot.retention

    def _advance(self, at: datetime) -> None:
        self._time = max(self._time, at)
        if self._time - _EARLIEST <= self._retention:
            return
        horizon = max(self._horizon, self._time - self._retention)
        if horizon == self._horizon:
            return
        self._horizon = horizon
        # Entries are in order of beginning, which is nearly that of issue times.
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.issued_at >= horizon:
                break
            del self._entries[key]

    def _begin(self, command: BeginEffect) -> LedgerReply:
        entry = self._entries.get(command.key)
        if command.issued_at < self._horizon:
            return IssuedTooEarly(self._horizon)
        if command.issued_at > self._time + _CLOCK_TOLERANCE:
            return IssuedTooLate()
        if entry is None:
            self._entries[command.key] = LedgerEntry(
                command.key,
                command.fingerprint,
                command.issued_at,
                command.attempt,
                Progress.BEGUN,
                "",
            )
            return Begun()
        if (entry.fingerprint, entry.issued_at) != (
            command.fingerprint,
            command.issued_at,
        ):
            return KeyReused()
        match entry.progress:
            case Progress.FINISHED:
                return AlreadyFinished(entry.body)
            case Progress.LOST:
                return AlreadyLost()
            case Progress.BEGUN if entry.attempt == command.attempt:
                return Begun()
            case Progress.BEGUN:
                return AlreadyBegun(entry.attempt)

    def _record(
        self, key: EffectKey, attempt: Attempt, progress: Progress, body: str
    ) -> None:
        entry = self._entries.get(key)
        if entry is None:
            return
        if entry.attempt != attempt:
            self._violations.report(SentTwice(key.key))
            return
        if entry.progress is not Progress.FINISHED:
            self._entries[key] = entry._replace(progress=progress, body=body)

    def _release(self, key: EffectKey, attempt: Attempt) -> None:
        entry = self._entries.get(key)
        if (
            entry is not None
            and entry.attempt == attempt
            and entry.progress is Progress.BEGUN
        ):
            del self._entries[key]
