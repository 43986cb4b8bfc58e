"""Log lines of events that may come in any number."""

from datetime import timedelta
from typing import Any

from structlog import get_logger

from lovagetray._clock import Clock

_log = get_logger()
_INTERVAL = timedelta(seconds=10)


class RateLimitedLog:
    """Writes at most one warning for each event name in 10 s.

    A line states how many events of its name went without one since the last line.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._due_at: dict[str, timedelta] = {}
        self._suppressed: dict[str, int] = {}

    def warn(self, event: str, **fields: Any) -> None:
        """Log an event, or count it if its last line is recent.

        Parameters
        ----------
        event
            Name of the event; there must be few of them.
        """
        now = self._clock.monotonic_time()
        if now < self._due_at.get(event, now):
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return
        self._due_at[event] = now + _INTERVAL
        _log.warning(event, suppressed=self._suppressed.pop(event, 0), **fields)
