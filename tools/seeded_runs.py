"""Command line of the randomised runs: many seeds, with a summary of the problems."""

from argparse import ArgumentParser, ArgumentTypeError
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from time import monotonic
from typing import NamedTuple

_MAX_PRINTED_PROBLEMS = 5


class SeedReport(NamedTuple):
    """The problems and counts of one run.

    Parameters
    ----------
    problems
        Descriptions of broken invariants; empty if all held.
    counts
        Numbers of events of the run by name, which are summed over all runs.
    """

    problems: Sequence[str]
    counts: Mapping[str, int]


def run_seeds(
    description: str,
    run_seed: Callable[[int], SeedReport],
    options: Sequence[ArgumentParser] = (),
) -> int:
    """Return the exit status of the seeds of the command line, after running them.

    The status is 1 if a run found a problem, else 0.

    Parameters
    ----------
    description
        Text of the command's help.
    run_seed
        Returns the report of one run.
    options
        Parsers of further options, which the caller evaluates.
    """
    parser = ArgumentParser(description=description, parents=options)
    parser.add_argument(
        "--seeds", type=_parse_seeds, default=range(1, 1001), help="range A-B of seeds"
    )
    parser.add_argument(
        "--minutes",
        type=float,
        default=10,
        help="time after which no further run starts",
    )
    arguments = parser.parse_args()
    end = monotonic() + 60 * arguments.minutes
    totals: Counter[str] = Counter()
    run_count = failed_count = 0
    for seed in arguments.seeds:
        if monotonic() > end:
            break
        report = run_seed(seed)
        run_count += 1
        totals.update(report.counts)
        if report.problems:
            failed_count += 1
            print(f"seed {seed}: {len(report.problems)} problems", flush=True)
            for problem in report.problems[:_MAX_PRINTED_PROBLEMS]:
                print(f"  {problem}", flush=True)
    first = arguments.seeds[0]
    print(
        f"seeds {first}-{first + run_count - 1}: {run_count} runs,"
        f" {failed_count} with problems"
    )
    print(", ".join(f"{name} {count}" for name, count in sorted(totals.items())))
    return 1 if failed_count else 0


def _parse_seeds(text: str) -> range:
    first, _, last = text.partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise ArgumentTypeError("must be a seed or a range such as 1-100") from error
