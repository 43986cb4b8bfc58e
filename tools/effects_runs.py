"""Long randomised runs of non-idempotent requests, in virtual time."""

from argparse import ArgumentParser
from pathlib import Path
from sys import exit, path
from time import monotonic

path.insert(0, str(Path(__file__).parent.parent / "features"))

from fakes.effects import EffectWorld  # noqa: E402
from fakes.virtual_time import run_virtual, silence_logs  # noqa: E402


async def _run(seed: int) -> EffectWorld:
    world = EffectWorld(seed)
    await world.run()
    return world


def main() -> int:
    """Run seeds until they or the minutes end; return 1 on a broken promise."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-1000", help="first-last")
    parser.add_argument("--minutes", type=float, default=10)
    arguments = parser.parse_args()
    silence_logs()
    first, last = map(int, arguments.seeds.split("-"))
    end = monotonic() + arguments.minutes * 60
    executions = done = broken = 0
    for seed in range(first, last + 1):
        world = run_virtual(_run, seed)
        executions += len(world.targets.executions)
        done += 1
        for problem in world.problems():
            broken += 1
            print(f"seed {seed}: {problem}")
        if monotonic() > end:
            break
    print(
        f"seeds {first} to {first + done - 1}: {done} runs, "
        f"{executions} executions, {broken} broken promises"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    exit(main())
