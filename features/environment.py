"""Hooks for all features: folders, logs and clean-up of each scenario."""

from pathlib import Path
from shutil import rmtree
from sys import path
from tempfile import mkdtemp

from behave.model import Scenario
from behave.model_core import Status
from behave.runner import Context

path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent / "tools")]

from fakes.virtual_time import silence_logs  # noqa: E402

_MAX_LOG_LINES = 40


def before_all(context: Context) -> None:
    silence_logs()


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.folder = Path(mkdtemp(prefix="lovagetray-"))
    context.fleet = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    if context.fleet is not None:
        context.fleet.stop()
    error_lines = _find_error_lines(context.folder)
    # A step that raises anything but an AssertionError ends in another status.
    if error_lines or scenario.status not in (Status.passed, Status.skipped):
        _print_logs(context.folder)
    rmtree(context.folder, ignore_errors=True)
    assert not error_lines, error_lines[:5]


def _print_logs(folder: Path) -> None:
    """Print the last lines of the logs of processes, as the folder is then removed."""
    for log in sorted(folder.glob("entry-*.log")):
        print(f"--- {log.name}")
        print("\n".join(log.read_text(errors="replace").splitlines()[-_MAX_LOG_LINES:]))


def _find_error_lines(folder: Path) -> list[str]:
    """Return the log lines of processes with invariant violations and exceptions."""
    return [
        f"{log.name}: {line}"
        for log in folder.glob("entry-*.log")
        for line in log.read_text(errors="replace").splitlines()
        if "invariant_violated" in line or line.startswith("Traceback")
    ]
