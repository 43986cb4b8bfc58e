"""Runs the replicated log in virtual time over a range of seeds.

With --gateway the leader keeps three voters by itself, as gateways have it.
"""

from pathlib import Path
from sys import argv, exit as end_process, path

path.insert(0, str(Path(__file__).parent.parent / "features"))

from fakes.agreement_runs import run_gateway_cluster, run_seed  # noqa: E402
from fakes.virtual_time import silence_logs  # noqa: E402
from seeded_runs import SeedReport, run_seeds  # noqa: E402


def _report(seed: int) -> SeedReport:
    run = run_seed(seed)
    return SeedReport(run.problems, run.counts)


def _gateway_report(seed: int) -> SeedReport:
    run = run_gateway_cluster(seed)
    return SeedReport(run.problems, run.counts)


if __name__ == "__main__":
    silence_logs()
    report = _report
    if "--gateway" in argv:
        argv.remove("--gateway")
        report = _gateway_report
    end_process(run_seeds(str(__doc__), report))
