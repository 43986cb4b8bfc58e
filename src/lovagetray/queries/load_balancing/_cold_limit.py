"""Limits the rate of requests that all instances together send to cold replicas.

The instances exchange no messages for this. For each cold replica the listed instances
are ranked by rendezvous hashing, and only the first ones, its holders, may use it, each
at an equal part of the rate. Designed for 64 listed instances and some tens of replicas
that warm up at the same time.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta
from math import ceil, floor
from typing import NamedTuple

from xxhash import xxh64_intdigest

from lovagetray._gateway_settings import ColdLimits
from lovagetray._routing_types import ReplicaNotice

_SECOND = timedelta(seconds=1)
# Share of the slack that the holders may use at once; the rest covers requests that
# arrive closer together than they were sent.
_SLACK_SHARE = 0.8
# Factor on the rate, as far as the overshoot allows. What is left of the usual
# overshoot of 1.5 covers instances that learn of a change at different times.
_RATE_FACTOR = 1.2
# An instance that becomes a holder waits for this time. The former holder may learn
# later of the change: a silent instance leaves the list after 0.95 to 2 s.
HANDOVER_TIME = timedelta(seconds=2.5)
# An instance cut off from the others keeps its own list, while these choose new
# holders. It stops before they start, 0.95 s and the hand-over time after its last
# message. Without a fault the age is up to 2 s on instances that do not vote, with 26
# instances on one machine.
MAX_CONFIRMED_AGE = timedelta(seconds=3)


class ColdShare(NamedTuple):
    """How the rate to one cold replica is shared.

    Parameters
    ----------
    holders
        Number of instances that may use the replica.
    interval
        Shortest time between two requests of one holder.
    """

    holders: int
    interval: timedelta


class _Use(NamedTuple):
    """This instance's use of one cold replica.

    Parameters
    ----------
    next_at
        Monotonic time from which this instance may send the next request.
    """

    share: ColdShare
    is_holder: bool
    next_at: timedelta


def cold_share(rate: float, limits: ColdLimits) -> ColdShare:
    """Return how a rate is shared among the holders.

    In any second they send at most rate x overshoot + slack requests together: a holder
    sends at most one request more in a second than its rate states.

    Parameters
    ----------
    rate
        Requests per second that the replica bears, above 0.
    limits
        How far the rate may be exceeded.
    """
    holders = max(1, floor(_SLACK_SHARE * limits.slack))
    bound = rate * limits.overshoot + limits.slack
    holder_rate = min(_RATE_FACTOR, limits.overshoot) * rate / holders
    if holders * ceil(holder_rate) > bound >= holders:
        holder_rate = floor(bound / holders)
    # Rounded up: 7 intervals of 142,857 us are less than a second. Slower than one
    # request in an hour makes no difference to a warm-up.
    microseconds = ceil(1_000_000 / max(holder_rate, 1 / 3600))
    return ColdShare(holders, timedelta(microseconds=microseconds))


def cold_holders(replica: str, listed: Sequence[str], count: int) -> list[str]:
    """Return the names of the listed instances that may use a cold replica."""
    return sorted(
        listed, key=lambda name: (xxh64_intdigest(f"{replica} {name}".encode()), name)
    )[:count]


class ColdLimit:
    """Limit of the requests of one instance to cold replicas.

    Parameters
    ----------
    instance
        Name of this instance.
    limits
        How far the rate of a cold replica may be exceeded.
    rate_of
        Returns the requests per second that a cold replica of a service bears; 0 if
        there is no limit.
    listed
        Returns the names of the instances that callers are sent to.
    cold_until
        Returns the monotonic time at which the warm-up of a replica ends.
    confirmed_at
        Returns the newest monotonic time at which a majority of the voters confirmed
        this instance; None if they never did.
    """

    def __init__(
        self,
        instance: str,
        limits: ColdLimits,
        rate_of: Callable[[str], float],
        listed: Callable[[], tuple[str, ...]],
        cold_until: Callable[[str], timedelta],
        confirmed_at: Callable[[], timedelta | None],
    ) -> None:
        self._instance = instance
        self._limits = limits
        self._rate_of = rate_of
        self._listed = listed
        self._cold_until = cold_until
        self._confirmed_at = confirmed_at
        self._uses: dict[str, _Use] = {}
        self._known_list: tuple[str, ...] = ()
        self._list_changed_at = timedelta(0)

    def is_limited(self, notice: ReplicaNotice, now: timedelta) -> bool:
        """Return whether a replica is cold and its service states a rate."""
        return (
            bool(notice.warm_up)
            and self._rate_of(notice.service) > 0
            and now < self._cold_until(notice.replica)
        )

    def allows(self, notice: ReplicaNotice, now: timedelta) -> bool:
        """Return whether this instance may send a request to a limited replica now."""
        self.follow_list(now)
        share = cold_share(self._rate_of(notice.service), self._limits)
        use = self._uses.get(notice.replica)
        if use is None or use.share != share:
            use = self._use_of(notice.replica, share, use, now)
            self._uses[notice.replica] = use
        return use.is_holder and now >= use.next_at

    def record_sent(self, replica: str, now: timedelta) -> None:
        """Record a request to a replica, whether it is limited or not."""
        use = self._uses.get(replica)
        if use is not None:
            self._uses[replica] = use._replace(next_at=now + use.share.interval)

    def forget(self, replica: str) -> None:
        """Drop what is known of a replica that is gone."""
        self._uses.pop(replica, None)

    def follow_list(self, now: timedelta) -> None:
        """Take over a changed list; new holders start after the hand-over time.

        For an instance that is cut off from the others the list is empty.
        """
        confirmed_at = self._confirmed_at()
        is_confirmed = (
            confirmed_at is not None and now - confirmed_at <= MAX_CONFIRMED_AGE
        )
        listed = self._listed() if is_confirmed else ()
        if listed == self._known_list:
            return
        self._known_list = listed
        self._list_changed_at = now
        for replica, use in self._uses.items():
            self._uses[replica] = self._use_of(replica, use.share, use, now)

    def _use_of(
        self, replica: str, share: ColdShare, former: _Use | None, now: timedelta
    ) -> _Use:
        holders = cold_holders(replica, self._known_list, share.holders)
        is_holder = self._instance in holders
        if former is not None and (former.is_holder or not is_holder):
            return _Use(share, is_holder, former.next_at)
        handed_over_at = self._list_changed_at + HANDOVER_TIME
        if former is None and now >= handed_over_at:
            return _Use(share, is_holder, now)
        # The last request of the former holder may have come just before.
        next_at = handed_over_at + min(share.interval, _SECOND)
        return _Use(share, is_holder, next_at)
