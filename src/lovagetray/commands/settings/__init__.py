"""Commands that change the settings tree."""

from lovagetray.commands.settings._change import change_settings
from lovagetray.commands.settings._import import import_tree
from lovagetray.commands.settings._roll_back import roll_back
from lovagetray.commands.settings._settings_proposer import SettingsProposer
