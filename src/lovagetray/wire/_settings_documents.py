"""JSON documents that operators get from the administration interface."""

from datetime import datetime
from typing import NotRequired, TypedDict

from lovagetray.state import Branches


class ProblemDocument(TypedDict):
    """One thing that is wrong in a request."""

    code: str
    path: str
    key: str
    found: str
    expected: str


class WinnerDocument(TypedDict):
    """The change that is in force in place of the one that was refused."""

    revision: int
    operator: str
    at: datetime


class SettingsErrorDocument(TypedDict):
    """Why an administration request failed."""

    code: str
    message: str
    not_run: bool
    problems: NotRequired[list[ProblemDocument]]
    winner: NotRequired[WinnerDocument]


class SettingsFailureDocument(TypedDict):
    """The answer to an administration request that failed."""

    error: SettingsErrorDocument
    request_id: str


class DifferenceDocument(TypedDict):
    """One key of one branch before and after a change; null where it is not set."""

    path: str
    key: str
    old: str | None
    new: str | None


class AcceptedDocument(TypedDict):
    """The answer to a change, a rollback or an import that was accepted."""

    request_id: str
    revision: int
    at: datetime
    differences: list[DifferenceDocument]


class EffectDocument(TypedDict):
    """A value in force at a path, before and after a change."""

    path: str
    key: str
    old: str
    new: str


class DryRunDocument(TypedDict):
    """What a change would do to the tree of a revision."""

    revision: int
    differences: list[DifferenceDocument]
    effects: list[EffectDocument]


class EffectiveValueDocument(TypedDict):
    """A value in force and the branch that sets it; null if it is the default."""

    key: str
    text: str
    source: str | None


class EffectiveValuesDocument(TypedDict):
    """The answer to ``GET /v1/settings``."""

    revision: int
    path: str
    values: list[EffectiveValueDocument]
    below: list[str]


class ValueDocument(TypedDict):
    """The answer to ``GET /v1/settings/value``."""

    revision: int
    path: str
    key: str
    text: str


class StepDocument(TypedDict):
    """One branch on the way to a value, and what is set there."""

    path: str
    text: str | None


class ExplanationDocument(TypedDict):
    """The answer to ``GET /v1/settings/explain``."""

    revision: int
    path: str
    key: str
    text: str
    source: str | None
    default: str
    steps: list[StepDocument]


class DiffDocument(TypedDict):
    """The answer to ``GET /v1/settings/diff``."""

    old: int
    new: int
    differences: list[DifferenceDocument]


class RevisionDocument(TypedDict):
    """How one revision came about and what it changed."""

    number: int
    at: datetime
    operator: str
    request_id: str
    action: str
    differences: list[DifferenceDocument]


class HistoryDocument(TypedDict):
    """The answer to ``GET /v1/settings/history``, the newest revision first."""

    revision: int
    revisions: list[RevisionDocument]


class ExportDocument(TypedDict):
    """The answer to ``GET /v1/settings/export``: texts by key by path."""

    revision: int
    branches: Branches


class AuditEntryDocument(TypedDict):
    """One request of an operator and what became of it."""

    sequence: int
    at: datetime
    operator: str
    address: str
    request_id: str
    revision: int
    action: str
    differences: list[DifferenceDocument]
    refusal: str
    reasons: list[str]
    previous: str
    hash: str


class AuditFaultDocument(TypedDict):
    """Where the chain of audit entries is broken."""

    sequence: int
    reason: str


class AuditDocument(TypedDict):
    """The answer to ``GET /v1/audit``, the newest entry first."""

    entries: list[AuditEntryDocument]
    faults: list[AuditFaultDocument]
