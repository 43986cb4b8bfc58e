"""Values in force at a branch."""

from typing import NamedTuple

from expression import Error, Ok, Result

from lovagetray._settings_errors import ProblemCode, RefusedSettings, TreeProblem
from lovagetray.state import (
    SETTING_KEYS,
    Explanation,
    SettingsTree,
    path_problem,
    with_ancestors,
)


class ShownValue(NamedTuple):
    """A value in force and the branch that sets it; None if it is the default."""

    key: str
    text: str
    source: str | None


class Shown(NamedTuple):
    """All values in force at a branch, and the branches directly below it."""

    revision: int
    path: str
    values: tuple[ShownValue, ...]
    below: tuple[str, ...]


def show(tree: SettingsTree, path: str) -> Result[Shown, RefusedSettings]:
    """Return every value in force at a branch, or what is wrong with its path."""
    problem = path_problem(path)
    if problem is not None:
        return Error(RefusedSettings((problem,)))
    values = []
    for key in SETTING_KEYS:
        explained = tree.explain(path, key)
        values.append(ShownValue(key, explained.text, explained.source))
    start = path.rstrip("/") + "/"
    below = sorted(
        one
        for one in with_ancestors(tree.paths)
        if one != path and one.startswith(start) and "/" not in one[len(start) :]
    )
    return Ok(Shown(tree.revision, path, tuple(values), tuple(below)))


def get(
    tree: SettingsTree, path: str, key: str
) -> Result[Explanation, RefusedSettings]:
    """Return one value in force, or what is wrong with the path or the key."""
    problems = []
    problem = path_problem(path)
    if problem is not None:
        problems.append(problem)
    if key not in SETTING_KEYS:
        code, expected = ProblemCode.UNKNOWN_KEY, "a key of the settings table"
        problems.append(TreeProblem(code, path, key, key, expected))
    if problems:
        return Error(RefusedSettings(tuple(problems)))
    return Ok(tree.explain(path, key))
