"""Decides whether a request is admitted, given the work that replicas still have to do.

Nothing waits for admission: a request is admitted or refused when it arrives. The order
under scarcity comes from the share of its time that a request may wait for a replica.
As the work grows, requests of low priority, little time or high cost are refused first,
and room is left for the others. Designed for 60 requests per second to 54 services.
"""

from math import inf
from typing import NamedTuple

from msgspec import Struct

from lovagetray.queries.load_balancing import Room

# Share of its time that a request of priority 0, 1 or 2 may wait; lower ones as 2.
_PRIORITY_SHARES = (1.0, 0.6, 0.36)
# Factors on the share for requests that cost more or less than the mean of the service.
_MIN_COST_FACTOR, _MAX_COST_FACTOR = 0.7, 1.2
# A workspace that is served less than this share as often as all gets the share of
# priority 0. It must not be served less than a quarter as often; the rest is for the
# delay until the counts show it, and for the other instances.
_FAIR_SHARE = 0.5
# Factor on the share of a workspace that uses more than this part of the service.
_HOT_USE, _HOT_FACTOR = 0.25, 0.6
# Answers after more than this many target latencies are worth little, so that nothing
# waits for one while others are refused.
_MAX_WAIT_TARGETS = 2.0
# Time in seconds for which every request must have found a wait. At half of the
# capacity, all slots are in use for less.
_MIN_SCARCE_TIME = 0.2
# A wait of up to this many mean costs counts as chance until it has lasted for the time
# in seconds: with 22 requests per second at an instance, 5 of 3,900 were otherwise
# refused at half of the capacity.
_CHANCE_WAIT_COSTS = 2.0
_LONG_SCARCE_TIME = 2.0
# Costs vary; only a request whose mean cost is this many times the time left is refused
# by a replica without a queue.
_HOPELESS_FACTOR = 2.0


class Claim(NamedTuple):
    """What a request needs; times in seconds.

    Parameters
    ----------
    priority
        Priority of the workspace or route; 0 is the highest.
    time_left
        Time until the answer is due.
    target
        Target latency of the route.
    cost
        Expected cost.
    mean_cost
        Mean cost of all requests at the service.
    urgent_horizon
        Shortest time that a recent request of higher priority could wait.
    scarce_for
        Time for which all requests of the route have found a wait.
    """

    priority: int
    time_left: float
    target: float
    cost: float
    mean_cost: float
    urgent_horizon: float = inf
    scarce_for: float = inf


class WorkspaceUse(NamedTuple):
    """How a workspace is served in comparison with all.

    Parameters
    ----------
    served
        Share of its requests that was admitted lately, by that of all requests.
    use
        Its part of the cost of all admitted requests.
    """

    served: float = 1.0
    use: float = 0.0


class Admit(Struct, frozen=True):
    """Decision to run a request."""


class Refuse(Struct, frozen=True):
    """Decision not to run a request.

    Parameters
    ----------
    reason
        Why, for the caller.
    code
        The reason as a label of a metric.
    room_in
        Time in seconds after which there will be room for the request.
    """

    reason: str
    code: str
    room_in: float


def decide(claim: Claim, room: Room, use: WorkspaceUse) -> Admit | Refuse:
    """Return whether a request is admitted."""
    if room.wait <= 0:
        if room.run <= claim.time_left * _HOPELESS_FACTOR:
            return Admit()
        return Refuse("it takes longer than its time limit", "too_long", 0.0)
    time = claim.time_left - room.run
    if room.wait > time:
        return Refuse(
            "no replica can answer in time", "deadline", room.wait - max(0.0, time)
        )
    # Replicas have one queue for all: what a request of low priority may wait, and so
    # adds to the queue, must be less than what one of high priority can wait.
    longest = min(time, wait_horizon(claim), claim.urgent_horizon)
    allowed = longest * wait_share(claim, use)
    if claim.scarce_for < _MIN_SCARCE_TIME:
        return Admit()
    if claim.scarce_for < _LONG_SCARCE_TIME:
        allowed = max(allowed, min(time, _CHANCE_WAIT_COSTS * claim.mean_cost))
    if room.wait > allowed:
        return Refuse(
            "more urgent requests come first", "scarcity", room.wait - allowed
        )
    return Admit()


def wait_horizon(claim: Claim) -> float:
    """Return the longest time that a request could usefully wait, in seconds."""
    return min(claim.time_left, _MAX_WAIT_TARGETS * claim.target)


def wait_share(claim: Claim, use: WorkspaceUse) -> float:
    """Return the share of its time that a request may wait for a replica."""
    if use.served < _FAIR_SHARE:
        return 1.0
    last = len(_PRIORITY_SHARES) - 1
    share = _PRIORITY_SHARES[min(max(claim.priority, 0), last)]
    if claim.priority <= 0:
        return share
    factor = float((claim.mean_cost / max(claim.cost, 1e-6)) ** 0.25)
    share *= min(max(factor, _MIN_COST_FACTOR), _MAX_COST_FACTOR)
    return share * _HOT_FACTOR if use.use > _HOT_USE else share
