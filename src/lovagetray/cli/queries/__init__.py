"""Subcommands that only read."""

from lovagetray.cli.queries._check_settings import add_check_settings_parser
from lovagetray.cli.queries._query import add_query_parser
from lovagetray.cli.queries._status import add_status_parser
