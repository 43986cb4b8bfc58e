"""Runs gateways as processes under random faults from outside, by seed.

Each run starts 5 gateways, 15 replicas behind loopback proxies and callers with kept
connections. Processes are killed, stopped, paused and reloaded, a disk is lost,
replicas and links are harmed. Callers have keys of workspaces with quotas, which new
configurations change, data centres are evacuated, and replicas turn cold. What callers
and replicas see is checked against the promises. It exits 1 if one was broken; the logs
of such a run are kept.
"""

from argparse import ArgumentParser
from functools import partial
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from seeded_runs import SeedReport, run_seeds
from soak.run import SoakRun
from soak.workspace_run import WorkspaceSoakRun

_PLAIN_SECONDS = 10.0
# Withdrawn keys and evacuations are checked only some seconds after they begin.
_SECONDS = 20.0


def _run_seed(seed: int, plain: bool) -> SeedReport:
    folder = Path(mkdtemp(prefix=f"fault-soak-{seed}-"))
    if plain:
        report = SoakRun(seed, _PLAIN_SECONDS, folder).run()
    else:
        report = WorkspaceSoakRun(seed, _SECONDS, folder).run()
    if report.problems:
        print(f"logs of seed {seed}: {folder}", flush=True)
    else:
        rmtree(folder, ignore_errors=True)
    return SeedReport(report.problems, report.counts)


if __name__ == "__main__":
    options = ArgumentParser(add_help=False)
    options.add_argument(
        "--plain",
        action="store_true",
        help="run without workspaces, evacuations and cold replicas",
    )
    is_plain = options.parse_known_args()[0].plain
    run_seed = partial(_run_seed, plain=is_plain)
    raise SystemExit(run_seeds(str(__doc__), run_seed, [options]))
