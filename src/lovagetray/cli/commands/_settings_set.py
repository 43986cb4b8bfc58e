"""``lovagetray settings set`` and ``unset``: change the values of a branch."""

from argparse import ArgumentTypeError, Namespace
from typing import Any

from lovagetray.cli._admin import AdminClient, add_admin_arguments, run_subcommand
from lovagetray.cli._send_change import add_change_arguments, send_change

_PATH = "/v1/settings/change"


def add_set_parser(subparsers: Any) -> None:
    """Add the subcommand that sets values at a branch."""
    parser = subparsers.add_parser(
        "set", help="set values at a branch; all in one revision or none"
    )
    parser.add_argument("path", help="such as /user/service")
    parser.add_argument(
        "values",
        nargs="+",
        type=_parse_assignment,
        metavar="KEY=VALUE",
        help="value to set",
    )
    add_admin_arguments(parser)
    add_change_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _set))


def add_unset_parser(subparsers: Any) -> None:
    """Add the subcommand that removes values, so that the branch inherits them."""
    parser = subparsers.add_parser(
        "unset", help="remove values from a branch, so that it inherits them again"
    )
    parser.add_argument("path", help="such as /user/service")
    parser.add_argument("keys", nargs="+", metavar="KEY", help="key to remove")
    add_admin_arguments(parser)
    add_change_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _unset))


async def _set(client: AdminClient, arguments: Namespace) -> int:
    changes = [
        {"path": arguments.path, "key": key, "value": value}
        for key, value in arguments.values
    ]
    return await send_change(client, arguments, _PATH, {"changes": changes})


async def _unset(client: AdminClient, arguments: Namespace) -> int:
    changes = [{"path": arguments.path, "key": key} for key in arguments.keys]
    return await send_change(client, arguments, _PATH, {"changes": changes})


def _parse_assignment(text: str) -> tuple[str, str]:
    key, equals, value = text.partition("=")
    if not equals:
        raise ArgumentTypeError(f"{text!r} is not KEY=VALUE")
    return key.strip(), value.strip()
