"""Writes the tables of docs/CAPACITY.md from stored slopes, or checks them."""

from argparse import ArgumentParser
from collections.abc import Mapping
from pathlib import Path
from re import DOTALL, Match, compile as compile_pattern
from sys import exit, stderr

from capacity_model import DATA_ROLES
from capacity_of_control import CONTROL_ROLES
from capacity_of_nodes import NODE_ROLES
from capacity_sheet import Costs, Sizes, format_number, format_table
from slope import Slope, read_slopes

_DOCS = Path(__file__).parent.parent / "docs"
_MIN_PROFILED_US = 1.0
_ROLES = (*DATA_ROLES, *CONTROL_ROLES, *NODE_ROLES)
_TABLE_BLOCK = compile_pattern(r"<!-- table:([a-z-]+) -->\n.*?<!-- end -->", DOTALL)


class UnknownTable(Exception):
    """A marker in the page for a table that does not exist."""


def render(page: str, slopes: Mapping[str, Slope]) -> str:
    """Return the page with the tables between its markers written from the slopes.

    Raises
    ------
    UnknownTable
        If a marker names a table that does not exist.
    """
    sizes = Sizes()
    tables = {
        role.name: format_table(role.rows(Costs(slopes), sizes)) for role in _ROLES
    }
    tables["slopes"] = _slope_table(slopes)
    tables["profile"] = _profile_table(slopes)
    tables["unfit"] = _exceeded_limits_table(slopes, sizes)

    def replace(block: Match[str]) -> str:
        name = block.group(1)
        if name not in tables:
            raise UnknownTable(name)
        return "\n".join([f"<!-- table:{name} -->", *tables[name], "<!-- end -->"])

    return _TABLE_BLOCK.sub(replace, page)


def _slope_table(slopes: Mapping[str, Slope]) -> list[str]:
    lines = [
        "| Slope | Cost | For each of | Slope | Intercept | Residual | Sizes"
        " | Date | Load average |",
        "|---|---|---|---:|---:|---:|---|---|---:|",
    ]
    for name in sorted(slopes):
        slope = slopes[name]
        lines.append(
            f"| `{name}` | {slope['cost']} | {slope['size']}"
            f" | {format_number(slope['slope'])} | {format_number(slope['intercept'])}"
            f" | {slope['residual']:.1%} | {format_number(slope['smallest'])}"
            f" to {format_number(slope['largest'])}"
            f" | {slope['date']} | {slope['machine_load']} |"
        )
    return lines


def _profile_table(slopes: Mapping[str, Slope]) -> list[str]:
    profile = slopes.get("cpu_per_sub_request_entry", {}).get("profile", {})
    entry_us, bare_us = profile.get("entry", {}), profile.get("bare", {})
    lines = ["| Package | Entry us | Bare us | Difference us |", "|---|---:|---:|---:|"]
    for package in sorted(
        {*entry_us, *bare_us}, key=lambda name: -entry_us.get(name, 0.0)
    ):
        entry, bare = entry_us.get(package, 0.0), bare_us.get(package, 0.0)
        if max(entry, bare) >= _MIN_PROFILED_US:
            lines.append(f"| {package} | {entry} | {bare} | {entry - bare:.1f} |")
    return lines


def _exceeded_limits_table(slopes: Mapping[str, Slope], sizes: Sizes) -> list[str]:
    lines = ["| Role | What | Result | Limit | Proposed |", "|---|---|---:|---:|---|"]
    for role in _ROLES:
        for row in role.rows(Costs(slopes), sizes):
            value, limit = row.cost.value, row.limit
            if value is None or limit is None or value <= limit:
                continue
            lines.append(
                f"| {role.title} | {row.subject} | {format_number(value)} {row.unit}"
                f" | {format_number(limit)} {row.unit} | {row.mechanism} |"
            )
    return lines


def main() -> int:
    """Write the page, or with --check return 1 if it is out of date."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--slopes", type=Path, default=_DOCS / "capacity-slopes.json")
    parser.add_argument("--page", type=Path, default=_DOCS / "CAPACITY.md")
    parser.add_argument(
        "--check", action="store_true", help="compare the page, write nothing"
    )
    arguments = parser.parse_args()
    current = arguments.page.read_text()
    rendered = render(current, read_slopes(arguments.slopes))
    if not arguments.check:
        arguments.page.write_text(rendered)
        return 0
    if current != rendered:
        print(
            f"{arguments.page} does not match its slopes; run tools/capacity.py",
            file=stderr,
        )
        return 1
    return 0


if __name__ == "__main__":
    exit(main())
