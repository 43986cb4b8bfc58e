"""``lovagetray settings show``, ``get`` and ``explain``: values in force."""

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
from lovagetray.cli._settings_text import (
    effective_values_text,
    explanation_text,
    value_text,
)
from lovagetray.wire import EffectiveValuesDocument, ExplanationDocument, ValueDocument


def add_show_parser(subparsers: Any) -> None:
    """Add the subcommand that shows all values in force at a branch."""
    parser = subparsers.add_parser("show", help="show all values in force at a branch")
    parser.add_argument("path", nargs="?", default="/", help="such as /user/service")
    add_admin_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _show))


def add_get_parser(subparsers: Any) -> None:
    """Add the subcommand that shows one value in force."""
    parser = subparsers.add_parser("get", help="show one value in force")
    _add_value_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _get))


def add_explain_parser(subparsers: Any) -> None:
    """Add the subcommand that shows where a value comes from."""
    parser = subparsers.add_parser("explain", help="show where a value comes from")
    _add_value_arguments(parser)
    parser.set_defaults(run=lambda arguments: run_subcommand(arguments, _explain))


def _add_value_arguments(parser: Any) -> None:
    parser.add_argument("path", help="such as /user/service")
    parser.add_argument("key", help="such as hedge.budget")
    add_admin_arguments(parser)


async def _show(client: AdminClient, arguments: Namespace) -> int:
    parameters = {"path": arguments.path}
    match await client.get("/v1/settings", parameters, EffectiveValuesDocument):
        case Result(tag="ok", ok=document):
            print_document(arguments, document, effective_values_text)
            return ExitCode.DONE
        case Result(error=failure):
            return report_failure(arguments, failure)


async def _get(client: AdminClient, arguments: Namespace) -> int:
    parameters = {"path": arguments.path, "key": arguments.key}
    match await client.get("/v1/settings/value", parameters, ValueDocument):
        case Result(tag="ok", ok=document):
            print_document(arguments, document, value_text)
            return ExitCode.DONE
        case Result(error=failure):
            return report_failure(arguments, failure)


async def _explain(client: AdminClient, arguments: Namespace) -> int:
    parameters = {"path": arguments.path, "key": arguments.key}
    match await client.get("/v1/settings/explain", parameters, ExplanationDocument):
        case Result(tag="ok", ok=document):
            print_document(arguments, document, explanation_text)
            return ExitCode.DONE
        case Result(error=failure):
            return report_failure(arguments, failure)
