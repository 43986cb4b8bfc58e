"""Turns records about settings into the answers that operators get."""

from typing import Any

from msgspec.json import encode

from lovagetray._errors import RefusedSettings, RevisionConflict, proves_not_run
from lovagetray._settings_errors import TreeProblem
from lovagetray.state import (
    SETTING_KEYS,
    Accepted,
    Branches,
    Difference,
    Explanation,
    Revision,
)
from lovagetray.wire._caller_json import failure_status
from lovagetray.wire._http import HttpResponse
from lovagetray.wire._settings_documents import (
    AcceptedDocument,
    DiffDocument,
    DifferenceDocument,
    ExplanationDocument,
    ExportDocument,
    HistoryDocument,
    ProblemDocument,
    SettingsErrorDocument,
    SettingsFailureDocument,
    ValueDocument,
)

_JSON = {"content-type": "application/json"}


def encode_named_tuple(record: Any) -> HttpResponse:
    """Return the response that carries a record; its fields become keys."""
    return _ok(_plain(record))


def encode_accepted_change(accepted: Accepted, request_id: str) -> HttpResponse:
    """Return the response that reports a new revision."""
    document: AcceptedDocument = {
        "request_id": request_id,
        "revision": accepted.revision,
        "at": accepted.at,
        "differences": [_difference(one) for one in accepted.differences],
    }
    return _ok(document)


def encode_value(explained: Explanation, revision: int) -> HttpResponse:
    """Return the response that carries one value in force."""
    document: ValueDocument = {
        "revision": revision,
        "path": explained.path,
        "key": explained.key,
        "text": explained.text,
    }
    return _ok(document)


def encode_explanation(explained: Explanation, revision: int) -> HttpResponse:
    """Return the response that tells where a value comes from."""
    document: ExplanationDocument = {
        "revision": revision,
        "path": explained.path,
        "key": explained.key,
        "text": explained.text,
        "source": explained.source,
        "default": SETTING_KEYS[explained.key].default,
        "steps": [{"path": one.path, "text": one.text} for one in explained.steps],
    }
    return _ok(document)


def encode_diff(
    old: int, new: int, differences: tuple[Difference, ...]
) -> HttpResponse:
    """Return the response that tells how two revisions differ."""
    document: DiffDocument = {
        "old": old,
        "new": new,
        "differences": [_difference(one) for one in differences],
    }
    return _ok(document)


def encode_history(revision: int, revisions: tuple[Revision, ...]) -> HttpResponse:
    """Return the response that lists revisions."""
    document: HistoryDocument = {
        "revision": revision,
        "revisions": [_plain(one) for one in revisions],
    }
    return _ok(document)


def encode_export(revision: int, branches: Branches) -> HttpResponse:
    """Return the response that carries a whole tree."""
    document: ExportDocument = {"revision": revision, "branches": branches}
    return _ok(document)


def encode_settings_failure(failure: object, request_id: str) -> HttpResponse:
    """Return the response that reports a failure, with all problems of a request."""
    code = str(getattr(failure, "code", "internal"))
    error: SettingsErrorDocument = {
        "code": code,
        "message": str(failure),
        "not_run": proves_not_run(failure),
    }
    match failure:
        case RefusedSettings(problems=problems):
            error["problems"] = [_problem(problem) for problem in problems]
        case RevisionConflict(revision=revision, operator=operator, at=at):
            error["winner"] = {"revision": revision, "operator": operator, "at": at}
    document: SettingsFailureDocument = {"error": error, "request_id": request_id}
    headers = {**_JSON, "x-error-code": code}
    return HttpResponse(failure_status(failure), headers, encode(document))


def _ok(document: object) -> HttpResponse:
    return HttpResponse(200, dict(_JSON), encode(document))


def _difference(difference: Difference) -> DifferenceDocument:
    return {
        "path": difference.path,
        "key": difference.key,
        "old": difference.old,
        "new": difference.new,
    }


def _problem(problem: TreeProblem) -> ProblemDocument:
    return {
        "code": problem.code.value,
        "path": problem.path,
        "key": problem.key,
        "found": problem.found,
        "expected": problem.expected,
    }


def _plain(record: Any) -> Any:
    """Return a record with every named tuple in it as a dict."""
    if hasattr(record, "_asdict"):
        return {name: _plain(value) for name, value in record._asdict().items()}
    if isinstance(record, tuple):
        return [_plain(one) for one in record]
    return record
