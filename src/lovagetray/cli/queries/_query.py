"""``lovagetray query``: run one search as a caller does."""

from argparse import ArgumentDefaultsHelpFormatter, Namespace
from datetime import timedelta
from sys import stderr, stdout
from typing import Any

from curio import run
from expression import Result
from msgspec.json import decode, encode, format as format_json

from lovagetray._clock import SystemClock
from lovagetray.cli._arguments import address_argument
from lovagetray.cli._caller import Caller, CallFailure
from lovagetray.cli._exit_codes import ExitCode
from lovagetray.wire import HttpResponse

# Added to the deadline of the search for the transfer of the response.
_RESPONSE_MARGIN = timedelta(seconds=1)


def add_query_parser(subparsers: Any) -> None:
    """Add the subcommand that runs a search."""
    parser = subparsers.add_parser(
        "query",
        help="run one search and print the answer with its coverage",
        formatter_class=ArgumentDefaultsHelpFormatter,
    )
    parser.add_argument("service", help="the service, as user/service")
    parser.add_argument("terms", help="the words to search for")
    parser.add_argument(
        "--entry",
        type=address_argument,
        action="append",
        required=True,
        help="IP:port of an instance to ask for addresses; may be repeated",
    )
    parser.add_argument("--deadline", type=int, default=330, help="milliseconds")
    parser.add_argument("--limit", type=int, default=5, help="most records to return")
    parser.add_argument(
        "--member", default="", help="member on whose behalf the search runs"
    )
    parser.add_argument("--caller", default="cli", help="name of the caller")
    parser.add_argument("--data-centre", default="", help="data centre of the caller")
    parser.add_argument(
        "--complete", action="store_true", help="refuse an incomplete answer"
    )
    parser.set_defaults(run=_run_query)


def _run_query(arguments: Namespace) -> int:
    match run(_query, arguments):
        case Result(tag="ok", ok=response):
            return _print_response(response)
        case Result(error=failure):
            print(failure, file=stderr)
    return ExitCode.UNREACHABLE


async def _query(arguments: Namespace) -> Result[HttpResponse, CallFailure]:
    caller = Caller(
        arguments.entry, arguments.caller, arguments.data_centre, SystemClock()
    )
    body = encode(
        {
            "service": arguments.service,
            "terms": arguments.terms,
            "limit": arguments.limit,
            "deadline_ms": arguments.deadline,
            "member": arguments.member,
            "require_complete": arguments.complete,
        }
    )
    timeout = timedelta(milliseconds=arguments.deadline) + _RESPONSE_MARGIN
    result = await caller.call("POST", "/v1/search", body, timeout)
    await caller.close()
    return result


def _print_response(response: HttpResponse) -> int:
    stdout.write(format_json(response.body, indent=2).decode() + "\n")
    if response.status != 200:
        return ExitCode.REFUSED
    if not decode(response.body)["coverage"]["complete"]:
        return ExitCode.INCOMPLETE
    return ExitCode.DONE
