"""Computes the effects of a settings change without applying it."""

from collections.abc import Iterable
from typing import NamedTuple

from expression import Error, Ok, Result

from lovagetray._settings_errors import (
    RefusedSettings,
    RevisionAhead,
    RevisionConflict,
    UnknownRevision,
)
from lovagetray.state import (
    SETTING_KEYS,
    Difference,
    SettingsPreview,
    SettingsRequest,
    SettingsState,
    ancestry,
    preview,
    with_ancestors,
)

DryRunFailure = RefusedSettings | RevisionConflict | RevisionAhead | UnknownRevision


class EffectiveValueChange(NamedTuple):
    """Effective value of a key at a path, before and after the change."""

    path: str
    key: str
    old: str
    new: str


class DryRun(NamedTuple):
    """Keys that a change would set and effective values that would change."""

    revision: int
    differences: tuple[Difference, ...]
    effects: tuple[EffectiveValueChange, ...]


def dry_run(
    state: SettingsState, request: SettingsRequest, known_paths: Iterable[str]
) -> Result[DryRun, DryRunFailure]:
    """Return what a request would change, or why it would be refused.

    Parameters
    ----------
    state
        Current settings and their history.
    request
        The change, rollback or import.
    known_paths
        Paths of known services and data centres. Effects at these paths are listed
        even if they have no branch of their own.
    """
    revision = state.tree.revision
    if request.base > revision:
        return Error(RevisionAhead(request.base, revision))
    if request.base != revision:
        return Error(state.conflict(request.base))
    match preview(state, request):
        case Result(tag="ok", ok=previewed):
            pass
        case Result(error=unknown):
            return Error(unknown)
    if previewed.problems:
        return Error(RefusedSettings(previewed.problems))
    effects = _effects(previewed, known_paths)
    return Ok(DryRun(revision, previewed.differences, effects))


def _effects(
    previewed: SettingsPreview, known_paths: Iterable[str]
) -> tuple[EffectiveValueChange, ...]:
    before, after = previewed.before, previewed.after
    paths = with_ancestors([*before.paths, *after.paths, *known_paths])
    changed: dict[str, set[str]] = {}
    for difference in previewed.differences:
        changed.setdefault(difference.path, set()).add(difference.key)
    found = []
    for path in sorted(paths):
        keys = {key for branch in ancestry(path) for key in changed.get(branch, ())}
        for key in sorted(keys & SETTING_KEYS.keys()):
            old, new = before.text(path, key), after.text(path, key)
            if old != new:
                found.append(EffectiveValueChange(path, key, old, new))
    return tuple(found)
