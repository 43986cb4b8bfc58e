"""Client, arguments and output of the subcommands that operators use."""

from argparse import ArgumentParser, Namespace
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from sys import stderr, stdout
from typing import Any, NamedTuple, TypeVar
from urllib.parse import urlencode

from curio import run
from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.json import decode, encode, format as format_json

from lovagetray._clock import Clock, SystemClock
from lovagetray._errors import ConnectFailed
from lovagetray._types import Address
from lovagetray.cli._arguments import address_argument
from lovagetray.cli._caller import CallFailure
from lovagetray.cli._exit_codes import ExitCode
from lovagetray.wire import HttpConnection, HttpResponse, SettingsFailureDocument

T = TypeVar("T")
_CONNECT_TIMEOUT = timedelta(seconds=2)
# A change is committed by a majority of the voters, after an election if none leads.
_REPLY_TIMEOUT = timedelta(seconds=15)


class AdminRefusal(NamedTuple):
    """Error response of an instance to an operator's request."""

    status: int
    document: SettingsFailureDocument


class UnknownOutcome(NamedTuple):
    """Failure of a request that was sent and may have run."""

    cause: str


class UnreadableReply(NamedTuple):
    """Response that cannot be decoded as the expected document."""

    cause: str


AdminFailure = ConnectFailed | AdminRefusal | UnknownOutcome | UnreadableReply


class AdminClient:
    """Client of the administration interface with the token of one operator.

    A request goes to the first instance that accepts a connection.
    """

    def __init__(self, entries: list[Address], token: str, clock: Clock) -> None:
        self._entries = entries
        self._headers = {"authorization": f"Bearer {token}"}
        self._clock = clock

    async def get(
        self, path: str, parameters: dict[str, Any], document_type: type[T]
    ) -> Result[T, AdminFailure]:
        """Return the decoded response to a GET; omit parameters that are None."""
        present = {key: value for key, value in parameters.items() if value is not None}
        request_target = f"{path}?{urlencode(present)}" if present else path
        return _decode_response(
            await self._call("GET", request_target, b""), document_type
        )

    async def post(
        self, path: str, document: dict[str, Any], document_type: type[T]
    ) -> Result[T, AdminFailure]:
        """Return the decoded response to a POST of a document."""
        return _decode_response(
            await self._call("POST", path, encode(document)), document_type
        )

    async def _call(
        self, method: str, path: str, body: bytes
    ) -> Result[HttpResponse, CallFailure]:
        unreachable = ConnectFailed("the system")
        for address in self._entries:
            opened = await HttpConnection.open(
                str(address), address, self._clock, _CONNECT_TIMEOUT
            )
            match opened:
                case Result(tag="ok", ok=connection):
                    replied = await connection.exchange(
                        method, path, self._headers, body, _REPLY_TIMEOUT
                    )
                    await connection.close()
                    return replied.map_error(lambda failure: failure)
                case Result(error=unreachable):
                    continue
        return Error(unreachable)


Subcommand = Callable[[AdminClient, Namespace], Awaitable[int]]


def add_admin_arguments(parser: ArgumentParser) -> None:
    """Add the arguments that every subcommand with an `AdminClient` has."""
    parser.add_argument(
        "--entry",
        type=address_argument,
        action="append",
        required=True,
        help="IP:port of an instance; may be repeated, the first reachable one is used",
    )
    parser.add_argument(
        "--token-file", type=Path, required=True, help="file with the operator's token"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def run_subcommand(arguments: Namespace, subcommand: Subcommand) -> int:
    """Return the exit code of a subcommand after running it with a client."""
    try:
        token = arguments.token_file.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        print(f"the token file cannot be read: {error}", file=stderr)
        return ExitCode.USAGE
    if not token or not token.isascii() or not token.isprintable():
        print(f"{arguments.token_file} contains no token", file=stderr)
        return ExitCode.USAGE
    client = AdminClient(arguments.entry, token, SystemClock())
    code: int = run(subcommand, client, arguments)
    return code


def print_document(
    arguments: Namespace, document: T, render: Callable[[T], str]
) -> None:
    """Print a document as text, or as JSON if ``--json`` is given."""
    if arguments.json:
        stdout.write(format_json(encode(document), indent=2).decode() + "\n")
    else:
        stdout.write(render(document))


def report_failure(arguments: Namespace, failure: AdminFailure) -> int:
    """Return the exit code of a failure after printing its cause."""
    match failure:
        case ConnectFailed():
            print(failure, file=stderr)
            return ExitCode.UNREACHABLE
        case UnknownOutcome(cause=cause) | UnreadableReply(cause=cause):
            print(cause, file=stderr)
            return ExitCode.UNKNOWN
        case AdminRefusal(document=document):
            return _report_refusal(arguments, document)


def _report_refusal(arguments: Namespace, document: SettingsFailureDocument) -> int:
    error = document["error"]
    if arguments.json:
        stdout.write(format_json(encode(document), indent=2).decode() + "\n")
    print(f"{error['code']}: {error['message']}", file=stderr)
    match error["code"]:
        case "revision_conflict":
            return ExitCode.CONFLICT
        case "refused_settings":
            return ExitCode.INVALID_SETTINGS
        case _ if not error["not_run"]:
            return ExitCode.UNKNOWN
        case _:
            return ExitCode.REFUSED


def _decode_response(
    replied: Result[HttpResponse, CallFailure], document_type: type[T]
) -> Result[T, AdminFailure]:
    match replied:
        case Result(tag="ok", ok=response):
            pass
        case Result(error=ConnectFailed() as unreachable):
            return Error(unreachable)
        case Result(error=failure):
            return Error(UnknownOutcome(str(failure)))
    try:
        if response.status == 200:
            return Ok(decode(response.body, type=document_type))
        refusal = decode(response.body, type=SettingsFailureDocument)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        return Error(UnreadableReply(f"the reply cannot be read: {error}"))
    return Error(AdminRefusal(response.status, refusal))
