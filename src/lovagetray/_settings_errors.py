"""Failures of settings: settings files, the settings tree and operators' requests."""

from collections.abc import Sequence
from datetime import datetime
from enum import Enum
from typing import ClassVar, NamedTuple

from msgspec import Struct


class SettingProblem(Struct, frozen=True):
    """A problem in a settings file."""

    code: ClassVar[str] = "setting_problem"
    file: str
    section: str
    key: str
    found: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.file}: [{self.section}] {self.key}: "
            f"found {self.found!r}, expected {self.expected}"
        )


class InvalidSettings(Struct, frozen=True):
    """All problems in a settings file."""

    code: ClassVar[str] = "invalid_settings"
    problems: Sequence[SettingProblem]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


class ProblemCode(Enum):
    """Kind of a problem with a value or path of the settings tree."""

    UNKNOWN_KEY = "unknown_key"
    WRONG_TYPE = "wrong_type"
    WRONG_UNIT = "wrong_unit"
    OUT_OF_RANGE = "out_of_range"
    BAD_PATH = "bad_path"
    TOO_DEEP = "too_deep"
    TOO_LARGE = "too_large"
    COMBINATION = "combination"


class TreeProblem(NamedTuple):
    """A problem in a change to the settings tree.

    Parameters
    ----------
    key
        The key, several keys joined with ``, ``, or empty if a path is wrong.
    found
        The value or path in the change, as the operator wrote it.
    expected
        Description of what is accepted.
    """

    code: ProblemCode
    path: str
    key: str
    found: str
    expected: str

    def __str__(self) -> str:
        where = f"{self.path} {self.key}".rstrip()
        if not where.isprintable():
            where = ascii(where)
        return f"{where}: found {self.found!r}, expected {self.expected}"


class RefusedSettings(Struct, frozen=True):
    """All problems in a request about the settings tree."""

    code: ClassVar[str] = "refused_settings"
    problems: tuple[TreeProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


class RevisionConflict(Struct, frozen=True):
    """A change whose base revision is older than the last accepted change.

    Parameters
    ----------
    revision, operator, at
        The change in force: its revision, who made it and when.
    """

    code: ClassVar[str] = "revision_conflict"
    base: int
    revision: int
    operator: str
    at: datetime

    def __str__(self) -> str:
        return (
            f"the change was made against revision {self.base}, but revision "
            f"{self.revision} by {self.operator} of {self.at.isoformat()} is in force"
        )


class RevisionAhead(Struct, frozen=True):
    """A base revision that is newer than the revision in force at this instance."""

    code: ClassVar[str] = "revision_ahead"
    base: int
    revision: int

    def __str__(self) -> str:
        return (
            f"base revision {self.base} is newer than revision {self.revision}, which "
            "is in force at this instance"
        )


class UnknownRevision(Struct, frozen=True):
    """A revision that does not exist or was removed from the history."""

    code: ClassVar[str] = "unknown_revision"
    revision: int
    oldest: int

    def __str__(self) -> str:
        return (
            f"revision {self.revision} does not exist or is no longer kept; the oldest "
            f"revision kept is {self.oldest}"
        )


class RequestIdReused(Struct, frozen=True):
    """A request id that was used before for another request."""

    code: ClassVar[str] = "request_id_reused"
    request_id: str

    def __str__(self) -> str:
        return f"request id {self.request_id!r} was used for another request"


class UnreadableOutcome(Struct, frozen=True):
    """A request that is in the log but whose outcome could not be decoded."""

    code: ClassVar[str] = "unreadable_outcome"
    request_id: str

    def __str__(self) -> str:
        return f"the outcome of request {self.request_id!r} could not be read"


class Unauthorized(Struct, frozen=True):
    """A request without a valid token of an operator."""

    code: ClassVar[str] = "unauthorized"

    def __str__(self) -> str:
        return "a valid bearer token of an operator is required"
