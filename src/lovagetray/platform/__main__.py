"""Runs a gateway with ``python -m lovagetray.platform``."""

from signal import SIG_IGN, SIGHUP, signal
from sys import exit

if __name__ == "__main__":
    # A reload that comes before the settings are read changes nothing.
    signal(SIGHUP, SIG_IGN)
    from lovagetray.platform.run import run_gateway

    exit(run_gateway())
