"""What a command would make of the settings tree, and what is wrong with that."""

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


class Plan(NamedTuple):
    """The tree before and after a command.

    Parameters
    ----------
    problems
        What the command would make wrong. Problems that the tree had before are left
        out, so that a newer release's keys do not block changes of other keys.
    """

    before: SettingsTree
    after: SettingsTree
    problems: tuple[TreeProblem, ...]

    @property
    def differences(self) -> tuple[Difference, ...]:
        """Every key that the command sets differently."""
        return self.before.differences(self.after)


def plan(
    state: SettingsState, request: SettingsRequest
) -> Result[Plan, UnknownRevision]:
    """Return what a request would do to the tree of its base revision.

    A base that is no longer kept is replaced by the tree in force: the change is
    refused with a conflict later, and only its own values matter here.
    """
    before = state.tree_at(request.base).default_value(state.tree)
    found: list[TreeProblem] = []
    match request:
        case ChangeSettings(changes=changes):
            after = before.changed_by(changes, before.revision)
            found.extend(_change_problems(before, changes))
        case ImportTree(branches=branches):
            after = SettingsTree(before.revision, branches)
        case RollBack(to_revision=to_revision):
            match state.tree_at(to_revision):
                case Result(tag="ok", ok=after):
                    pass
                case Result(error=unknown):
                    return Error(unknown)
    old = set(before.problems())
    found.extend(problem for problem in after.problems() if problem not in old)
    return Ok(Plan(before, after, tuple(dict.fromkeys(found))))


def canonical(request: SettingsRequest) -> SettingsRequest:
    """Return the request with each readable value in its shortest form."""
    match request:
        case ChangeSettings(changes=changes):
            return replace(request, changes=tuple(map(_canonical_change, changes)))
        case ImportTree(branches=branches):
            shortest = {
                path: {key: _canonical_text(key, texts[key]) for key in sorted(texts)}
                for path, texts in sorted(branches.items())
            }
            return replace(request, branches=shortest)
        case RollBack():
            return request


def _change_problems(
    before: SettingsTree, changes: tuple[Change, ...]
) -> list[TreeProblem]:
    """Return what is wrong with the changes themselves, in their order.

    A key that this release does not know can be unset where it is set.
    """
    found = []
    for change in changes:
        problem = path_problem(change.path)
        if problem is not None:
            found.append(problem)
        match change:
            case SetValue(path=path, key=key, text=text):
                found.extend(value_problems(path, key, text))
            case UnsetValue(path=path, key=key):
                if key not in SETTING_KEYS and key not in before.texts(path):
                    found.extend(value_problems(path, key, ""))
    return found


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
