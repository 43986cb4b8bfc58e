"""Runs one kind of randomised run over many seeds and reports what it found."""

from argparse import ArgumentParser, ArgumentTypeError
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from time import monotonic
from typing import NamedTuple

_MOST_PROBLEMS = 5


class SeedReport(NamedTuple):
    """What one run did; `problems` is empty if every rule held."""

    problems: Sequence[str]
    counts: Mapping[str, int]


def run_seeds(description: str, run_seed: Callable[[int], SeedReport]) -> int:
    """Run the seeds of the command line; return 1 if a run found a problem."""
    parser = ArgumentParser(description=description)
    parser.add_argument("--seeds", type=_seeds, default=range(1, 1001), help="A-B")
    parser.add_argument("--minutes", type=float, default=10, help="longest run time")
    arguments = parser.parse_args()
    end = monotonic() + 60 * arguments.minutes
    totals: Counter[str] = Counter()
    done = broken = 0
    for seed in arguments.seeds:
        if monotonic() > end:
            break
        report = run_seed(seed)
        done += 1
        totals.update(report.counts)
        if report.problems:
            broken += 1
            print(f"seed {seed}: {len(report.problems)} problems", flush=True)
            for problem in report.problems[:_MOST_PROBLEMS]:
                print(f"  {problem}", flush=True)
    first = arguments.seeds[0]
    print(f"seeds {first}-{first + done - 1}: {done} runs, {broken} with problems")
    print(", ".join(f"{name} {count}" for name, count in sorted(totals.items())))
    return 1 if broken else 0


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise ArgumentTypeError("must look like 1-100") from error
