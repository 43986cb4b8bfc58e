"""Processor time that one connection has used lately, against a share of it."""

from datetime import timedelta

# Time that a connection may use at once, whatever its share.
_BURST = timedelta(milliseconds=5)
# More than this is forgotten, so that the use of one long request does not delay the
# next ones for long.
_MAX_USED = timedelta(milliseconds=50)


class ProcessorUse:
    """The processor time of one connection beyond its share.

    Parameters
    ----------
    share
        Share of a processor that a connection may use for long.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._used = timedelta(0)
        self._recorded_at = timedelta(0)

    def record(self, spent: timedelta, now: timedelta) -> None:
        """Add time that was spent for the connection, on the monotonic clock."""
        self._used = min(self._left(now) + spent, _MAX_USED)
        self._recorded_at = now

    def exceeds_share(self, now: timedelta) -> bool:
        """Return whether the connection has used more than its share and the burst."""
        return self._left(now) > _BURST

    def _left(self, now: timedelta) -> timedelta:
        earned = (now - self._recorded_at) * self._share
        return max(timedelta(0), self._used - earned)
