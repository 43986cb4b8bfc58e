"""Writes docs/settings.md from the tables of settings; --check only compares it."""

from argparse import ArgumentParser
from collections.abc import Iterable
from pathlib import Path
from sys import exit, stderr

from lovagetray._process_settings import PROCESS_KEYS
from lovagetray.state import (
    COMBINATION_CHECKS,
    LEVELS,
    MAX_BRANCHES,
    MAX_NAME_LENGTH,
    MAX_VALUE_LENGTH,
    MAX_VALUES,
    SETTING_KEYS,
    describe_kind,
)

_PAGE = Path(__file__).parent.parent / "docs" / "settings.md"
_COMMAND = "python tools/settings_page.py"


def main() -> int:
    """Write the page, or with --check return 1 if it is out of date."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    page = settings_page()
    if not arguments.check:
        _PAGE.write_text(page, encoding="utf-8")
        return 0
    if _PAGE.exists() and _PAGE.read_text(encoding="utf-8") == page:
        return 0
    print(f"docs/settings.md is out of date; run {_COMMAND}", file=stderr)
    return 1


def settings_page() -> str:
    """Return the Markdown text of the page."""
    return "\n".join([*_settings_tree_lines(), *_process_settings_lines()]) + "\n"


def _settings_tree_lines() -> Iterable[str]:
    yield from (
        "# Settings",
        "",
        f"Generated from the tables in the code by `{_COMMAND}`; do not edit.",
        "",
        "## Settings tree",
        "",
        f"Levels: {', '.join(LEVELS)}. Paths are `/`, `/user`, `/user/service` and",
        "`/user/service/data_centre`. A value set at a branch is inherited below it.",
        f"The tree has at most {MAX_BRANCHES} branches and {MAX_VALUES} values; a name",
        f"has at most {MAX_NAME_LENGTH} characters and a value {MAX_VALUE_LENGTH}.",
        "",
        "| Key | Value | Default | Meaning |",
        "|---|---|---|---|",
    )
    for key in SETTING_KEYS.values():
        value = describe_kind(key.kind)
        yield f"| `{key.name}` | {value} | `{key.default}` | {key.meaning} |"
    yield from (
        "",
        "Combinations that are refused at every branch unless they hold:",
        "",
    )
    for check in COMBINATION_CHECKS:
        names = ", ".join(f"`{name}`" for name in check.keys)
        yield f"- {names}: {check.expected}."


def _process_settings_lines() -> Iterable[str]:
    yield from (
        "",
        "## Settings file of a process",
        "",
        "INI, given to `lovagetray entry --settings` and checked by",
        "`lovagetray check-settings`. A change needs a restart.",
        "",
        "| Section | Key | Value | Required | Meaning |",
        "|---|---|---|---|---|",
    )
    for key in PROCESS_KEYS:
        required = "yes" if key.required else "no"
        yield (
            f"| `[{key.section}]` | `{key.name}` | {key.expected} | {required} "
            f"| {key.meaning} |"
        )


if __name__ == "__main__":
    exit(main())
