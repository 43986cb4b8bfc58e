"""``lovagetray gateway``: run a gateway on the users' platform."""

from argparse import Namespace
from pathlib import Path
from typing import Any


def add_gateway_parser(subparsers: Any) -> None:
    """Add the subcommand that runs a gateway."""
    parser = subparsers.add_parser(
        "gateway",
        help="run a gateway on the users' platform",
        description=(
            "Run a gateway until SIGTERM. It then leaves the address lists, answers "
            "the requests it has accepted and ends before the grace period does. "
            "SIGHUP makes it read its seeds again. `python -m lovagetray.platform` is "
            "the same program without the command line."
        ),
    )
    parser.add_argument(
        "--settings",
        type=Path,
        help="TOML file of the platform; default: $LOVAGETRAY_SETTINGS",
    )
    parser.set_defaults(run=_run_gateway)


def _run_gateway(arguments: Namespace) -> int:
    # Imported here, because the other subcommands do not need the libraries that the
    # platform package imports.
    from lovagetray.platform.run import run_gateway

    return run_gateway(arguments.settings)
