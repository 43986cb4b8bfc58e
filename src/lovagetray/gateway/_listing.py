"""The instances that callers are sent to, and what each may use of shared limits."""

from collections import Counter
from datetime import timedelta
from math import ceil

from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray.queries.routing import AddressList, listed_instances
from lovagetray.state import InstanceRecord, Members, ReplicaDirectory

_log = get_logger()
_REFRESH_INTERVAL = timedelta(milliseconds=200)
# Part of the retry budget for instances that are not listed: callers with an old list
# still use them.
_UNLISTED_BUDGET_SHARE = 0.1


class Listing:
    """The instances that callers are sent to, as this instance knows them."""

    def __init__(
        self, members: Members, directory: ReplicaDirectory, clock: Clock
    ) -> None:
        self._members = members
        self._directory = directory
        self._clock = clock
        self._listed: list[InstanceRecord] = []
        self._some_unlisted = False
        self._is_listed = False
        self._refreshed_at: timedelta | None = None

    @property
    def is_listed(self) -> bool:
        """Whether callers are sent to this instance."""
        self._refresh()
        return self._is_listed

    @property
    def listed_names(self) -> tuple[str, ...]:
        """Names of the instances that callers are sent to, sorted."""
        self._refresh()
        return tuple(record.instance.name for record in self._listed)

    def addresses(self, lifetime: timedelta) -> AddressList:
        """Return the addresses that callers connect to."""
        self._refresh()
        addresses = tuple(record.http_address for record in self._listed)
        return AddressList(addresses, lifetime)

    def connection_sharers(self) -> int:
        """Return the number of instances that share the connections of a replica.

        An instance that is not listed counts all: it opens one connection if need be.
        """
        self._refresh()
        if self._some_unlisted and self._is_listed:
            return len(self._listed)
        return self._known_count

    def budget_sharers(self) -> int:
        """Return the number of instances that share the retry budget with this one.

        The sum of the parts of all instances is at most the whole budget.
        """
        self._refresh()
        if not self._some_unlisted:
            return self._known_count
        if self._is_listed:
            return ceil(len(self._listed) / (1 - _UNLISTED_BUDGET_SHARE))
        return ceil(self._known_count / _UNLISTED_BUDGET_SHARE)

    @property
    def _known_count(self) -> int:
        return len(self._members.known_instances()) + 1

    def _refresh(self) -> None:
        now = self._clock.monotonic_time()
        refreshed_at = self._refreshed_at
        if refreshed_at is not None and now - refreshed_at < _REFRESH_INTERVAL:
            return
        self._refreshed_at = now
        replicas = Counter(
            known.notice.data_centre
            for known in self._directory.known_replicas()
            if known.usable
        )
        serving = self._members.serving(now)
        self._listed = listed_instances(serving, replicas, self._members.capacities())
        self._some_unlisted = len(self._listed) < len(serving)
        is_listed = self._members.own_record in self._listed
        if is_listed != self._is_listed:
            self._is_listed = is_listed
            _log.info(
                "listing_changed",
                is_listed=is_listed,
                listed=len(self._listed),
                serving=len(serving),
                capacities=len(self._members.capacities()),
            )
