"""Membership: the instances that this instance knows and which of them are live."""

from collections.abc import Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lovagetray._types import Address, InstanceId


class InstanceState(Enum):
    """The state that an instance announces."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class InstanceRecord(NamedTuple):
    """The record that an instance sends its peers about itself.

    Parameters
    ----------
    revision
        Revision of the settings in force at that instance.
    """

    instance: InstanceId
    state: InstanceState
    data_centre: str
    http_address: Address
    peer_address: Address
    revision: int = 0


class KnownInstance(NamedTuple):
    """The record of another instance and when it was last heard.

    Parameters
    ----------
    heard_at
        Monotonic time of the last message from the instance.
    """

    record: InstanceRecord
    heard_at: timedelta


class Members:
    """The known instances; queries only read them.

    Parameters
    ----------
    own_record
        Record of this instance.
    failure_timeout
        Silence after which an instance counts as failed, at the full message rate.
    full_rate_instances
        Maximum number of instances that send messages to each other at the full rate.
        If there are more, each sends less often, so that the number of messages that an
        instance receives per second stays the same, and the live list of the leader
        decides which instances are live. None: no maximum.
    """

    def __init__(
        self,
        own_record: InstanceRecord,
        failure_timeout: timedelta,
        full_rate_instances: int | None = None,
    ) -> None:
        self._own_record = own_record
        self._full_rate_timeout = failure_timeout
        self._full_rate_instances = full_rate_instances
        self._known_instances: dict[str, KnownInstance] = {}
        self._live_list: frozenset[str] = frozenset()
        self._live_list_at: timedelta | None = None

    @property
    def own_record(self) -> InstanceRecord:
        """The record of this instance."""
        return self._own_record

    @property
    def interval_factor(self) -> float:
        """The factor by which the interval between messages is longer; at least 1."""
        if self._full_rate_instances is None:
            return 1.0
        return max(1.0, (len(self._known_instances) + 1) / self._full_rate_instances)

    @property
    def failure_timeout(self) -> timedelta:
        """The silence after which an instance counts as failed."""
        return self._full_rate_timeout * self.interval_factor

    def change_own_state(self, state: InstanceState) -> None:
        """Set the announced state of this instance."""
        self._own_record = self._own_record._replace(state=state)

    def change_own_revision(self, revision: int) -> None:
        """Set the revision of the settings in force at this instance."""
        self._own_record = self._own_record._replace(revision=revision)

    def update_record(self, record: InstanceRecord, heard_at: timedelta) -> None:
        """Store the record of another instance, received at `heard_at`."""
        if record.instance.name != self._own_record.instance.name:
            self._known_instances[record.instance.name] = KnownInstance(
                record, heard_at
            )

    def record_message(self, instance: InstanceId, heard_at: timedelta) -> None:
        """Record a message from a known run of an instance; ignore other runs."""
        known = self._known_instances.get(instance.name)
        if known is not None and known.record.instance == instance:
            self._known_instances[instance.name] = known._replace(heard_at=heard_at)

    def update_live_list(self, names: Iterable[str], now: timedelta) -> None:
        """Store the names on the live list of the leader, received at `now`."""
        self._live_list = frozenset(names)
        self._live_list_at = now

    def record(self, name: str) -> InstanceRecord | None:
        """Return the last record of an instance, or None if it is unknown."""
        if name == self._own_record.instance.name:
            return self._own_record
        known = self._known_instances.get(name)
        return None if known is None else known.record

    def time_since_heard(self, name: str, now: timedelta) -> timedelta:
        """Return how long an instance was silent; `timedelta.max` if it is unknown."""
        known = self._known_instances.get(name)
        return timedelta.max if known is None else now - known.heard_at

    def known_instances(self) -> tuple[KnownInstance, ...]:
        """Return every other known instance, live or not."""
        return tuple(self._known_instances.values())

    def live(self, now: timedelta) -> list[InstanceRecord]:
        """Return the records of this instance and the live others, sorted by name."""
        heard = [
            known.record
            for name, known in self._known_instances.items()
            if self._is_live(name, known, now)
        ]
        return sorted(
            [self._own_record, *heard], key=lambda record: record.instance.name
        )

    def _is_live(self, name: str, known: KnownInstance, now: timedelta) -> bool:
        listed_at = self._live_list_at
        if self.interval_factor > 1 and listed_at is not None:
            if now - listed_at <= self._full_rate_timeout:
                return name in self._live_list
        return now - known.heard_at <= self.failure_timeout

    def serving(self, now: timedelta) -> list[InstanceRecord]:
        """Return the live instances that accept new work, sorted by name."""
        return [
            record for record in self.live(now) if record.state is InstanceState.SERVING
        ]
