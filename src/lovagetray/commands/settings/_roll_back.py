"""Makes an earlier settings tree the tree of a new revision."""

from expression import Result

from lovagetray._errors import Failure
from lovagetray.commands.settings._settings_log import SettingsLog
from lovagetray.state import Accepted, Action, RollBack


async def roll_back(log: SettingsLog, request: RollBack) -> Result[Accepted, Failure]:
    """Return the new revision, higher than any before, or why there is none."""
    return await log.submit(request, Action.ROLLBACK)
