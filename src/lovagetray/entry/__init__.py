"""The entry process."""

from lovagetray.entry._instance import EntryInstance
from lovagetray.entry._operators import Operators
from lovagetray.entry._router import Router
from lovagetray.entry._settings_command_routes import SettingsCommandRoutes
from lovagetray.entry._settings_query_routes import SettingsQueryRoutes
