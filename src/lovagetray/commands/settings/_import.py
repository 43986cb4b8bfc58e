"""Replaces the whole settings tree."""

from expression import Result

from lovagetray._errors import Failure
from lovagetray.commands.settings._settings_proposer import SettingsProposer
from lovagetray.state import Accepted, Action, ImportTree


async def import_tree(
    proposer: SettingsProposer, request: ImportTree
) -> Result[Accepted, Failure]:
    """Return the new revision, or the problems of the tree."""
    return await proposer.submit(request, Action.IMPORT)
