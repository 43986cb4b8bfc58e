"""The command line."""

from lovagetray.cli._main import main
