"""``lovagetray settings rollback``: restore the tree of an earlier revision."""

from argparse import Namespace
from typing import Any

from lovagetray.cli._admin import AdminClient, add_admin_arguments, run_subcommand
from lovagetray.cli._send_change import add_change_arguments, send_change


def add_rollback_parser(subparsers: Any) -> None:
    """Add the subcommand that restores the tree of an earlier revision."""
    parser = subparsers.add_parser(
        "rollback", help="make the tree of an earlier revision a new, higher revision"
    )
    parser.add_argument("revision", type=int, help="the revision to return to")
    add_admin_arguments(parser)
    add_change_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _roll_back))


async def _roll_back(client: AdminClient, arguments: Namespace) -> int:
    document = {"to_revision": arguments.revision}
    return await send_change(client, arguments, "/v1/settings/rollback", document)
