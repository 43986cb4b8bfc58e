"""``lovagetray check-settings``: tell what is wrong in a settings file."""

from argparse import Namespace
from pathlib import Path
from sys import stderr
from typing import Any

from expression import Result

from lovagetray._process_settings import read_process_settings
from lovagetray.cli._exit_codes import ExitCode


def add_check_settings_parser(subparsers: Any) -> None:
    """Add the subcommand that checks a settings file."""
    parser = subparsers.add_parser(
        "check-settings", help="check the settings file of an instance"
    )
    parser.add_argument(
        "file", type=Path, help="INI file of an entry, or TOML file of a gateway"
    )
    parser.set_defaults(run=_run_check)


def _run_check(arguments: Namespace) -> int:
    if arguments.file.suffix == ".toml":
        return _check_gateway(arguments.file)
    match read_process_settings(arguments.file):
        case Result(tag="ok", ok=settings):
            print(f"{arguments.file}: settings of instance {settings.name} are valid")
            return ExitCode.DONE
        case Result(error=failure):
            print(failure, file=stderr)
            return ExitCode.INVALID_SETTINGS


def _check_gateway(file: Path) -> int:
    # Loaded here, because the other subcommands need neither of its libraries.
    from lovagetray.platform.formats import read_settings

    match read_settings(file):
        case Result(tag="ok", ok=settings):
            print(f"{file}: settings of gateway {settings.name} are valid")
            return ExitCode.DONE
        case Result(error=failure):
            print(failure, file=stderr)
            return ExitCode.INVALID_SETTINGS
