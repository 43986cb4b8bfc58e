"""Explains which branch sets an effective value."""

from expression import Result

from lovagetray._settings_errors import RefusedSettings
from lovagetray.queries.settings._show import get
from lovagetray.state import Explanation, SettingsTree


def explain(
    tree: SettingsTree, path: str, key: str
) -> Result[Explanation, RefusedSettings]:
    """Return the branches considered for a value and the branch that sets it."""
    return get(tree, path, key)
