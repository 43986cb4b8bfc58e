"""JSON documents in the responses of the administration interface."""

from datetime import datetime
from typing import NotRequired, TypedDict

from lovagetray.state import Branches


class ProblemDocument(TypedDict):
    """A problem in a request, with what was found and what is expected."""

    code: str
    path: str
    key: str
    found: str
    expected: str


class WinnerDocument(TypedDict):
    """The accepted change that a refused one conflicts with."""

    revision: int
    operator: str
    at: datetime


class SettingsErrorDocument(TypedDict):
    """The failure of an administration request."""

    code: str
    message: str
    not_run: bool
    problems: NotRequired[list[ProblemDocument]]
    winner: NotRequired[WinnerDocument]


class SettingsFailureDocument(TypedDict):
    """The response to an administration request that failed."""

    error: SettingsErrorDocument
    request_id: str


class DifferenceDocument(TypedDict):
    """Value set for a key of a branch before and after a change; null if not set."""

    path: str
    key: str
    old: str | None
    new: str | None


class AcceptedDocument(TypedDict):
    """The response to a change, rollback or import that was accepted."""

    request_id: str
    revision: int
    at: datetime
    differences: list[DifferenceDocument]


class EffectiveValueChangeDocument(TypedDict):
    """Value in force for a key at a path, before and after a change."""

    path: str
    key: str
    old: str
    new: str


class DryRunDocument(TypedDict):
    """Differences and effects that a change would have on the tree of a revision."""

    revision: int
    differences: list[DifferenceDocument]
    effects: list[EffectiveValueChangeDocument]


class EffectiveValueDocument(TypedDict):
    """A value in force and its source branch, which is null for the default."""

    key: str
    text: str
    source: str | None


class EffectiveValuesDocument(TypedDict):
    """The response to ``GET /v1/settings``; `below` lists the branches under `path`."""

    revision: int
    path: str
    values: list[EffectiveValueDocument]
    below: list[str]


class ValueDocument(TypedDict):
    """The response to ``GET /v1/settings/value``."""

    revision: int
    path: str
    key: str
    text: str


class StepDocument(TypedDict):
    """A branch on the way from the root to a path; the text is null if none is set."""

    path: str
    text: str | None


class ExplanationDocument(TypedDict):
    """The response to ``GET /v1/settings/explain``."""

    revision: int
    path: str
    key: str
    text: str
    source: str | None
    default: str
    steps: list[StepDocument]


class DiffDocument(TypedDict):
    """The response to ``GET /v1/settings/diff``."""

    old: int
    new: int
    differences: list[DifferenceDocument]


class RevisionDocument(TypedDict):
    """A revision: its origin and the differences from the previous one."""

    number: int
    at: datetime
    operator: str
    request_id: str
    action: str
    differences: list[DifferenceDocument]


class HistoryDocument(TypedDict):
    """The response to ``GET /v1/settings/history``, newest revision first."""

    revision: int
    revisions: list[RevisionDocument]


class ExportDocument(TypedDict):
    """The response to ``GET /v1/settings/export``.

    `branches` maps each path to the values that are set there, by key.
    """

    revision: int
    branches: Branches


class AuditEntryDocument(TypedDict):
    """A request of an operator and its outcome, in the chain of audit entries."""

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
    """A place where the chain of audit entries is broken."""

    sequence: int
    reason: str


class AuditDocument(TypedDict):
    """The response to ``GET /v1/audit``, newest entry first."""

    entries: list[AuditEntryDocument]
    faults: list[AuditFaultDocument]
