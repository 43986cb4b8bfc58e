"""Runs instances that share replicas in virtual time, over many seeds."""

from argparse import ArgumentParser
from collections import Counter
from pathlib import Path
from sys import exit as end_process, path
from time import monotonic

path.insert(0, str(Path(__file__).parent.parent / "features"))

from fakes.ownership_run import run_seed  # noqa: E402
from structlog import configure, make_filtering_bound_logger  # noqa: E402


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> None:
    """Run the seeds until done or out of time; exit 1 on a broken rule."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_seeds, required=True, help="A-B")
    parser.add_argument("--minutes", type=float, default=5, help="longest run time")
    arguments = parser.parse_args()
    configure(wrapper_class=make_filtering_bound_logger(50))
    end = monotonic() + 60 * arguments.minutes
    totals = Counter[str]()
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
            for problem in report.problems[:5]:
                print(f"  {problem}", flush=True)
    first = arguments.seeds[0]
    print(f"seeds {first}-{first + done - 1}: {done} runs, {broken} with problems")
    print(", ".join(f"{name} {count}" for name, count in sorted(totals.items())))
    end_process(1 if broken else 0)


if __name__ == "__main__":
    main()
