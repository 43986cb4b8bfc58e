"""Lists revisions of the settings tree and the differences between them."""

from expression import Error, Ok, Result

from lovagetray._settings_errors import UnknownRevision
from lovagetray.state import Difference, Revision, SettingsState


def diff(
    state: SettingsState, old: int, new: int
) -> Result[tuple[Difference, ...], UnknownRevision]:
    """Return the keys that two revisions set to different values."""
    match state.tree_at(old):
        case Result(tag="ok", ok=before):
            pass
        case Result(error=unknown):
            return Error(unknown)
    match state.tree_at(new):
        case Result(tag="ok", ok=after):
            return Ok(before.differences(after))
        case Result(error=unknown):
            return Error(unknown)


def history(state: SettingsState, limit: int) -> tuple[Revision, ...]:
    """Return up to `limit` revisions, newest first."""
    return tuple(reversed(state.history))[:limit]
