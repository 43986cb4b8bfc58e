"""Runs the replicated log in virtual time over a range of seeds.

With --gateway the cluster has the settings of gateways: its leader keeps the number of
voters at three. With --compressed in its place, entries and snapshots are compressed
as well; with --passed-on, followers pass on the log to learners without a disk.
"""

from pathlib import Path
from sys import argv, exit as end_process, path

path.insert(0, str(Path(__file__).parent.parent / "features"))

from fakes.agreement_runs import run_agreement_seed, run_gateway_cluster  # noqa: E402
from fakes.virtual_time import silence_logs  # noqa: E402
from seeded_runs import SeedReport, run_seeds  # noqa: E402

# Entries and snapshots of the runs are small.
_MIN_COMPRESSED_BYTES = 100


def _run_cluster(seed: int) -> SeedReport:
    run = run_agreement_seed(seed)
    return SeedReport(run.problems, run.counts)


def _run_gateway_cluster(seed: int) -> SeedReport:
    run = run_gateway_cluster(seed)
    return SeedReport(run.problems, run.counts)


def _run_compressed_cluster(seed: int) -> SeedReport:
    run = run_gateway_cluster(seed, min_compressed_bytes=_MIN_COMPRESSED_BYTES)
    return SeedReport(run.problems, run.counts)


def _run_passed_on(seed: int) -> SeedReport:
    run = run_gateway_cluster(
        seed, min_compressed_bytes=_MIN_COMPRESSED_BYTES, passes_on=True
    )
    return SeedReport(run.problems, run.counts)


if __name__ == "__main__":
    silence_logs()
    run_cluster = _run_cluster
    if "--gateway" in argv:
        argv.remove("--gateway")
        run_cluster = _run_gateway_cluster
    if "--passed-on" in argv:
        argv.remove("--passed-on")
        run_cluster = _run_passed_on
    if "--compressed" in argv:
        argv.remove("--compressed")
        run_cluster = _run_compressed_cluster
    end_process(run_seeds(str(__doc__), run_cluster))
