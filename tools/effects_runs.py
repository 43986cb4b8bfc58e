"""Long randomised runs of non-idempotent requests, in virtual time."""

from pathlib import Path
from sys import exit as end_process, path

path.insert(0, str(Path(__file__).parent.parent / "features"))

from fakes.effects import EffectWorld  # noqa: E402
from fakes.virtual_time import run_virtual, silence_logs  # noqa: E402
from seeded_runs import SeedReport, run_seeds  # noqa: E402


async def _run(seed: int) -> EffectWorld:
    world = EffectWorld(seed)
    await world.run()
    return world


def _report(seed: int) -> SeedReport:
    world = run_virtual(_run, seed)
    counts = {"executions": len(world.targets.executions), "sends": len(world.replies)}
    return SeedReport(world.problems(), counts)


if __name__ == "__main__":
    silence_logs()
    end_process(run_seeds(str(__doc__), _report))
