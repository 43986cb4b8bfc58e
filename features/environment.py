"""Set-up shared by all features."""

from logging import CRITICAL
from pathlib import Path
from shutil import rmtree
from sys import path
from tempfile import mkdtemp

from behave.model import Scenario
from behave.runner import Context
from structlog import configure, make_filtering_bound_logger

path.insert(0, str(Path(__file__).parent.parent / "tools"))


def before_all(context: Context) -> None:
    # A run in virtual time logs hundreds of elections and provoked violations.
    configure(wrapper_class=make_filtering_bound_logger(CRITICAL))


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.folder = Path(mkdtemp(prefix="lovagetray-"))
    context.fleet = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    if context.fleet is not None:
        context.fleet.stop()
    rmtree(context.folder, ignore_errors=True)
