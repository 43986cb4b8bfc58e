"""Restores an earlier settings tree as a new revision."""

from expression import Result

from lovagetray._errors import Failure
from lovagetray.commands.settings._settings_proposer import SettingsProposer
from lovagetray.state import Accepted, Action, RollBack


async def roll_back(
    proposer: SettingsProposer, request: RollBack
) -> Result[Accepted, Failure]:
    """Return the new revision, higher than any before, or why there is none."""
    return await proposer.submit(request, Action.ROLLBACK)
