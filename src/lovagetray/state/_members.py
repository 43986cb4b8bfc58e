"""Membership: the instances that this instance knows and which of them are live."""

from collections.abc import Callable, Collection, Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lovagetray._types import Address, InstanceCapacity, InstanceId

# Earlier than any time on the monotonic clock.
_NEVER = timedelta(days=-1)


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
        Monotonic time of the last message from the instance, also to another relay.
    live
        Whether the instance is live, as stated by the relay that this instance
        subscribes to; None if this instance judges by `heard_at`.
    heard_by
        The relay that heard the instance last; None if this instance did.
    capacity
        Capacity of its machine; None if it has not stated it.
    """

    record: InstanceRecord
    heard_at: timedelta
    live: bool | None = None
    heard_by: str | None = None
    capacity: InstanceCapacity | None = None


class Members:
    """The known instances; queries only read them.

    Parameters
    ----------
    own_record
        Record of this instance.
    failure_timeout
        Silence after which an instance counts as failed.
    timeout_of
        Returns the silence after which the instance of a name counts as failed; by
        default `failure_timeout` for all.
    own_capacity
        Capacity of this machine; None if it is unknown.
    """

    def __init__(
        self,
        own_record: InstanceRecord,
        failure_timeout: timedelta,
        timeout_of: Callable[[str], timedelta] | None = None,
        own_capacity: InstanceCapacity | None = None,
    ) -> None:
        self._own_record = own_record
        self._own_capacity = own_capacity
        self._timeout_of = timeout_of or (lambda name: failure_timeout)
        self._known_instances: dict[str, KnownInstance] = {}

    @property
    def own_record(self) -> InstanceRecord:
        """The record of this instance."""
        return self._own_record

    @property
    def own_capacity(self) -> InstanceCapacity | None:
        """The capacity of this machine; None if it is unknown."""
        return self._own_capacity

    def change_own_state(self, state: InstanceState) -> None:
        """Set the announced state of this instance."""
        self._own_record = self._own_record._replace(state=state)

    def change_own_revision(self, revision: int) -> None:
        """Set the revision of the settings in force at this instance."""
        self._own_record = self._own_record._replace(revision=revision)

    def update_record(
        self,
        record: InstanceRecord,
        heard_at: timedelta,
        capacity: InstanceCapacity | None = None,
    ) -> None:
        """Store the record of another instance, received at `heard_at`.

        Without a `capacity`, the one that is known is kept.
        """
        if record.instance.name != self._own_record.instance.name:
            known = self._known_instances.get(record.instance.name)
            if known is not None:
                capacity = capacity or known.capacity
            self._known_instances[record.instance.name] = KnownInstance(
                record,
                heard_at,
                live=None if known is None else known.live,
                capacity=capacity,
            )

    def record_message(self, instance: InstanceId, heard_at: timedelta) -> None:
        """Record a message from a known run of an instance; ignore other runs."""
        known = self._known_instances.get(instance.name)
        if known is not None and known.record.instance == instance:
            self._known_instances[instance.name] = known._replace(
                heard_at=heard_at, heard_by=None
            )

    def record_heard(
        self, relay: str, names: Iterable[str], heard_at: timedelta
    ) -> None:
        """Record that another relay has heard instances."""
        for name in names:
            known = self._known_instances.get(name)
            if known is not None and known.heard_at < heard_at:
                self._known_instances[name] = known._replace(
                    heard_at=heard_at, heard_by=relay
                )

    def record_lost(self, relay: str | None, names: Iterable[str]) -> None:
        """Count instances as failed that a relay has lost, unless another heard them.

        Parameters
        ----------
        relay
            The relay that has lost them; None for this instance.
        """
        for name in names:
            known = self._known_instances.get(name)
            if known is not None and known.heard_by == relay:
                self._known_instances[name] = known._replace(heard_at=_NEVER)

    def follow(
        self,
        record: InstanceRecord,
        live: bool,
        now: timedelta,
        capacity: InstanceCapacity | None = None,
    ) -> None:
        """Store a record and the relay's judgement whether the instance is live."""
        name = record.instance.name
        if name != self._own_record.instance.name:
            known = self._known_instances.get(name)
            heard_at = now if known is None else known.heard_at
            self._known_instances[name] = KnownInstance(
                record, heard_at, live, capacity=capacity
            )

    def judge_itself(self, now: timedelta) -> None:
        """Judge by own messages which instances are live, as a relay does.

        Instances that were live count as heard now.
        """
        for name, known in self._known_instances.items():
            if known.live is not None:
                heard_at = now if known.live else known.heard_at
                self._known_instances[name] = KnownInstance(
                    known.record, heard_at, capacity=known.capacity
                )

    def record(self, name: str) -> InstanceRecord | None:
        """Return the last record of an instance, or None if it is unknown."""
        if name == self._own_record.instance.name:
            return self._own_record
        known = self._known_instances.get(name)
        return None if known is None else known.record

    def capacity(self, name: str) -> InstanceCapacity | None:
        """Return the capacity of another instance; None if it is unknown."""
        known = self._known_instances.get(name)
        return None if known is None else known.capacity

    def capacities(self) -> dict[str, InstanceCapacity]:
        """Return the known capacities by name of the instance, also of this one."""
        capacities = {
            name: known.capacity
            for name, known in self._known_instances.items()
            if known.capacity is not None
        }
        if self._own_capacity is not None:
            capacities[self._own_record.instance.name] = self._own_capacity
        return capacities

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
            for known in self._known_instances.values()
            if self.is_live(known, now)
        ]
        return sorted(
            [self._own_record, *heard], key=lambda record: record.instance.name
        )

    def live_among(
        self, names: Collection[str], now: timedelta
    ) -> list[InstanceRecord]:
        """Return the records of the live instances among some names."""
        live = [self._own_record] if self._own_record.instance.name in names else []
        for name in names:
            known = self._known_instances.get(name)
            if known is not None and self.is_live(known, now):
                live.append(known.record)
        return live

    def is_live(self, known: KnownInstance, now: timedelta) -> bool:
        """Return whether another instance is live."""
        if known.live is not None:
            return known.live
        return now - known.heard_at <= self._timeout_of(known.record.instance.name)

    def serving(self, now: timedelta) -> list[InstanceRecord]:
        """Return the live instances that accept new work, sorted by name."""
        return [
            record for record in self.live(now) if record.state is InstanceState.SERVING
        ]
