"""A slope: how a cost grows with a size, fitted to measured points and stored."""

from collections.abc import Sequence
from datetime import datetime, timezone
from math import sqrt
from os import getloadavg
from pathlib import Path
from shlex import join
from sys import argv
from typing import NotRequired, TypedDict

from msgspec.json import Decoder, encode, format as format_json


class Slope(TypedDict):
    """A measured cost over a size, with the line fitted to its points.

    Parameters
    ----------
    cost, size
        What the two axes are, with their units.
    residual
        Root mean square of the distance between points and line, as a share of the
        mean cost. Above 0.1 the line does not describe the points; a size beyond the
        largest measured one is an extrapolation in any case.
    command
        The command that measured the points.
    machine_load
        Load average of one minute after the measurement.
    note
        What the points include and what they do not.
    profile
        CPU microseconds of a sub-request by package, for each measured program.
    """

    name: str
    cost: str
    size: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    residual: float
    smallest: float
    largest: float
    command: str
    date: str
    machine_load: float
    note: str
    profile: NotRequired[dict[str, dict[str, float]]]


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Return slope, intercept and residual of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    squares = sum((y - intercept - slope * x) ** 2 for x, y in points)
    residual = sqrt(squares / count) / mean_y if mean_y else 0.0
    return slope, intercept, residual


def make_slope(
    name: str, cost: str, size: str, points: Sequence[tuple[float, float]], note: str
) -> Slope:
    """Return the slope of measured points.

    Parameters
    ----------
    cost, size
        What the two axes are, with their units.
    note
        What the points include and what they do not.
    """
    slope, intercept, residual = fit_line(points)
    sizes = [x for x, _ in points]
    return Slope(
        name=name,
        cost=cost,
        size=size,
        points=[(x, _rounded(y)) for x, y in points],
        slope=_rounded(slope),
        intercept=_rounded(intercept),
        residual=_rounded(residual),
        smallest=min(sizes),
        largest=max(sizes),
        command=join(["python", "tools/slopes.py", *argv[1:]]),
        date=f"{datetime.now(timezone.utc):%Y-%m-%d}",
        machine_load=round(getloadavg()[0], 1),
        note=note,
    )


def read_slopes(file: Path) -> dict[str, Slope]:
    """Return the stored slopes by name; none if there is no file."""
    if not file.exists():
        return {}
    stored = Decoder(list[Slope]).decode(file.read_bytes())
    return {slope["name"]: slope for slope in stored}


def store_slopes(file: Path, measured: Sequence[Slope]) -> None:
    """Replace the stored slopes of the same names and keep the others."""
    slopes = read_slopes(file) | {slope["name"]: slope for slope in measured}
    ordered = [slopes[name] for name in sorted(slopes)]
    file.write_bytes(format_json(encode(ordered), indent=1) + b"\n")


def _rounded(value: float) -> float:
    """Return a value with five significant digits."""
    return float(f"{value:.5g}")
