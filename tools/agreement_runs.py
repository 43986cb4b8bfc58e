"""Runs the replicated log in virtual time over a range of seeds."""

from argparse import ArgumentParser
from collections import Counter
from logging import CRITICAL
from pathlib import Path
from sys import path
from time import monotonic

from structlog import configure, make_filtering_bound_logger

path.insert(0, str(Path(__file__).parent.parent / "features"))

from fakes.agreement_runs import run_seed  # noqa: E402


def main() -> int:
    """Print seeds and counts; return 1 if any run found a problem."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-1000000", help="first-last")
    parser.add_argument("--minutes", type=float, default=1.0, help="time limit")
    arguments = parser.parse_args()
    first, last = (int(part) for part in arguments.seeds.split("-"))
    configure(wrapper_class=make_filtering_bound_logger(CRITICAL))
    deadline = monotonic() + arguments.minutes * 60
    totals: Counter[str] = Counter()
    bad: list[int] = []
    seed = first
    while seed <= last and monotonic() < deadline:
        report = run_seed(seed)
        totals.update(report.counts)
        if report.problems:
            bad.append(seed)
            print(f"seed {seed}: {len(report.problems)} problems")
            for problem in report.problems[:5]:
                print(f"  {problem}")
        seed += 1
    print(f"seeds {first}-{seed - 1}: {seed - first} runs, {len(bad)} with problems")
    for name, number in sorted(totals.items()):
        print(f"  {name}: {number}")
    return 1 if bad else 0


if __name__ == "__main__":
    raise SystemExit(main())
