"""Rows of the capacity tables: a slope times a size, compared with a limit."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from slope import Slope

# Above this residual the fitted line does not describe the measured points.
_MAX_RESIDUAL = 0.1


class Sizes(NamedTuple):
    """Sizes and limits (section 1.4 of the design page) and structure (section 4.12).

    Parameters
    ----------
    queries_per_second
        Over all nodes.
    fan_out
        Shards of a query.
    max_change_seconds
        Time until a settings change is in force everywhere.
    max_cpu, max_memory, max_traffic
        Limits of an ordinary node: CPU in microseconds each second, memory in bytes
        and traffic in bytes each second.
    max_instances_set_aside
        Limit of the instances that are set aside as voters of all groups.
    voters, region_voters
        Voters of the settings group, and of the group of each region.
    relay_degree
        Children of a relay.
    batch_size
        Replicas of one owner, and sub-requests in one message to it.
    """

    nodes: int = 7_000
    replicas: int = 45_000
    queries_per_second: int = 2_500_000
    fan_out: int = 890
    regions: int = 10
    data_centres: int = 32
    changes_per_day: int = 48_000
    max_change_seconds: int = 11
    failures_per_day: int = 71
    restarts_per_day: int = 11_000
    deadline_seconds: float = 0.33
    max_cpu: float = 42_000  # us/s: 4.2% of a core
    max_memory: float = 128e6
    max_traffic: float = 10_000  # B/s
    max_instances_set_aside: int = 57
    voters: int = 7
    region_voters: int = 5
    relay_degree: int = 84
    batch_size: int = 30

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
        """The number of owners, if each owns a batch of replicas."""
        return self.replicas / self.batch_size

    @property
    def sub_requests_per_second(self) -> float:
        """The sub-requests of all queries each second."""
        return self.queries_per_second * self.fan_out


SECONDS_PER_DAY = 86_400
CORE_US = 1e6  # CPU microseconds of one core in a second
ONE_CORE = 1.0


class Cost(NamedTuple):
    """A cost and its formula; `value` is None if a slope has not been measured."""

    value: float | None
    formula: str

    def times(self, factor: float, label: str) -> "Cost":
        """Return the cost multiplied by a factor, for example by a rate."""
        value = None if self.value is None else self.value * factor
        return Cost(value, f"{self.formula} × {label}")

    def in_cores(self) -> "Cost":
        """Return a cost in CPU microseconds each second as a number of cores."""
        value = None if self.value is None else self.value / CORE_US
        return Cost(value, f"{self.formula} us")

    def plus(self, other: "Cost") -> "Cost":
        """Return the sum of two costs."""
        formula = f"({self.formula} + {other.formula})"
        if self.value is None or other.value is None:
            return Cost(None, formula)
        return Cost(self.value + other.value, formula)


class Row(NamedTuple):
    """A row of a capacity table.

    Parameters
    ----------
    limit
        The largest allowed value; None if section 1.4 states no limit.
    mechanism
        How the system carries this cost, or what is proposed if it exceeds the limit.
    """

    subject: str
    cost: Cost
    unit: str
    limit: float | None
    mechanism: str

    @property
    def verdict(self) -> str:
        """Whether the cost is within the limit, as text."""
        if self.cost.value is None:
            return "**not measured**"
        if self.limit is None:
            return "no limit stated"
        return "yes" if self.cost.value <= self.limit else "**no**"


class Role(NamedTuple):
    """A table of the page, on one role of the system.

    Parameters
    ----------
    name
        The name in the table's markers in the page.
    parts
        Functions that return the rows of the table, in order.
    """

    name: str
    title: str
    parts: tuple[Callable[["Costs", Sizes], list[Row]], ...]

    def rows(self, costs: "Costs", sizes: Sizes) -> list[Row]:
        """Return all rows of the table."""
        return [row for part in self.parts for row in part(costs, sizes)]


class Costs:
    """Costs computed from stored slopes."""

    def __init__(self, slopes: Mapping[str, Slope]) -> None:
        self._slopes = slopes

    def at_size(self, name: str, size: float) -> Cost:
        """Return the cost at a size.

        The point measured at that size is used if there is one; otherwise the slope
        times the size, plus the intercept where that is above zero and the line fits.
        """
        slope = self._slopes.get(name)
        if slope is None:
            return Cost(None, f"`{name}`({format_number(size)})")
        for measured_size, cost in slope["points"]:
            if measured_size == size:
                return Cost(
                    cost,
                    f"`{name}` measured at {format_number(size)}:"
                    f" {format_number(cost)}",
                )
        value = slope["slope"] * size
        formula = f"`{name}` {format_number(slope['slope'])} × {format_number(size)}"
        if slope["residual"] > _MAX_RESIDUAL:
            formula += f" (residual {slope['residual']:.0%})"
        elif slope["intercept"] > 0:
            value += slope["intercept"]
            formula += f" + {format_number(slope['intercept'])}"
        return Cost(value, formula)

    def per_unit(self, name: str) -> Cost:
        """Return the slope alone: the cost of one more unit of the size."""
        slope = self._slopes.get(name)
        if slope is None:
            return Cost(None, f"`{name}`")
        formula = f"`{name}` {format_number(slope['slope'])}"
        if slope["residual"] > _MAX_RESIDUAL:
            formula += f" (residual {slope['residual']:.0%})"
        return Cost(slope["slope"], formula)

    def intercept(self, name: str) -> Cost:
        """Return the cost at size zero."""
        slope = self._slopes.get(name)
        if slope is None:
            return Cost(None, f"intercept of `{name}`")
        cost = slope["intercept"]
        return Cost(cost, f"intercept of `{name}` {format_number(cost)}")


def computed(value: float, formula: str) -> Cost:
    """Return a figure that follows from the sizes alone."""
    return Cost(value, formula)


def count_within(limit: float, cost: Cost, label: str) -> Cost:
    """Return how many times a cost fits within a limit."""
    value = limit / cost.value if cost.value else None
    return Cost(value, f"{label} / ({cost.formula})")


def format_number(value: float) -> str:
    """Return a number with three significant digits and an SI prefix.

    Numbers from 1000 to 9999 keep four digits and no prefix.
    """
    for size, prefix in ((1e12, " T"), (1e9, " G"), (1e6, " M"), (1e4, " k")):
        if abs(value) >= size:
            return f"{value / (1e3 if prefix == ' k' else size):.3g}{prefix}"
    return f"{value:.4g}" if abs(value) >= 1000 else f"{value:.3g}"


def format_table(rows: list[Row]) -> list[str]:
    """Return the lines of a Markdown table."""
    lines = [
        "| What | Slope × size | Result | Limit | Fits | Mechanism |",
        "|---|---|---:|---:|---|---|",
    ]
    for row in rows:
        value = row.cost.value
        result = "-" if value is None else f"{format_number(value)} {row.unit}"
        limit = "-" if row.limit is None else f"{format_number(row.limit)} {row.unit}"
        lines.append(
            f"| {row.subject} | {row.cost.formula} | {result} | {limit}"
            f" | {row.verdict} | {row.mechanism} |"
        )
    return lines
