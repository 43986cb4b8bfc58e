"""Writes the tables of docs/CAPACITY.md from stored slopes, or checks them."""

from argparse import ArgumentParser
from collections.abc import Mapping
from pathlib import Path
from re import DOTALL, Match, compile as compile_pattern
from sys import exit, stderr

from capacity_model import DATA_ROLES
from capacity_of_control import CONTROL_ROLES
from capacity_of_nodes import NODE_ROLES
from capacity_sheet import Costs, Sizes, short, table
from slope import Slope, read_slopes

_DOCS = Path(__file__).parent.parent / "docs"
_LEAST_PROFILED_US = 1.0
_ROLES = (*DATA_ROLES, *CONTROL_ROLES, *NODE_ROLES)
_BLOCK = compile_pattern(r"<!-- table:([a-z-]+) -->\n.*?<!-- end -->", DOTALL)


class UnknownTable(Exception):
    """The page names a table that does not exist."""


def render(page: str, slopes: Mapping[str, Slope]) -> str:
    """Return the page with every table between markers written from the slopes."""
    sizes = Sizes()
    tables = {role.name: table(role.lines(Costs(slopes), sizes)) for role in _ROLES}
    tables["slopes"] = _slope_table(slopes)
    tables["profile"] = _profile_table(slopes)
    tables["unfit"] = _unfit_table(slopes, sizes)

    def replace(found: Match[str]) -> str:
        name = found.group(1)
        if name not in tables:
            raise UnknownTable(name)
        return "\n".join([f"<!-- table:{name} -->", *tables[name], "<!-- end -->"])

    return _BLOCK.sub(replace, page)


def _slope_table(slopes: Mapping[str, Slope]) -> list[str]:
    rows = [
        "| Slope | Cost | For each of | Slope | Intercept | Residual | Sizes"
        " | Date | Load average |",
        "|---|---|---|---:|---:|---:|---|---|---:|",
    ]
    for name in sorted(slopes):
        slope = slopes[name]
        rows.append(
            f"| `{name}` | {slope['cost']} | {slope['size']} | {short(slope['slope'])}"
            f" | {short(slope['intercept'])} | {slope['residual']:.1%}"
            f" | {short(slope['smallest'])} to {short(slope['largest'])}"
            f" | {slope['date']} | {slope['machine_load']} |"
        )
    return rows


def _profile_table(slopes: Mapping[str, Slope]) -> list[str]:
    profile = slopes.get("cpu_per_sub_request_entry", {}).get("profile", {})
    entry, bare = profile.get("entry", {}), profile.get("bare", {})
    rows = ["| Package | Entry us | Bare us | Difference us |", "|---|---:|---:|---:|"]
    for package in sorted({*entry, *bare}, key=lambda name: -entry.get(name, 0.0)):
        ours, theirs = entry.get(package, 0.0), bare.get(package, 0.0)
        if max(ours, theirs) >= _LEAST_PROFILED_US:
            rows.append(f"| {package} | {ours} | {theirs} | {ours - theirs:.1f} |")
    return rows


def _unfit_table(slopes: Mapping[str, Slope], sizes: Sizes) -> list[str]:
    rows = ["| Role | What | Result | Limit | Proposed |", "|---|---|---:|---:|---|"]
    for role in _ROLES:
        for line in role.lines(Costs(slopes), sizes):
            value, limit = line.cost.value, line.limit
            if value is None or limit is None or value <= limit:
                continue
            rows.append(
                f"| {role.title} | {line.subject} | {short(value)} {line.unit}"
                f" | {short(limit)} {line.unit} | {line.mechanism} |"
            )
    return rows


def main() -> int:
    """Write the page, or return 1 if it differs from what would be written."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--slopes", type=Path, default=_DOCS / "capacity-slopes.json")
    parser.add_argument("--page", type=Path, default=_DOCS / "CAPACITY.md")
    parser.add_argument("--check", action="store_true", help="compare, write nothing")
    arguments = parser.parse_args()
    old = arguments.page.read_text()
    new = render(old, read_slopes(arguments.slopes))
    if not arguments.check:
        arguments.page.write_text(new)
        return 0
    if old != new:
        print(
            f"{arguments.page} differs from its slopes; run tools/capacity.py",
            file=stderr,
        )
        return 1
    return 0


if __name__ == "__main__":
    exit(main())
