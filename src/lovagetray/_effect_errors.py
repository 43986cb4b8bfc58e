"""Failures of non-idempotent requests."""

from typing import ClassVar

from msgspec import Struct


class KeyConflict(Struct, frozen=True):
    """An idempotency key was used before with other contents or another issue time."""

    code: ClassVar[str] = "key_conflict"
    key: str

    def __str__(self) -> str:
        return f"idempotency key {self.key!r} belongs to another request"


class KeyExpired(Struct, frozen=True):
    """The issue time of a non-idempotent request is outside of what is kept."""

    code: ClassVar[str] = "key_expired"
    key: str

    def __str__(self) -> str:
        return f"the issue time of {self.key!r} is too old or lies in the future"


class LedgerUnavailable(Struct, frozen=True):
    """A non-idempotent request could not be recorded, so it was not sent anywhere."""

    code: ClassVar[str] = "ledger_unavailable"
    key: str

    def __str__(self) -> str:
        return f"request {self.key!r} could not be recorded and was not run"


class OutcomeUnknown(Struct, frozen=True):
    """A non-idempotent request may have been started; its outcome is not known."""

    code: ClassVar[str] = "outcome_unknown"
    key: str

    def __str__(self) -> str:
        return f"request {self.key!r} may have been started, outcome unknown"
