"""Randomised runs of non-idempotent requests in virtual time, by seed."""

from pathlib import Path
from sys import exit as end_process, path

path.insert(0, str(Path(__file__).parent.parent / "features"))

from fakes.effects import EffectSimulation  # noqa: E402
from fakes.virtual_time import run_in_virtual_time, silence_logs  # noqa: E402
from seeded_runs import SeedReport, run_seeds  # noqa: E402


async def _simulate(seed: int) -> EffectSimulation:
    simulation = EffectSimulation(seed)
    await simulation.run()
    return simulation


def _run_simulation(seed: int) -> SeedReport:
    simulation = run_in_virtual_time(_simulate, seed)
    counts = {
        "executions": len(simulation.targets.executions),
        "sends": len(simulation.replies),
    }
    return SeedReport(simulation.problems(), counts)


if __name__ == "__main__":
    silence_logs()
    end_process(run_seeds(str(__doc__), _run_simulation))
