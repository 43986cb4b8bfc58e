"""Randomised runs of instances that share replicas in virtual time, by seed."""

from pathlib import Path
from sys import exit as end_process, path

path.insert(0, str(Path(__file__).parent.parent / "features"))

from fakes.ownership_run import run_ownership_seed  # noqa: E402
from fakes.virtual_time import silence_logs  # noqa: E402
from seeded_runs import SeedReport, run_seeds  # noqa: E402


def _run_instances(seed: int) -> SeedReport:
    run = run_ownership_seed(seed)
    return SeedReport(run.problems, run.counts)


if __name__ == "__main__":
    silence_logs()
    end_process(run_seeds(str(__doc__), _run_instances))
