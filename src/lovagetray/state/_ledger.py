"""Replicated ledger of non-idempotent requests and their outcomes."""

from datetime import datetime, timedelta, timezone
from enum import Enum
from typing import NamedTuple

from msgspec import Struct

from lovagetray._violations import SentTwice, Violations

_MIN_TIME = datetime.min.replace(tzinfo=timezone.utc)
# A caller's clock may be ahead by this much; a request issued later is refused.
_MAX_CLOCK_SKEW = timedelta(minutes=5)


class EffectKey(NamedTuple):
    """The permanent identity of a non-idempotent request."""

    service: str
    key: str


class Attempt(NamedTuple):
    """The right of one instance to run a request once.

    Parameters
    ----------
    attempt_id
        Unique for each attempt to begin a request, also across restarts of the
        instance.
    """

    instance: str
    attempt_id: str


class EffectDone(Struct, frozen=True):
    """The outcome of a request that ran; `body` is the answer of the target."""

    body: str


class EffectUnknown(Struct, frozen=True):
    """The outcome of a begun request that may or may not have run."""


EffectOutcome = EffectDone | EffectUnknown


class BeginEffect(Struct, frozen=True):
    """A command that asks for the right to run a request.

    Parameters
    ----------
    fingerprint
        Digest of all parts of the request that must be the same when it is resent.
    issued_at
        Time at which the caller issued the request, on the caller's clock.
    """

    key: EffectKey
    fingerprint: str
    issued_at: datetime
    attempt: Attempt


class FinishEffect(Struct, frozen=True):
    """A command that records the answer of the target to a begun request."""

    key: EffectKey
    attempt: Attempt
    body: str


class LoseEffect(Struct, frozen=True):
    """A command that records that the outcome of a begun request is not known."""

    key: EffectKey
    attempt: Attempt


class ReleaseEffect(Struct, frozen=True):
    """A command that gives the right back, since the request provably did not run."""

    key: EffectKey
    attempt: Attempt


class ChangeRetention(Struct, frozen=True):
    """A command that sets how long outcomes are kept."""

    retention: timedelta


LedgerCommand = (
    BeginEffect | FinishEffect | LoseEffect | ReleaseEffect | ChangeRetention
)


class Begun(Struct, frozen=True):
    """Permission for the attempt to run the request once."""


class AlreadyBegun(Struct, frozen=True):
    """The reply if another attempt has begun and its outcome is not recorded yet."""

    attempt: Attempt


class AlreadyFinished(Struct, frozen=True):
    """The reply if the request ran; `body` is the answer of the target."""

    body: str


class AlreadyLost(Struct, frozen=True):
    """The reply if the request was begun and its outcome is not known."""


class KeyReused(Struct, frozen=True):
    """The refusal of a key that belongs to a request with different contents."""


class IssuedTooEarly(Struct, frozen=True):
    """The refusal of a request that was issued before the horizon of the ledger."""

    horizon: datetime


class IssuedTooLate(Struct, frozen=True):
    """The refusal of a request whose issue time lies in the future."""


class Recorded(Struct, frozen=True):
    """The reply to a command other than `BeginEffect`, also if it is a repeat."""


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
    """The progress of a begun request."""

    BEGUN = "begun"
    FINISHED = "finished"
    LOST = "lost"


class LedgerEntry(NamedTuple):
    """A begun request; `body` is empty until the request has finished."""

    key: EffectKey
    fingerprint: str
    issued_at: datetime
    attempt: Attempt
    progress: Progress
    body: str

    @property
    def outcome(self) -> EffectOutcome | None:
        """The recorded outcome; None while there is none."""
        match self.progress:
            case Progress.BEGUN:
                return None
            case Progress.FINISHED:
                return EffectDone(self.body)
            case Progress.LOST:
                return EffectUnknown()


class LedgerSnapshot(NamedTuple):
    """The contents of a ledger, as a part of a snapshot of the replicated state."""

    entries: tuple[LedgerEntry, ...]
    time: datetime
    horizon: datetime
    retention: timedelta


class Ledger:
    """The begun non-idempotent requests; only `apply` and `restore` change them.

    An entry is removed only once its issue time lies before the horizon, and a request
    issued before the horizon is refused, so removal never permits a second run. The
    horizon never moves back, not even when the retention is increased.

    Parameters
    ----------
    violations
        Where an outcome from an attempt that did not begin the request is reported.
    retention
        How long an outcome is kept after the request was issued.
    """

    def __init__(self, violations: Violations, retention: timedelta) -> None:
        self._violations = violations
        self._retention = retention
        self._entries: dict[EffectKey, LedgerEntry] = {}
        self._time = _MIN_TIME
        self._horizon = _MIN_TIME

    @property
    def horizon(self) -> datetime:
        """The issue time before which requests are refused."""
        return self._horizon

    def entry(self, key: EffectKey) -> LedgerEntry | None:
        """Return the entry of a request, or None if it has none."""
        return self._entries.get(key)

    def apply(self, at: datetime, command: LedgerCommand) -> LedgerReply:
        """Apply a committed command and return its reply.

        The result depends on the log only and is the same on every instance.

        Parameters
        ----------
        at
            Time of the log entry. It may be earlier than that of the entry before; the
            time of the ledger never goes back.
        """
        self._advance_time(at)
        match command:
            case BeginEffect():
                return self._begin(command)
            case FinishEffect(key=key, attempt=attempt, body=body):
                self._record_outcome(key, attempt, Progress.FINISHED, body)
            case LoseEffect(key=key, attempt=attempt):
                self._record_outcome(key, attempt, Progress.LOST, "")
            case ReleaseEffect(key=key, attempt=attempt):
                self._release(key, attempt)
            case ChangeRetention(retention=retention):
                self._retention = retention
        return Recorded()

    def snapshot(self) -> LedgerSnapshot:
        """Return the contents of the ledger."""
        return LedgerSnapshot(
            tuple(self._entries.values()), self._time, self._horizon, self._retention
        )

    def restore(self, snapshot: LedgerSnapshot) -> None:
        """Replace the contents of the ledger by those of a snapshot."""
        self._entries = {entry.key: entry for entry in snapshot.entries}
        self._time = snapshot.time
        self._horizon = snapshot.horizon
        self._retention = snapshot.retention

    def _advance_time(self, at: datetime) -> None:
        self._time = max(self._time, at)
        if self._time - _MIN_TIME <= self._retention:
            return
        horizon = max(self._horizon, self._time - self._retention)
        if horizon == self._horizon:
            return
        self._horizon = horizon
        # Entries are in the order in which they were begun, which is nearly that of
        # their issue times: an entry out of order is removed a little later.
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.issued_at >= horizon:
                break
            del self._entries[key]

    def _begin(self, command: BeginEffect) -> LedgerReply:
        entry = self._entries.get(command.key)
        if command.issued_at < self._horizon:
            return IssuedTooEarly(self._horizon)
        if command.issued_at > self._time + _MAX_CLOCK_SKEW:
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

    def _record_outcome(
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
