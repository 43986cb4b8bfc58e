"""Set-up shared by all features."""

from pathlib import Path
from shutil import rmtree
from sys import path
from tempfile import mkdtemp

from behave.model import Scenario
from behave.model_core import Status
from behave.runner import Context

path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent / "tools")]

from fakes.virtual_time import silence_logs  # noqa: E402

_LOG_LINES = 40


def before_all(context: Context) -> None:
    silence_logs()


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.folder = Path(mkdtemp(prefix="lovagetray-"))
    context.fleet = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    if context.fleet is not None:
        context.fleet.stop()
    bad = _bad_log_lines(context.folder)
    if scenario.status == Status.failed:
        _print_logs(context.folder)
    rmtree(context.folder, ignore_errors=True)
    assert not bad, bad[:5]


def _print_logs(folder: Path) -> None:
    """Print the end of the logs of processes, which are gone after a failure."""
    for log in sorted(folder.glob("entry-*.log")):
        print(f"--- {log.name}")
        print("\n".join(log.read_text(errors="replace").splitlines()[-_LOG_LINES:]))


def _bad_log_lines(folder: Path) -> list[str]:
    """Return broken invariants and uncaught exceptions in the logs of processes."""
    return [
        f"{log.name}: {line}"
        for log in folder.glob("entry-*.log")
        for line in log.read_text(errors="replace").splitlines()
        if "invariant_violated" in line or line.startswith("Traceback")
    ]
