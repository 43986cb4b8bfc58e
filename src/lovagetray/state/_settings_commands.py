"""Commands on the settings tree, as entries of the replicated log, and outcomes."""

from datetime import datetime
from enum import Enum
from typing import NamedTuple

from msgspec import Struct

from lovagetray._settings_errors import (
    RefusedSettings,
    RevisionConflict,
    UnknownRevision,
)

Branches = dict[str, dict[str, str]]


class Action(Enum):
    """What an operator asked for."""

    CHANGE = "change"
    ROLLBACK = "rollback"
    IMPORT = "import"


class Origin(NamedTuple):
    """Who asked for a change, from where and under which request id.

    Parameters
    ----------
    address
        The host that the request came from.
    fingerprint
        Digest of operator and request; tells a resend from a reused request id.
    """

    operator: str
    address: str
    request_id: str
    fingerprint: str


class Difference(NamedTuple):
    """One key of one branch before and after a change; None where it is not set."""

    path: str
    key: str
    old: str | None
    new: str | None


class SetValue(Struct, frozen=True):
    """Sets a key at a branch."""

    path: str
    key: str
    text: str


class UnsetValue(Struct, frozen=True):
    """Removes a key from a branch, so that it inherits again."""

    path: str
    key: str


Change = SetValue | UnsetValue


class ChangeSettings(Struct, frozen=True):
    """Applies changes to the tree of revision `base`."""

    origin: Origin
    base: int
    changes: tuple[Change, ...]


class RollBack(Struct, frozen=True):
    """Makes the tree of an earlier revision the tree of a new, higher revision."""

    origin: Origin
    base: int
    to_revision: int


class ImportTree(Struct, frozen=True):
    """Replaces the whole tree."""

    origin: Origin
    base: int
    branches: Branches


class RecordRefusal(Struct, frozen=True):
    """Records in the audit trail that validation refused a request."""

    origin: Origin
    action: Action
    failure: RefusedSettings
    asked: tuple[Difference, ...]


SettingsCommand = ChangeSettings | RollBack | ImportTree | RecordRefusal
RefusedOutcome = RefusedSettings | RevisionConflict | UnknownRevision


class Accepted(Struct, frozen=True):
    """A change is in force as a new revision."""

    fingerprint: str
    revision: int
    at: datetime
    differences: tuple[Difference, ...]


class Refused(Struct, frozen=True):
    """A change was refused and is recorded in the audit trail."""

    fingerprint: str
    failure: RefusedOutcome


SettingsOutcome = Accepted | Refused
