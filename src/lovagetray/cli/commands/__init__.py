"""Subcommands that change state."""

from lovagetray.cli.commands._entry import add_entry_parser
from lovagetray.cli.commands._gateway import add_gateway_parser
from lovagetray.cli.commands._settings_import import add_import_parser
from lovagetray.cli.commands._settings_rollback import add_rollback_parser
from lovagetray.cli.commands._settings_set import add_set_parser, add_unset_parser
