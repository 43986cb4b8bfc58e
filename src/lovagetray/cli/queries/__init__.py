"""Subcommands that only read."""

from lovagetray.cli.queries._audit import add_audit_parser
from lovagetray.cli.queries._check_configuration import add_check_configuration_parser
from lovagetray.cli.queries._check_settings import add_check_settings_parser
from lovagetray.cli.queries._query import add_query_parser
from lovagetray.cli.queries._settings_history import (
    add_diff_parser,
    add_export_parser,
    add_history_parser,
)
from lovagetray.cli.queries._settings_show import (
    add_explain_parser,
    add_get_parser,
    add_show_parser,
)
from lovagetray.cli.queries._status import add_status_parser
