"""Returns effective values at a branch of the settings tree."""

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


class EffectiveValue(NamedTuple):
    """Effective value of a key and the branch that sets it; None for the default."""

    key: str
    text: str
    source: str | None


class BranchValues(NamedTuple):
    """All effective values at a branch, and the branches directly below it."""

    revision: int
    path: str
    values: tuple[EffectiveValue, ...]
    below: tuple[str, ...]


def show(tree: SettingsTree, path: str) -> Result[BranchValues, RefusedSettings]:
    """Return all effective values at a branch, or a refusal if its path is invalid."""
    problem = path_problem(path)
    if problem is not None:
        return Error(RefusedSettings((problem,)))
    values = []
    for key in SETTING_KEYS:
        explained = tree.explain(path, key)
        values.append(EffectiveValue(key, explained.text, explained.source))
    start = path.rstrip("/") + "/"
    below = sorted(
        branch
        for branch in with_ancestors(tree.paths)
        if branch != path
        and branch.startswith(start)
        and "/" not in branch[len(start) :]
    )
    return Ok(BranchValues(tree.revision, path, tuple(values), tuple(below)))


def get(
    tree: SettingsTree, path: str, key: str
) -> Result[Explanation, RefusedSettings]:
    """Return one effective value, or a refusal if the path or the key is invalid."""
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
