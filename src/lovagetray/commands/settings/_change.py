"""Sets and unsets values of the settings tree."""

from expression import Result

from lovagetray._errors import Failure
from lovagetray.commands.settings._settings_proposer import SettingsProposer
from lovagetray.state import Accepted, Action, ChangeSettings


async def change_settings(
    proposer: SettingsProposer, request: ChangeSettings
) -> Result[Accepted, Failure]:
    """Return the new revision, or the reason why no value was changed."""
    return await proposer.submit(request, Action.CHANGE)
