"""``lovagetray settings history``, ``diff`` and ``export``: past revisions."""

from argparse import Namespace
from typing import Any

from expression import Result

from lovagetray.cli._admin import (
    AdminClient,
    add_admin_arguments,
    print_document,
    report_failure,
    run_subcommand,
)
from lovagetray.cli._exit_codes import ExitCode
from lovagetray.cli._settings_text import diff_text, history_text
from lovagetray.wire import DiffDocument, ExportDocument, HistoryDocument, format_ini


def add_history_parser(subparsers: Any) -> None:
    """Add the subcommand that lists revisions."""
    parser = subparsers.add_parser("history", help="list revisions, the newest first")
    parser.add_argument("--limit", type=int, default=20, help="most revisions to list")
    add_admin_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _history))


def add_diff_parser(subparsers: Any) -> None:
    """Add the subcommand that compares two revisions."""
    parser = subparsers.add_parser("diff", help="show how two revisions differ")
    parser.add_argument("old", type=int, help="a revision")
    parser.add_argument("new", type=int, nargs="?", help="default: that in force")
    add_admin_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _diff))


def add_export_parser(subparsers: Any) -> None:
    """Add the subcommand that writes the tree as INI."""
    parser = subparsers.add_parser(
        "export", help="print the tree as INI; import reads it"
    )
    parser.add_argument("--revision", type=int, help="default: that in force")
    add_admin_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _export))


async def _history(client: AdminClient, arguments: Namespace) -> int:
    parameters = {"limit": arguments.limit}
    match await client.get("/v1/settings/history", parameters, HistoryDocument):
        case Result(tag="ok", ok=document):
            print_document(arguments, document, history_text)
            return ExitCode.DONE
        case Result(error=failure):
            return report_failure(arguments, failure)


async def _diff(client: AdminClient, arguments: Namespace) -> int:
    parameters = {"old": arguments.old, "new": arguments.new}
    match await client.get("/v1/settings/diff", parameters, DiffDocument):
        case Result(tag="ok", ok=document):
            print_document(arguments, document, diff_text)
            return ExitCode.DONE
        case Result(error=failure):
            return report_failure(arguments, failure)


async def _export(client: AdminClient, arguments: Namespace) -> int:
    parameters = {"revision": arguments.revision}
    match await client.get("/v1/settings/export", parameters, ExportDocument):
        case Result(tag="ok", ok=document):
            print_document(arguments, document, _ini_text)
            return ExitCode.DONE
        case Result(error=failure):
            return report_failure(arguments, failure)


def _ini_text(document: ExportDocument) -> str:
    return f"# revision {document['revision']}\n" + format_ini(document["branches"])
