"""``lovagetray entry``: run an entry instance until SIGTERM."""

from argparse import Namespace
from pathlib import Path
from sys import stderr
from typing import Any

from curio import run
from expression import Result

from lovagetray._clock import SystemClock
from lovagetray._process_settings import read_process_settings
from lovagetray._telemetry import configure_logging
from lovagetray.cli._exit_codes import ExitCode
from lovagetray.entry import EntryInstance


def add_entry_parser(subparsers: Any) -> None:
    """Add the subcommand that runs an entry instance."""
    parser = subparsers.add_parser(
        "entry",
        help="run an entry instance",
        description=(
            "Run an entry instance until SIGTERM. The first SIGTERM withdraws the "
            "instance from address lists, serves callers that still hold its address "
            "for one address lifetime and finishes running requests; a second one "
            "skips the wait for the lifetime."
        ),
    )
    parser.add_argument("--settings", type=Path, required=True, help="INI file")
    parser.set_defaults(run=_run_entry)


def _run_entry(arguments: Namespace) -> int:
    match read_process_settings(arguments.settings):
        case Result(tag="ok", ok=settings):
            configure_logging()
            code: int = run(EntryInstance(settings, SystemClock()).run)
            return code
        case Result(error=failure):
            print(failure, file=stderr)
            return ExitCode.INVALID_SETTINGS
