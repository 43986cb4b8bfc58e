"""Dry run of a request to change the settings tree."""

from typing import NamedTuple

from expression import Error, Ok, Result
from msgspec.structs import replace

from lovagetray._settings_errors import TreeProblem, UnknownRevision
from lovagetray.state._setting_keys import SETTING_KEYS
from lovagetray.state._setting_paths import path_problem
from lovagetray.state._setting_values import format_value, parse_value
from lovagetray.state._settings_commands import (
    Change,
    ChangeSettings,
    Difference,
    ImportTree,
    RollBack,
    SetValue,
    UnsetValue,
)
from lovagetray.state._settings_state import SettingsState
from lovagetray.state._settings_tree import SettingsTree, value_problems

SettingsRequest = ChangeSettings | RollBack | ImportTree


class SettingsPreview(NamedTuple):
    """The trees before and after a request.

    Parameters
    ----------
    problems
        Problems that the request would cause. Problems that the tree had before are
        left out, so that the keys of a newer release do not block changes of other
        keys.
    """

    before: SettingsTree
    after: SettingsTree
    problems: tuple[TreeProblem, ...]

    @property
    def differences(self) -> tuple[Difference, ...]:
        """The keys whose value the request would change at a branch."""
        return self.before.differences(self.after)


def preview(
    state: SettingsState, request: SettingsRequest
) -> Result[SettingsPreview, UnknownRevision]:
    """Return the effect that a request would have on the tree of its base revision.

    If the base revision is not kept, the tree in force is used: the request is refused
    with a conflict later, and only its own values matter here.

    Returns
    -------
    Result
        `UnknownRevision` if the request rolls back to a revision that is not kept.
    """
    before = state.tree_at(request.base).default_value(state.tree)
    problems: list[TreeProblem] = []
    match request:
        case ChangeSettings(changes=changes):
            after = before.changed_by(changes, before.revision)
            problems.extend(_change_problems(before, changes))
        case ImportTree(branches=branches):
            after = SettingsTree(before.revision, branches)
        case RollBack(to_revision=to_revision):
            match state.tree_at(to_revision):
                case Result(tag="ok", ok=after):
                    pass
                case Result(error=unknown):
                    return Error(unknown)
    existing = set(before.problems())
    problems.extend(problem for problem in after.problems() if problem not in existing)
    return Ok(SettingsPreview(before, after, tuple(dict.fromkeys(problems))))


def canonical_request(request: SettingsRequest) -> SettingsRequest:
    """Return the request with each valid value in its shortest form."""
    match request:
        case ChangeSettings(changes=changes):
            return replace(request, changes=tuple(map(_canonical_change, changes)))
        case ImportTree(branches=branches):
            canonical_branches = {
                path: {key: _canonical_text(key, texts[key]) for key in sorted(texts)}
                for path, texts in sorted(branches.items())
            }
            return replace(request, branches=canonical_branches)
        case RollBack():
            return request


def _change_problems(
    before: SettingsTree, changes: tuple[Change, ...]
) -> list[TreeProblem]:
    """Return the problems of the changes themselves, in their order.

    A key that this release does not know can be unset at a branch that sets it.
    """
    problems = []
    for change in changes:
        problem = path_problem(change.path)
        if problem is not None:
            problems.append(problem)
        match change:
            case SetValue(path=path, key=key, text=text):
                problems.extend(value_problems(path, key, text))
            case UnsetValue(path=path, key=key):
                if key not in SETTING_KEYS and key not in before.texts(path):
                    problems.extend(value_problems(path, key, ""))
    return problems


def _canonical_change(change: Change) -> Change:
    match change:
        case SetValue(path=path, key=key, text=text):
            return SetValue(path, key, _canonical_text(key, text))
        case _:
            return change


def _canonical_text(key: str, text: str) -> str:
    if key not in SETTING_KEYS:
        return text
    known = SETTING_KEYS[key]
    match parse_value("", known, text):
        case Result(tag="ok", ok=value):
            return format_value(known.kind, value)
        case _:
            return text
