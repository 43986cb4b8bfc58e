"""Paths of the branches of the settings tree.

The root is ``/``; below it are paths such as ``/user`` and
``/user/service/data_centre``.
"""

from collections.abc import Iterable
from re import compile as compile_pattern

from lovagetray._settings_errors import ProblemCode, TreeProblem

ROOT = "/"
LEVELS = ("root", "user", "service", "data centre")
MAX_DEPTH = len(LEVELS) - 1
MAX_NAME_LENGTH = 32

_name_pattern = compile_pattern(r"[A-Za-z0-9][A-Za-z0-9._-]*")


def branch_path(*names: str) -> str:
    """Return the path of a branch; a service may be written ``user/service``."""
    return ROOT + "/".join(names)


def ancestry(path: str) -> list[str]:
    """Return the paths of the branches from the root down to `path` itself."""
    branches = [ROOT]
    names = [name for name in path.split("/") if name]
    for depth in range(1, len(names) + 1):
        branches.append(ROOT + "/".join(names[:depth]))
    return branches


def with_ancestors(paths: Iterable[str]) -> set[str]:
    """Return `paths` and the paths of all branches that they inherit from."""
    return {branch for path in paths for branch in ancestry(path)}


def path_problem(path: str) -> TreeProblem | None:
    """Return the problem of the path of a branch, or None if it is valid."""
    if path == ROOT:
        return None
    names = path.split("/")[1:]
    if not path.startswith("/") or not all(map(_name_pattern.fullmatch, names)):
        expected = "a path such as /user/service/data_centre"
        return TreeProblem(ProblemCode.BAD_PATH, path, "", path, expected)
    if len(names) > MAX_DEPTH:
        expected = f"at most {MAX_DEPTH} levels below the root"
        return TreeProblem(ProblemCode.TOO_DEEP, path, "", path, expected)
    if any(len(name) > MAX_NAME_LENGTH for name in names):
        expected = f"names of at most {MAX_NAME_LENGTH} characters"
        return TreeProblem(ProblemCode.TOO_LARGE, path, "", path, expected)
    return None
