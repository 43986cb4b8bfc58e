"""Shows how much of the spread of costs each attribute of a request explains.

The synthetic load has the figures of docs/design/demands.md: routes of 13.8, 42 and
220 ms, a tail of 1% at 5 times the mean, 79 workspaces (Zipf 1.2), replicas of speed
0.8, 1.0 and 1.3 and pauses of 200 ms every 4.5 s. What the page does not state has no
effect in it: path, size and time of day are drawn at random. Shards differ by up to a
quarter, and one workspace in ten asks for 2 to 8 times as much work; both are assumed.
"""

from argparse import ArgumentParser
from collections import defaultdict
from collections.abc import Iterable
from math import log
from random import Random
from statistics import fmean
from typing import NamedTuple

_MEANS = {"light": 0.0138, "usual": 0.042, "heavy": 0.22}
_SHARES = (0.8, 0.15, 0.05)
_SPEEDS = (0.8, 1.0, 1.3)
_PAUSE, _INTERVAL = 0.2, 4.5


class Sample(NamedTuple):
    """Attributes of a sub-request and the logarithm of its time."""

    route: str
    service: int
    path: int
    size: int
    workspace: int
    replica: int
    time_of_day: int
    log_time: float


def draw_samples(count: int, random: Random) -> list[Sample]:
    """Return sub-requests of the synthetic load."""
    shards = [random.uniform(0.75, 1.25) for _ in range(36)]
    factors = [
        random.uniform(2, 8) if random.random() < 0.1 else 1.0 for _ in range(79)
    ]
    weights = [1 / rank**1.2 for rank in range(1, 80)]
    return [_draw(random, shards, factors, weights) for _ in range(count)]


def _draw(
    random: Random, shards: list[float], factors: list[float], weights: list[float]
) -> Sample:
    (route,) = random.choices(list(_MEANS), _SHARES)
    (workspace,) = random.choices(range(79), weights)
    shard, replica = random.randrange(36), random.randrange(3)
    seconds = _MEANS[route] * shards[shard] * factors[workspace]
    seconds *= random.uniform(0.6, 1.4) / _SPEEDS[replica]
    seconds *= 5 if random.random() < 0.01 else 1
    offset = random.uniform(0, _INTERVAL)
    seconds += max(0.0, _PAUSE - offset)
    path, size, hour = random.randrange(200), random.randrange(20), random.randrange(24)
    return Sample(route, shard, path, size, workspace, replica, hour, log(seconds))


def explained(samples: list[Sample], names: Iterable[str]) -> float:
    """Return the share of the variance that the means of groups explain.

    The means come from one half of the samples and are applied to the other half, so
    that attributes without effect explain nothing.
    """
    half = len(samples) // 2
    groups: defaultdict[tuple[object, ...], list[float]] = defaultdict(list)
    names = tuple(names)
    for sample in samples[:half]:
        groups[tuple(getattr(sample, name) for name in names)].append(sample.log_time)
    means = {key: fmean(values) for key, values in groups.items()}
    overall = fmean(sample.log_time for sample in samples[:half])
    total = left = 0.0
    for sample in samples[half:]:
        mean = means.get(tuple(getattr(sample, name) for name in names), overall)
        left += (sample.log_time - mean) ** 2
        total += (sample.log_time - overall) ** 2
    return 1 - left / total


def main() -> None:
    """Print the table."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--samples", type=int, default=60_000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    samples = draw_samples(arguments.samples, Random(arguments.seed))
    singles = [(name,) for name in Sample._fields[:-1]]
    pairs = [("route", "service"), ("route", "workspace"), ("route", "replica")]
    for names in [*singles, *pairs, ("route", "workspace", "replica")]:
        print(f"{' + '.join(names):28} {100 * explained(samples, names):5.1f}%")


if __name__ == "__main__":
    main()
