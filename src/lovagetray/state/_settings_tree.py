"""Settings tree: values that are set at branches and inherited below them."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import NamedTuple, TypeVar

from expression import Result

from lovagetray._settings_errors import ProblemCode, TreeProblem
from lovagetray.state._setting_checks import COMBINATION_CHECKS
from lovagetray.state._setting_keys import SETTING_KEYS, Value
from lovagetray.state._setting_paths import ancestry, path_problem
from lovagetray.state._setting_values import format_value, parse_value
from lovagetray.state._settings_commands import (
    Branches,
    Change,
    Difference,
    SetValue,
    UnsetValue,
)

T = TypeVar("T")

# With names and values of 32 characters, the largest tree takes 240 KB as JSON and so
# fits into one HTTP request body of 256 KiB.
MAX_BRANCHES = 600
MAX_VALUES = 3_000


class ExplanationStep(NamedTuple):
    """A branch on the way from the root and the value that is set there.

    Parameters
    ----------
    text
        Value as text; None if the branch does not set the key.
    """

    path: str
    text: str | None


class Explanation(NamedTuple):
    """The origin of the value that is in force for a key at a branch.

    Parameters
    ----------
    source
        Path of the branch that sets the value in force; None if it is the default.
    steps
        The branches from the root down to the path.
    """

    path: str
    key: str
    text: str
    source: str | None
    steps: tuple[ExplanationStep, ...]


class _Branch(NamedTuple):
    """The settings of one branch.

    Parameters
    ----------
    texts
        Every value that is set, as text by key.
    values
        The values by key, without those that this release cannot parse.
    """

    texts: dict[str, str]
    values: dict[str, Value]


_default_values: dict[str, Value] = {
    name: parse_value("/", key, key.default).ok for name, key in SETTING_KEYS.items()
}


class SettingsTree:
    """All settings of one revision; immutable.

    A tree may contain keys or values that this release does not know, because instances
    of a newer release accepted them; such a value counts as not set.

    Parameters
    ----------
    revision
        Index of the log entry that made this tree; 0 for the empty tree.
    branches
        For each path, the values as text by key.
    """

    def __init__(
        self, revision: int = 0, branches: Mapping[str, Mapping[str, str]] = {}
    ) -> None:
        self._revision = revision
        self._branches = {
            path: _parse_branch(path, dict(texts))
            for path, texts in branches.items()
            if texts
        }

    @property
    def revision(self) -> int:
        """The revision of this tree."""
        return self._revision

    @property
    def branches(self) -> Branches:
        """A copy of the branches: for each path the texts by key, both sorted."""
        return {
            path: dict(sorted(branch.texts.items()))
            for path, branch in sorted(self._branches.items())
        }

    @property
    def paths(self) -> list[str]:
        """The sorted paths of the branches at which a value is set."""
        return sorted(self._branches)

    def texts(self, path: str) -> Mapping[str, str]:
        """Return the values that the branch itself sets, as text by key."""
        branch = self._branches.get(path)
        return MappingProxyType({} if branch is None else branch.texts)

    def value(self, path: str, key: str) -> Value:
        """Return the value in force at a branch.

        Raises
        ------
        KeyError
            If the key is not in the table of keys.
        """
        for branch_path in reversed(ancestry(path)):
            branch = self._branches.get(branch_path)
            if branch is not None and key in branch.values:
                return branch.values[key]
        return _default_values[key]

    def duration(self, path: str, key: str) -> timedelta:
        """Return the value in force of a duration."""
        return _typed(timedelta, key, self.value(path, key))

    def percentage(self, path: str, key: str) -> float:
        """Return the value in force of a percentage, in percent."""
        return _typed(float, key, self.value(path, key))

    def count(self, path: str, key: str) -> int:
        """Return the value in force of a count."""
        return _typed(int, key, self.value(path, key))

    def flag(self, path: str, key: str) -> bool:
        """Return the value in force of a flag."""
        return _typed(bool, key, self.value(path, key))

    def choice(self, path: str, key: str) -> str:
        """Return the value in force of a choice."""
        return _typed(str, key, self.value(path, key))

    def text(self, path: str, key: str) -> str:
        """Return the value in force as an operator would write it."""
        return format_value(SETTING_KEYS[key].kind, self.value(path, key))

    def explain(self, path: str, key: str) -> Explanation:
        """Return the value in force at a branch and where it comes from."""
        branches = ancestry(path)
        source = None
        for branch_path in branches:
            branch = self._branches.get(branch_path)
            if branch is not None and key in branch.values:
                source = branch_path
        steps = tuple(
            ExplanationStep(branch_path, self.texts(branch_path).get(key))
            for branch_path in branches
        )
        return Explanation(path, key, self.text(path, key), source, steps)

    def changed_by(self, changes: Iterable[Change], revision: int) -> "SettingsTree":
        """Return a tree of `revision`: this one with changes applied in order."""
        texts: Branches = {}
        for change in changes:
            branch = texts.setdefault(change.path, dict(self.texts(change.path)))
            match change:
                case SetValue(key=key, text=text):
                    branch[key] = text
                case UnsetValue(key=key):
                    branch.pop(key, None)
        changed = SettingsTree(revision, texts)
        unchanged = {
            path: branch for path, branch in self._branches.items() if path not in texts
        }
        changed._branches = {**unchanged, **changed._branches}
        return changed

    def differences(self, other: "SettingsTree") -> tuple[Difference, ...]:
        """Return the keys that are set differently in `other`, by path and key."""
        differences = []
        for path in sorted({*self._branches, *other._branches}):
            # A changed tree shares its unchanged branches with the tree before.
            if self._branches.get(path) is other._branches.get(path):
                continue
            old, new = self.texts(path), other.texts(path)
            for key in sorted({*old, *new}):
                if old.get(key) != new.get(key):
                    differences.append(
                        Difference(path, key, old.get(key), new.get(key))
                    )
        return tuple(differences)

    def problems(self) -> tuple[TreeProblem, ...]:
        """Return the problems of this tree.

        Those of paths and values come before those of combinations; both are sorted by
        path. If the tree is too large, nothing else is checked.
        """
        problems = self._size_problems()
        if problems:
            return tuple(problems)
        for path in self.paths:
            problem = path_problem(path)
            if problem is not None:
                problems.append(problem)
            for key, text in self.texts(path).items():
                problems.extend(value_problems(path, key, text))
        for path in self.paths:
            problems.extend(self._combination_problems(path))
        return tuple(problems)

    def _size_problems(self) -> list[TreeProblem]:
        problems = []
        values = sum(len(branch.texts) for branch in self._branches.values())
        for count, limit, unit in (
            (len(self._branches), MAX_BRANCHES, "branches"),
            (values, MAX_VALUES, "values"),
        ):
            if count > limit:
                code, expected = ProblemCode.TOO_LARGE, f"at most {limit} {unit}"
                problems.append(TreeProblem(code, "/", "", f"{count} {unit}", expected))
        return problems

    def _combination_problems(self, path: str) -> list[TreeProblem]:
        problems = []
        for check in COMBINATION_CHECKS:
            if not check.holds(lambda key: self.value(path, key)):
                values = ", ".join(self.text(path, key) for key in check.keys)
                keys = ", ".join(check.keys)
                code = ProblemCode.COMBINATION
                problems.append(TreeProblem(code, path, keys, values, check.expected))
        return problems


def value_problems(path: str, key: str, text: str) -> list[TreeProblem]:
    """Return the problems of a key and the text of its value; empty if valid."""
    known = SETTING_KEYS.get(key)
    if known is None:
        expected = "a key of the settings table"
        return [TreeProblem(ProblemCode.UNKNOWN_KEY, path, key, key, expected)]
    match parse_value(path, known, text):
        case Result(tag="error", error=problem):
            return [problem]
        case _:
            return []


def _parse_branch(path: str, texts: dict[str, str]) -> _Branch:
    values: dict[str, Value] = {}
    for key, text in texts.items():
        if key in SETTING_KEYS:
            match parse_value(path, SETTING_KEYS[key], text):
                case Result(tag="ok", ok=value):
                    values[key] = value
    return _Branch(texts, values)


def _typed(kind: type[T], key: str, value: Value) -> T:
    if not isinstance(value, kind):
        raise TypeError(f"{key} is not of type {kind.__name__}")
    return value
