"""Measures how costs grow with sizes and stores the slopes as JSON.

Each subcommand measures some slopes; ``all`` runs every subcommand in turn. The sizes
can be given, to leave out those that the machine cannot carry; a stored slope states
the smallest and the largest size that were measured.
"""

from argparse import ArgumentDefaultsHelpFormatter, ArgumentParser, Namespace
from collections.abc import Callable
from logging import CRITICAL
from pathlib import Path

from slope import Slope, store_slopes
from slopes_in_process import cpu_fan_out, memory_replica, messages
from slopes_of_processes import (
    control_instances,
    control_targets,
    cpu_connections,
    cpu_sub_request,
    memory_connection,
    memory_target_connection,
)
from slopes_of_settings import settings_change

from lovagetray._telemetry import configure_logging

Measure = Callable[[Namespace], list[Slope]]


_MEASURES: dict[str, Measure] = {
    "control-instances": control_instances,
    "control-targets": control_targets,
    "memory-replica": memory_replica,
    "memory-connection": memory_connection,
    "memory-target-connection": memory_target_connection,
    "cpu-fan-out": cpu_fan_out,
    "cpu-connections": cpu_connections,
    "cpu-sub-request": cpu_sub_request,
    "messages": messages,
    "settings-change": settings_change,
}


def _run_all(arguments: Namespace) -> list[Slope]:
    return [slope for measure in _MEASURES.values() for slope in measure(arguments)]


def main() -> None:
    """Measure and print the slopes, and store them if a file is given."""
    parser = ArgumentParser(
        description=__doc__, formatter_class=ArgumentDefaultsHelpFormatter
    )
    parser.add_argument("--store", type=Path, help="JSON file to update")
    parser.add_argument(
        "--seconds",
        type=float,
        default=5,
        help="measuring time of a point",
    )
    subparsers = parser.add_subparsers(required=True, metavar="measurement")
    for name, measure in {**_MEASURES, "all": _run_all}.items():
        text = (measure.__doc__ or "Run every measurement.").splitlines()[0]
        subparser = subparsers.add_parser(name, help=text)
        subparser.add_argument("--sizes", type=int, nargs="*", default=[])
        subparser.set_defaults(measure=measure)
    arguments = parser.parse_args()
    configure_logging(CRITICAL)
    slopes = arguments.measure(arguments)
    for slope in slopes:
        print(
            f"{slope['name']}: {slope['slope']} {slope['cost']} for each of"
            f" {slope['size']}, intercept {slope['intercept']}, residual"
            f" {slope['residual']:.1%}, sizes {slope['smallest']:g} to"
            f" {slope['largest']:g}"
        )
    if arguments.store:
        store_slopes(arguments.store, slopes)


if __name__ == "__main__":
    main()
