"""Failures of non-idempotent requests."""

from typing import ClassVar

from msgspec import Struct


class KeyConflict(Struct, frozen=True):
    """An idempotency key that was used before with other contents or issue time."""

    code: ClassVar[str] = "key_conflict"
    key: str

    def __str__(self) -> str:
        return f"idempotency key {self.key!r} belongs to another request"


class KeyExpired(Struct, frozen=True):
    """A non-idempotent request whose issue time is past retention or in the future."""

    code: ClassVar[str] = "key_expired"
    key: str

    def __str__(self) -> str:
        return f"the issue time of {self.key!r} is too old or lies in the future"


class LedgerUnavailable(Struct, frozen=True):
    """A non-idempotent request that could not be recorded, and so was not sent."""

    code: ClassVar[str] = "ledger_unavailable"
    key: str

    def __str__(self) -> str:
        return f"request {self.key!r} could not be recorded and was not run"


class OutcomeUnknown(Struct, frozen=True):
    """A non-idempotent request that may have been started, without a known outcome."""

    code: ClassVar[str] = "outcome_unknown"
    key: str

    def __str__(self) -> str:
        return f"request {self.key!r} may have been started, outcome unknown"
