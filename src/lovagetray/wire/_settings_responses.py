"""JSON responses of the administration interface."""

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
    """Return the response with a named tuple as a JSON object, keyed by field."""
    return _ok_response(_to_builtins(record))


def encode_accepted_change(accepted: Accepted, request_id: str) -> HttpResponse:
    """Return the response that reports the revision made by a change."""
    document: AcceptedDocument = {
        "request_id": request_id,
        "revision": accepted.revision,
        "at": accepted.at,
        "differences": [
            _to_difference_document(entry) for entry in accepted.differences
        ],
    }
    return _ok_response(document)


def encode_value(explanation: Explanation, revision: int) -> HttpResponse:
    """Return the response with one value in force."""
    document: ValueDocument = {
        "revision": revision,
        "path": explanation.path,
        "key": explanation.key,
        "text": explanation.text,
    }
    return _ok_response(document)


def encode_explanation(explanation: Explanation, revision: int) -> HttpResponse:
    """Return the response that shows which branch a value comes from."""
    document: ExplanationDocument = {
        "revision": revision,
        "path": explanation.path,
        "key": explanation.key,
        "text": explanation.text,
        "source": explanation.source,
        "default": SETTING_KEYS[explanation.key].default,
        "steps": [{"path": step.path, "text": step.text} for step in explanation.steps],
    }
    return _ok_response(document)


def encode_diff(
    old: int, new: int, differences: tuple[Difference, ...]
) -> HttpResponse:
    """Return the response that lists the differences between two revisions."""
    document: DiffDocument = {
        "old": old,
        "new": new,
        "differences": [_to_difference_document(entry) for entry in differences],
    }
    return _ok_response(document)


def encode_history(revision: int, revisions: tuple[Revision, ...]) -> HttpResponse:
    """Return the response that lists revisions."""
    document: HistoryDocument = {
        "revision": revision,
        "revisions": [_to_builtins(entry) for entry in revisions],
    }
    return _ok_response(document)


def encode_export(revision: int, branches: Branches) -> HttpResponse:
    """Return the response with the complete tree of a revision."""
    document: ExportDocument = {"revision": revision, "branches": branches}
    return _ok_response(document)


def encode_settings_failure(failure: object, request_id: str) -> HttpResponse:
    """Return the response that reports a failure, with all problems found."""
    code = str(getattr(failure, "code", "internal"))
    error: SettingsErrorDocument = {
        "code": code,
        "message": str(failure),
        "not_run": proves_not_run(failure),
    }
    match failure:
        case RefusedSettings(problems=problems):
            error["problems"] = [_to_problem_document(problem) for problem in problems]
        case RevisionConflict(revision=revision, operator=operator, at=at):
            error["winner"] = {"revision": revision, "operator": operator, "at": at}
    document: SettingsFailureDocument = {"error": error, "request_id": request_id}
    headers = {**_JSON, "x-error-code": code}
    return HttpResponse(failure_status(failure), headers, encode(document))


def _ok_response(document: object) -> HttpResponse:
    return HttpResponse(200, dict(_JSON), encode(document))


def _to_difference_document(difference: Difference) -> DifferenceDocument:
    return {
        "path": difference.path,
        "key": difference.key,
        "old": difference.old,
        "new": difference.new,
    }


def _to_problem_document(problem: TreeProblem) -> ProblemDocument:
    return {
        "code": problem.code.value,
        "path": problem.path,
        "key": problem.key,
        "found": problem.found,
        "expected": problem.expected,
    }


def _to_builtins(record: Any) -> Any:
    """Return `record` with named tuples as dicts and other tuples as lists."""
    if hasattr(record, "_asdict"):
        return {name: _to_builtins(value) for name, value in record._asdict().items()}
    if isinstance(record, tuple):
        return [_to_builtins(item) for item in record]
    return record
