"""Subcommands that change state."""

from lovagetray.cli.commands._entry import add_entry_parser
