"""Set-up shared by all features."""

from pathlib import Path
from shutil import rmtree
from sys import path
from tempfile import mkdtemp

from behave.model import Scenario
from behave.runner import Context

path.insert(0, str(Path(__file__).parent.parent / "tools"))
path.insert(0, str(Path(__file__).parent))


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.folder = Path(mkdtemp(prefix="lovagetray-"))
    context.fleet = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    if context.fleet is not None:
        context.fleet.stop()
    rmtree(context.folder, ignore_errors=True)
