"""Runs a gateway with ``python -m lovagetray.platform``."""

from gc import disable, enable, freeze
from signal import SIG_IGN, SIGHUP, signal
from sys import exit
from time import monotonic

if __name__ == "__main__":
    process_started_at = monotonic()
    # A reload that comes before the settings are read changes nothing.
    signal(SIGHUP, SIG_IGN)
    # What a start loads never becomes garbage. A collection of it takes 20 to 40 ms.
    disable()
    from datetime import timedelta

    from lovagetray.platform.run import run_gateway

    freeze()
    enable()
    exit(run_gateway(process_started_at=timedelta(seconds=process_started_at)))
