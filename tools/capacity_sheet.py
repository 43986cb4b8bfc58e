"""Lines of the capacity page: a slope times a size, beside its limit."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from slope import Slope

# Above this residual the fitted line does not describe the measured points.
_POOR_FIT = 0.1


class Sizes(NamedTuple):
    """Section 1.4 of the design page, and the structure of section 4.12."""

    nodes: int = 7_000
    replicas: int = 45_000
    queries: int = 2_500_000
    fan_out: int = 890
    regions: int = 10
    data_centres: int = 32
    changes_a_day: int = 48_000
    change_seconds: int = 11
    failures_a_day: int = 71
    restarts_a_day: int = 11_000
    deadline_seconds: float = 0.33
    cpu: float = 42_000  # us/s: 4.2% of a core
    memory: float = 128e6
    octets: float = 10_000  # B/s
    set_aside: int = 57
    voters: int = 7
    region_voters: int = 5
    relay_degree: int = 84
    batch: int = 30

    @property
    def region_nodes(self) -> float:
        """The nodes of one region."""
        return self.nodes / self.regions

    @property
    def region_replicas(self) -> float:
        """The replicas of one region."""
        return self.replicas / self.regions

    @property
    def aggregators(self) -> float:
        """The owners, if each answers batches of the design's size."""
        return self.replicas / self.batch

    @property
    def sub_requests(self) -> float:
        """The sub-requests each second."""
        return self.queries * self.fan_out


DAY_SECONDS = 86_400
CORE = 1e6  # us/s
ONE_CORE = 1.0


class Cost(NamedTuple):
    """A cost and how it came about; `value` is None if a slope is not measured."""

    value: float | None
    text: str

    def times(self, factor: float, text: str) -> "Cost":
        """Return the cost multiplied, for example by a rate."""
        value = None if self.value is None else self.value * factor
        return Cost(value, f"{self.text} × {text}")

    def cores(self) -> "Cost":
        """Return a cost in microseconds for each second as cores."""
        value = None if self.value is None else self.value / CORE
        return Cost(value, f"{self.text} us")

    def plus(self, other: "Cost") -> "Cost":
        """Return the sum of two costs."""
        text = f"({self.text} + {other.text})"
        if self.value is None or other.value is None:
            return Cost(None, text)
        return Cost(self.value + other.value, text)


class Line(NamedTuple):
    """One line of the page.

    Parameters
    ----------
    limit
        What the value must not exceed; None if section 1.4 states no limit.
    mechanism
        What carries the line, or what is proposed if it does not fit.
    """

    subject: str
    cost: Cost
    unit: str
    limit: float | None
    mechanism: str

    @property
    def verdict(self) -> str:
        """Whether the line fits."""
        if self.cost.value is None:
            return "**not measured**"
        if self.limit is None:
            return "no limit stated"
        return "yes" if self.cost.value <= self.limit else "**no**"


class Role(NamedTuple):
    """A table of the page; each part returns some of its lines."""

    name: str
    title: str
    parts: tuple[Callable[["Costs", Sizes], list[Line]], ...]

    def lines(self, costs: "Costs", sizes: Sizes) -> list[Line]:
        """Return all lines of the table."""
        return [line for part in self.parts for line in part(costs, sizes)]


class Costs:
    """Costs from stored slopes."""

    def __init__(self, slopes: Mapping[str, Slope]) -> None:
        self._slopes = slopes

    def of(self, name: str, size: float) -> Cost:
        """Return a measured cost at a size.

        The point measured at that size is used if there is one; otherwise the slope
        times the size, plus the intercept where that is above zero and the line fits.
        """
        slope = self._slopes.get(name)
        if slope is None:
            return Cost(None, f"`{name}`({short(size)})")
        for measured, cost in slope["points"]:
            if measured == size:
                return Cost(cost, f"`{name}` measured at {short(size)}: {short(cost)}")
        value = slope["slope"] * size
        text = f"`{name}` {short(slope['slope'])} × {short(size)}"
        if slope["residual"] > _POOR_FIT:
            text += f" (residual {slope['residual']:.0%})"
        elif slope["intercept"] > 0:
            value += slope["intercept"]
            text += f" + {short(slope['intercept'])}"
        return Cost(value, text)

    def each(self, name: str) -> Cost:
        """Return the slope alone: the cost of one more."""
        slope = self._slopes.get(name)
        if slope is None:
            return Cost(None, f"`{name}`")
        text = f"`{name}` {short(slope['slope'])}"
        if slope["residual"] > _POOR_FIT:
            text += f" (residual {slope['residual']:.0%})"
        return Cost(slope["slope"], text)

    def base(self, name: str) -> Cost:
        """Return the cost at size zero."""
        slope = self._slopes.get(name)
        if slope is None:
            return Cost(None, f"intercept of `{name}`")
        cost = slope["intercept"]
        return Cost(cost, f"intercept of `{name}` {short(cost)}")


def exact(value: float, text: str) -> Cost:
    """Return a figure that follows from the sizes alone."""
    return Cost(value, text)


def most(limit: float, cost: Cost, text: str) -> Cost:
    """Return how many of a cost fit within a limit."""
    value = limit / cost.value if cost.value else None
    return Cost(value, f"{text} / ({cost.text})")


def short(value: float) -> str:
    """Return a number with three digits and a unit prefix of thousands."""
    for size, letter in ((1e12, " T"), (1e9, " G"), (1e6, " M"), (1e4, " k")):
        if abs(value) >= size:
            return f"{value / (1e3 if letter == ' k' else size):.3g}{letter}"
    return f"{value:.4g}" if abs(value) >= 1000 else f"{value:.3g}"


def table(lines: list[Line]) -> list[str]:
    """Return lines as a table."""
    rows = [
        "| What | Slope × size | Result | Limit | Fits | Mechanism |",
        "|---|---|---:|---:|---|---|",
    ]
    for line in lines:
        value = line.cost.value
        result = "-" if value is None else f"{short(value)} {line.unit}"
        limit = "-" if line.limit is None else f"{short(line.limit)} {line.unit}"
        rows.append(
            f"| {line.subject} | {line.cost.text} | {result} | {limit}"
            f" | {line.verdict} | {line.mechanism} |"
        )
    return rows
