"""``lovagetray check-settings``: validate the settings file of an instance."""

from argparse import Namespace
from pathlib import Path
from sys import stderr
from typing import Any

from expression import Result

from lovagetray._gateway_settings import GatewaySettings
from lovagetray._process_settings import ProcessSettings, read_process_settings
from lovagetray._settings_errors import InvalidSettings
from lovagetray.cli._exit_codes import ExitCode


def add_check_settings_parser(subparsers: Any) -> None:
    """Add the subcommand that validates a settings file."""
    parser = subparsers.add_parser(
        "check-settings", help="check the settings file of an instance"
    )
    parser.add_argument(
        "file", type=Path, help="INI file of an entry, or TOML file of a gateway"
    )
    parser.set_defaults(run=_run_check)


def _run_check(arguments: Namespace) -> int:
    file: Path = arguments.file
    match _read_settings(file):
        case Result(tag="ok", ok=GatewaySettings(name=name)):
            print(f"{file}: settings of gateway {name} are valid")
        case Result(tag="ok", ok=settings):
            print(f"{file}: settings of instance {settings.name} are valid")
        case Result(error=failure):
            print(failure, file=stderr)
            return ExitCode.INVALID_SETTINGS
    return ExitCode.DONE


def _read_settings(
    file: Path,
) -> Result[ProcessSettings | GatewaySettings, InvalidSettings]:
    if file.suffix != ".toml":
        return read_process_settings(file)
    # Imported here, because the other subcommands do not need the libraries that the
    # platform package imports.
    from lovagetray.platform.formats import read_settings

    return read_settings(file)
