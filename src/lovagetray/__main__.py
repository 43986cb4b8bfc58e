"""Command line, run with ``python -m lovagetray``."""

from sys import exit

from lovagetray.cli import main

if __name__ == "__main__":
    exit(main())
