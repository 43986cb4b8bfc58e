"""``lovagetray audit``: changes that operators made or tried to make."""

from argparse import Namespace
from sys import stderr
from typing import Any

from expression import Ok, Result

from lovagetray.cli._admin import (
    AdminClient,
    AdminFailure,
    add_admin_arguments,
    print_document,
    report_failure,
    run_subcommand,
)
from lovagetray.cli._exit_codes import ExitCode
from lovagetray.cli._settings_text import audit_text
from lovagetray.wire import AuditDocument

_PAGE_SIZE = 500


def add_audit_parser(subparsers: Any) -> None:
    """Add the subcommand that shows and verifies the audit trail."""
    parser = subparsers.add_parser(
        "audit", help="show the audit trail, the newest entry first, and verify it"
    )
    parser.add_argument("--limit", type=int, default=20, help="most entries to show")
    parser.add_argument("--before", type=int, help="entries with lower numbers only")
    parser.add_argument(
        "--all", action="store_true", help="show and verify every entry that is kept"
    )
    add_admin_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _audit))


async def _audit(client: AdminClient, arguments: Namespace) -> int:
    match await _fetch_entries(client, arguments):
        case Result(tag="ok", ok=document):
            print_document(arguments, document, audit_text)
        case Result(error=failure):
            return report_failure(arguments, failure)
    if document["faults"]:
        print("the audit trail has a gap or was edited", file=stderr)
        return ExitCode.REFUSED
    return ExitCode.DONE


async def _fetch_entries(
    client: AdminClient, arguments: Namespace
) -> Result[AuditDocument, AdminFailure]:
    """Return the selected entries and faults; the instance verifies each page."""
    limit = _PAGE_SIZE if arguments.all else arguments.limit
    collected: AuditDocument = {"entries": [], "faults": []}
    before = arguments.before
    while True:
        parameters = {"before": before, "limit": limit}
        match await client.get("/v1/audit", parameters, AuditDocument):
            case Result(tag="ok", ok=page):
                collected["entries"] += page["entries"]
                collected["faults"] += page["faults"]
            case failed:
                return failed
        if not arguments.all or len(page["entries"]) < limit:
            return Ok(collected)
        before = page["entries"][-1]["sequence"]
