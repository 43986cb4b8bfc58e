"""Runs gateways as processes under random faults from outside, by seed.

Each run starts 5 gateways, 15 replicas behind loopback proxies and callers with kept
connections. Processes are killed, stopped, paused and reloaded, a disk is lost,
replicas and links are harmed. What callers and replicas see is checked against the
promises. It exits 1 if one was broken; the logs of such a run are kept.
"""

from functools import partial
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from seeded_runs import SeedReport, run_seeds
from soak.run import SoakRun

_SECONDS = 10.0


def _run_seed(seed: int, seconds: float) -> SeedReport:
    folder = Path(mkdtemp(prefix=f"fault-soak-{seed}-"))
    report = SoakRun(seed, seconds, folder).run()
    if report.problems:
        print(f"logs of seed {seed}: {folder}", flush=True)
    else:
        rmtree(folder, ignore_errors=True)
    return SeedReport(report.problems, report.counts)


if __name__ == "__main__":
    raise SystemExit(run_seeds(str(__doc__), partial(_run_seed, seconds=_SECONDS)))
