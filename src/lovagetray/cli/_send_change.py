"""Arguments and requests shared by the subcommands that change settings."""

from argparse import ArgumentParser, ArgumentTypeError, Namespace
from sys import stderr
from typing import Any
from uuid import uuid4

from expression import Ok, Result

from lovagetray.cli._admin import (
    AdminClient,
    AdminFailure,
    print_document,
    report_failure,
)
from lovagetray.cli._exit_codes import ExitCode
from lovagetray.cli._settings_text import accepted_text, dry_run_text
from lovagetray.wire import (
    MAX_REQUEST_ID_LENGTH,
    AcceptedDocument,
    DryRunDocument,
    EffectiveValuesDocument,
)


def add_change_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of every subcommand that changes settings."""
    parser.add_argument(
        "--base",
        type=int,
        help="revision that the change is made against; default: that in force now",
    )
    parser.add_argument(
        "--request-id",
        type=_request_id,
        help="a resend with the same id runs at most once; default: a new id",
    )
    parser.add_argument(
        "--dry-run", action="store_true", help="show what would change, change nothing"
    )


async def send_change(
    client: AdminClient, arguments: Namespace, path: str, document: dict[str, Any]
) -> int:
    """Return the exit code after sending a change or a dry run of it.

    The base revision and the request id are added to the document. Both are printed
    first, so that a change with an unknown outcome can be sent again.
    """
    match await _base_revision(client, arguments):
        case Result(tag="ok", ok=base):
            pass
        case Result(error=failure):
            return report_failure(arguments, failure)
    request_id = arguments.request_id or uuid4().hex
    print(f"base revision {base}, request id {request_id}", file=stderr)
    body = {
        **document,
        "base": base,
        "request_id": request_id,
        "dry_run": arguments.dry_run,
    }
    if arguments.dry_run:
        return _report_dry_run(arguments, await client.post(path, body, DryRunDocument))
    match await client.post(path, body, AcceptedDocument):
        case Result(tag="ok", ok=accepted):
            print_document(arguments, accepted, accepted_text)
            return ExitCode.DONE
        case Result(error=failure):
            code = report_failure(arguments, failure)
            if code == ExitCode.UNKNOWN:
                print(
                    "whether the change was accepted is not known; resend it with "
                    f"--base {base} --request-id {request_id}",
                    file=stderr,
                )
            return code


def _report_dry_run(
    arguments: Namespace, result: Result[DryRunDocument, AdminFailure]
) -> int:
    match result:
        case Result(tag="ok", ok=document):
            print_document(arguments, document, dry_run_text)
            return ExitCode.DONE
        case Result(error=failure):
            return report_failure(arguments, failure)


async def _base_revision(
    client: AdminClient, arguments: Namespace
) -> Result[int, AdminFailure]:
    if arguments.base is not None:
        return Ok(arguments.base)
    current = await client.get("/v1/settings", {"path": "/"}, EffectiveValuesDocument)
    return current.map(lambda document: document["revision"])


def _request_id(text: str) -> str:
    if not 1 <= len(text) <= MAX_REQUEST_ID_LENGTH:
        raise ArgumentTypeError(f"not 1 to {MAX_REQUEST_ID_LENGTH} characters")
    return text
