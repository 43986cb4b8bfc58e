"""Commands on the settings tree, which the replicated log carries, and outcomes."""

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
    """The kind of request of an operator."""

    CHANGE = "change"
    ROLLBACK = "rollback"
    IMPORT = "import"


class Origin(NamedTuple):
    """The operator who sent a request, the request id and the sender address.

    Parameters
    ----------
    address
        Host that the request came from.
    fingerprint
        Digest of operator and request; distinguishes a resend from a reused request id.
    """

    operator: str
    address: str
    request_id: str
    fingerprint: str


class Difference(NamedTuple):
    """A key of a branch before and after a change.

    Parameters
    ----------
    old, new
        Values as text; None if the branch does not set the key.
    """

    path: str
    key: str
    old: str | None
    new: str | None


class SetValue(Struct, frozen=True):
    """A change that sets a key at a branch."""

    path: str
    key: str
    text: str


class UnsetValue(Struct, frozen=True):
    """A change that removes a key from a branch, which then inherits its value."""

    path: str
    key: str


Change = SetValue | UnsetValue


class ChangeSettings(Struct, frozen=True):
    """A command that applies changes to the tree of revision `base`."""

    origin: Origin
    base: int
    changes: tuple[Change, ...]


class RollBack(Struct, frozen=True):
    """A command that makes a new, higher revision with the tree of an earlier one."""

    origin: Origin
    base: int
    to_revision: int


class ImportTree(Struct, frozen=True):
    """A command that replaces the tree of revision `base` as a whole."""

    origin: Origin
    base: int
    branches: Branches


class RecordRefusal(Struct, frozen=True):
    """A command that records in the audit trail that validation refused a request.

    Parameters
    ----------
    asked
        Changes that the request asked for.
    """

    origin: Origin
    action: Action
    failure: RefusedSettings
    asked: tuple[Difference, ...]


SettingsCommand = ChangeSettings | RollBack | ImportTree | RecordRefusal
RefusedOutcome = RefusedSettings | RevisionConflict | UnknownRevision


class Accepted(Struct, frozen=True):
    """The outcome of a request that is in force as a new revision."""

    fingerprint: str
    revision: int
    at: datetime
    differences: tuple[Difference, ...]


class Refused(Struct, frozen=True):
    """The outcome of a request that was refused and is in the audit trail."""

    fingerprint: str
    failure: RefusedOutcome


SettingsOutcome = Accepted | Refused
