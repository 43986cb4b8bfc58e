"""Command line of the program."""

from lovagetray.cli._main import main
