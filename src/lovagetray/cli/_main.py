"""Entry point of the command line, which adds all subcommands."""

from argparse import ArgumentParser, RawDescriptionHelpFormatter
from collections.abc import Callable, Sequence
from importlib.metadata import PackageNotFoundError, version
from typing import Any

from lovagetray.cli._settings import add_settings_parser
from lovagetray.cli.commands import add_entry_parser, add_gateway_parser
from lovagetray.cli.queries import (
    add_audit_parser,
    add_check_configuration_parser,
    add_check_settings_parser,
    add_query_parser,
    add_status_parser,
)

_EPILOG = """exit codes:
  0  done
  1  the request was refused or failed; an instance has ended by itself; a
     configuration has errors
  2  wrong usage
  3  invalid settings
  4  no instance could be reached
  5  the answer is incomplete
  6  another change was accepted after the base revision
  7  it is not known whether the change was accepted; resend it with its request id
"""

_AddParser = Callable[[Any], None]
_ADD_PARSERS: tuple[_AddParser, ...] = (
    add_entry_parser,
    add_gateway_parser,
    add_query_parser,
    add_status_parser,
    add_settings_parser,
    add_audit_parser,
    add_check_settings_parser,
    add_check_configuration_parser,
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Return the exit code of the subcommand that the arguments name.

    Parameters
    ----------
    arguments
        Arguments after the program name; None takes them from `sys.argv`.
    """
    parser = ArgumentParser(
        prog="lovagetray",
        description="A query tier over very many shards.",
        epilog=_EPILOG,
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=_version())
    subparsers = parser.add_subparsers(required=True, metavar="command")
    for add_parser in _ADD_PARSERS:
        add_parser(subparsers)
    parsed = parser.parse_args(arguments)
    code: int = parsed.run(parsed)
    return code


def _version() -> str:
    try:
        return version("lovagetray")
    except PackageNotFoundError:
        return "unknown"
