"""``lovagetray settings``: subcommands that read and change the settings tree."""

from collections.abc import Callable
from typing import Any

from lovagetray.cli.commands import (
    add_import_parser,
    add_rollback_parser,
    add_set_parser,
    add_unset_parser,
)
from lovagetray.cli.queries import (
    add_diff_parser,
    add_explain_parser,
    add_export_parser,
    add_get_parser,
    add_history_parser,
    add_show_parser,
)

_ADD_PARSERS: tuple[Callable[[Any], None], ...] = (
    add_show_parser,
    add_get_parser,
    add_set_parser,
    add_unset_parser,
    add_explain_parser,
    add_diff_parser,
    add_history_parser,
    add_rollback_parser,
    add_export_parser,
    add_import_parser,
)


def add_settings_parser(subparsers: Any) -> None:
    """Add the subcommands that read and change the settings tree."""
    parser = subparsers.add_parser(
        "settings", help="read and change the settings tree as an operator"
    )
    group = parser.add_subparsers(required=True, metavar="action")
    for add_parser in _ADD_PARSERS:
        add_parser(group)
