"""``lovagetray settings import``: replace the settings tree by an INI file."""

from argparse import Namespace
from pathlib import Path
from sys import stderr
from typing import Any

from expression import Result

from lovagetray.cli._admin import AdminClient, add_admin_arguments, run_subcommand
from lovagetray.cli._exit_codes import ExitCode
from lovagetray.cli._send_change import add_change_arguments, send_change
from lovagetray.wire import parse_ini


def add_import_parser(subparsers: Any) -> None:
    """Add the subcommand that replaces the settings tree."""
    parser = subparsers.add_parser(
        "import", help="replace the whole tree by an INI file; its sections are paths"
    )
    parser.add_argument("file", type=Path, help="INI file as written by export")
    add_admin_arguments(parser)
    add_change_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _import))


async def _import(client: AdminClient, arguments: Namespace) -> int:
    try:
        text = arguments.file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{arguments.file} cannot be read: {error}", file=stderr)
        return ExitCode.USAGE
    match parse_ini(text):
        case Result(tag="ok", ok=branches):
            document = {"branches": branches}
            return await send_change(client, arguments, "/v1/settings/import", document)
        case Result(error=malformed):
            print(malformed, file=stderr)
            return ExitCode.INVALID_SETTINGS
