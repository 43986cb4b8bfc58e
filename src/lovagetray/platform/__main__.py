"""Entry point of ``python -m lovagetray.platform``, which runs a gateway."""

from gc import disable, enable, freeze
from signal import SIG_IGN, SIGHUP, signal
from sys import exit
from time import CLOCK_BOOTTIME, clock_gettime

if __name__ == "__main__":
    # On the clock of `SystemClock`, which is not imported yet.
    process_started_at = clock_gettime(CLOCK_BOOTTIME)
    # SIGHUP reloads the settings; before they are read it must not end the process.
    signal(SIGHUP, SIG_IGN)
    # Objects created by imports never become garbage, and a collection that includes
    # them takes 20 to 40 ms. The collector is off during imports and skips the objects
    # afterwards.
    disable()
    from datetime import timedelta

    from lovagetray.platform.run import run_gateway

    freeze()
    enable()
    exit(run_gateway(process_started_at=timedelta(seconds=process_started_at)))
