"""Log output that is rate-limited and never blocks."""

from collections.abc import Callable
from os import set_blocking, write
from time import monotonic

from prometheus_client import Counter

_dropped_total = Counter(
    "lovagetray_log_lines_dropped_total",
    "Log lines that were not written, by reason: too many, or the reader is behind",
    ["reason"],
)
# A gateway completes about 30 requests per second and logs one line for each; bursts of
# lines about replicas and peers come on top.
_MAX_LINES_PER_SECOND = 300
_MAX_BURST_LINES = 1500


class LogStream:
    """Output of whole lines to a file descriptor, which never waits for the reader.

    A line that exceeds the rate limit, or that a slow reader leaves no room for, is
    dropped and counted.

    Parameters
    ----------
    clock
        Returns monotonic time in seconds.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = monotonic) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = float(_MAX_BURST_LINES)
        self._refilled_at = clock()
        self._unsent = b""
        self._dropped = 0
        set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line; the newline at its end is optional."""
        if text == "\n":
            return
        now = self._clock()
        refilled = self._tokens + (now - self._refilled_at) * _MAX_LINES_PER_SECOND
        self._tokens = min(float(_MAX_BURST_LINES), refilled)
        self._refilled_at = now
        if self._tokens < 1:
            self._drop("volume")
            return
        self._tokens -= 1
        self._send(text.rstrip("\n").encode() + b"\n")

    def flush(self) -> None:
        """Do nothing, because lines are written at once."""

    def _send(self, line: bytes) -> None:
        data = self._unsent + line
        try:
            sent = write(self._descriptor, data)
        except BlockingIOError:
            sent = 0
        if sent < len(self._unsent):
            # The previous line is only partly written; this one would start inside it.
            self._unsent = self._unsent[sent:]
            self._drop("reader")
        elif sent == len(self._unsent):
            self._unsent = b""
            self._drop("reader")
        else:
            self._unsent = data[sent:]

    def _drop(self, reason: str) -> None:
        self._dropped += 1
        _dropped_total.labels(reason).inc()
