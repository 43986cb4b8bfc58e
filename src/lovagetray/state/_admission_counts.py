"""What admission control remembers: use by workspace, and when callers return."""

from collections import OrderedDict
from dataclasses import dataclass
from math import inf, log
from random import Random

# Counts lose half of their weight in this time, in seconds.
_HALF_LIFE = 10.0
_MAX_WORKSPACES = 16_384
# Time for which the shortest wait of a priority holds, in seconds.
_HORIZON_LIFETIME = 5.0
_MAX_PRIORITY = 100
# Callers are not asked to wait longer than this, in seconds: bursts end, and a caller
# that gives up is lost.
_MAX_RETURN_DELAY = 3.0
_MIN_RETURN_DELAY = 0.05


@dataclass(slots=True)
class RequestCounts:
    """Requests that asked and were admitted, and their cost, decayed to `at`."""

    asked: float = 0.0
    admitted: float = 0.0
    cost: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Decay the counts to the current time in seconds."""
        factor = 0.5 ** ((now - self.at) / _HALF_LIFE)
        self.asked *= factor
        self.admitted *= factor
        self.cost *= factor
        self.at = now

    def add(self, admitted: bool, cost: float) -> None:
        """Count one request."""
        self.asked += 1
        if admitted:
            self.admitted += 1
            self.cost += cost

    @property
    def admitted_share(self) -> float:
        """Share of the requests that were admitted; 1 without any."""
        return self.admitted / self.asked if self.asked > 0 else 1.0

    @property
    def interval(self) -> float:
        """Mean time in seconds between two admitted requests."""
        return _HALF_LIFE / (log(2) * max(1.0, self.admitted))


class AdmissionCounts:
    """Counts of all workspaces and of each one.

    The counts of the workspace that was counted first leave above 16,384 workspaces.
    """

    def __init__(self) -> None:
        self.all = RequestCounts()
        self._workspaces: OrderedDict[str, RequestCounts] = OrderedDict()

    def of_workspace(self, workspace: str, now: float) -> RequestCounts:
        """Return the counts of a workspace and bring them and all others up to date."""
        self.all.decay(now)
        counts = self._workspaces.get(workspace)
        if counts is None:
            counts = self._workspaces[workspace] = RequestCounts(at=now)
            if len(self._workspaces) > _MAX_WORKSPACES:
                self._workspaces.popitem(last=False)
        counts.decay(now)
        return counts


class WaitHorizons:
    """The shortest time that recent requests of each priority could wait."""

    def __init__(self) -> None:
        self._shortest: dict[int, tuple[float, float]] = {}

    def record(self, priority: int, horizon: float, now: float) -> None:
        """Record a request; times in seconds."""
        priority = min(max(priority, 0), _MAX_PRIORITY)
        shortest, at = self._shortest.get(priority, (horizon, now))
        if horizon <= shortest or now - at > _HORIZON_LIFETIME:
            self._shortest[priority] = horizon, now

    def above(self, priority: int, now: float) -> float:
        """Return the shortest time of the requests of higher priority, or infinity."""
        return min(
            (
                horizon
                for other, (horizon, at) in self._shortest.items()
                if other < priority and now - at <= 2 * _HORIZON_LIFETIME
            ),
            default=inf,
        )


class ReturnSchedule:
    """When refused callers may return: one for each part of the capacity that is free.

    Parameters
    ----------
    random
        Spreads callers that would return at the same time.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._taken_until = 0.0

    def delay(self, now: float, room_in: float, interval: float) -> float:
        """Return the time in seconds after which the next refused caller may return.

        Parameters
        ----------
        now
            Time in seconds.
        room_in
            Time until there is room for one more request.
        interval
            Mean time between two admitted requests while the replicas are busy.
        """
        first = now + max(room_in, _MIN_RETURN_DELAY)
        self._taken_until = max(self._taken_until, first) + interval
        if self._taken_until <= now + _MAX_RETURN_DELAY:
            return self._taken_until - now - interval * self._random.random()
        # More callers than capacity: all of the time is as good as its end.
        self._taken_until = now + _MAX_RETURN_DELAY
        return self._random.uniform(first - now, max(first - now, _MAX_RETURN_DELAY))
