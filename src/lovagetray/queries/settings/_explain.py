"""Where a value in force comes from."""

from expression import Result

from lovagetray._settings_errors import RefusedSettings
from lovagetray.queries.settings._show import get
from lovagetray.state import Explanation, SettingsTree


def explain(
    tree: SettingsTree, path: str, key: str
) -> Result[Explanation, RefusedSettings]:
    """Return each branch on the way to a value, and the one that sets it."""
    return get(tree, path, key)
