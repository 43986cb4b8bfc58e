"""``lovagetray status``: the state of the system as one instance knows it."""

from argparse import Namespace
from datetime import timedelta
from sys import stderr, stdout
from typing import Any

from curio import run
from expression import Error, Result
from msgspec.json import format as format_json

from lovagetray._clock import SystemClock
from lovagetray.cli._arguments import address_argument
from lovagetray.cli._caller import CallFailure
from lovagetray.cli._exit_codes import ExitCode
from lovagetray.wire import HttpConnection, HttpResponse

_TIMEOUT = timedelta(seconds=2)


def add_status_parser(subparsers: Any) -> None:
    """Add the subcommand that shows the status of an instance."""
    parser = subparsers.add_parser(
        "status", help="show instances, services and settings as one instance sees them"
    )
    parser.add_argument("--entry", type=address_argument, required=True, help="IP:port")
    parser.set_defaults(run=_run_status)


def _run_status(arguments: Namespace) -> int:
    match run(_status, arguments):
        case Result(tag="ok", ok=response):
            stdout.write(format_json(response.body, indent=2).decode() + "\n")
            return ExitCode.DONE if response.status == 200 else ExitCode.REFUSED
        case Result(error=failure):
            print(failure, file=stderr)
    return ExitCode.UNREACHABLE


async def _status(arguments: Namespace) -> Result[HttpResponse, CallFailure]:
    opened = await HttpConnection.open(
        str(arguments.entry), arguments.entry, SystemClock(), _TIMEOUT
    )
    match opened:
        case Result(tag="ok", ok=connection):
            response = await connection.exchange("GET", "/v1/status", {}, b"", _TIMEOUT)
            await connection.close()
            return response
        case Result(error=failure):
            return Error(failure)
