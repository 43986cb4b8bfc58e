"""The instances of the system, as one instance knows them."""

from collections.abc import Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lovagetray._types import Address, InstanceId


class InstanceState(Enum):
    """What an instance says about itself."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class InstanceRecord(NamedTuple):
    """What an instance tells its peers about itself.

    Parameters
    ----------
    revision
        The revision of the settings that is in force there.
    """

    instance: InstanceId
    state: InstanceState
    data_centre: str
    http_address: Address
    peer_address: Address
    revision: int = 0


class KnownInstance(NamedTuple):
    """An instance's record and when it was last heard, on the monotonic clock."""

    record: InstanceRecord
    heard_at: timedelta


class Members:
    """Known instances; the membership commands are its only writers.

    Parameters
    ----------
    own_record
        The record of this instance.
    failure_timeout
        An instance that was silent for longer counts as gone.
    full_rate_instances
        Up to so many instances hear each other directly often enough. With more, they
        talk less often, so that each hears as many messages a second as before, and
        take the leader's word for who is live. None: always directly.
    """

    def __init__(
        self,
        own_record: InstanceRecord,
        failure_timeout: timedelta,
        full_rate_instances: int | None = None,
    ) -> None:
        self._myself = own_record
        self._suspicion = failure_timeout
        self._full_pace = full_rate_instances
        self._sightings: dict[str, KnownInstance] = {}
        self._vouched: frozenset[str] = frozenset()
        self._vouched_at: timedelta | None = None

    @property
    def own_record(self) -> InstanceRecord:
        """The record of this instance."""
        return self._myself

    @property
    def interval_factor(self) -> float:
        """The factor by which messages to every instance are rarer; 1 or more."""
        if self._full_pace is None:
            return 1.0
        return max(1.0, (len(self._sightings) + 1) / self._full_pace)

    @property
    def failure_timeout(self) -> timedelta:
        """The silence after which an instance counts as gone."""
        return self._suspicion * self.interval_factor

    def change_own_state(self, state: InstanceState) -> None:
        """Set what this instance says about itself."""
        self._myself = self._myself._replace(state=state)

    def change_own_revision(self, revision: int) -> None:
        """Set the revision of the settings in force at this instance."""
        self._myself = self._myself._replace(revision=revision)

    def update_record(self, record: InstanceRecord, heard_at: timedelta) -> None:
        """Record that an instance was heard."""
        if record.instance.name != self._myself.instance.name:
            self._sightings[record.instance.name] = KnownInstance(record, heard_at)

    def record_message(self, instance: InstanceId, heard_at: timedelta) -> None:
        """Record that a known run of an instance sent any message."""
        sighting = self._sightings.get(instance.name)
        if sighting is not None and sighting.record.instance == instance:
            self._sightings[instance.name] = sighting._replace(heard_at=heard_at)

    def update_live_list(self, names: Iterable[str], now: timedelta) -> None:
        """Record whom the leader counts as live."""
        self._vouched = frozenset(names)
        self._vouched_at = now

    def record(self, name: str) -> InstanceRecord | None:
        """Return the last record of an instance."""
        if name == self._myself.instance.name:
            return self._myself
        sighting = self._sightings.get(name)
        return None if sighting is None else sighting.record

    def time_since_heard(self, name: str, now: timedelta) -> timedelta:
        """Return how long an instance has been silent; the longest time if unheard."""
        sighting = self._sightings.get(name)
        return timedelta.max if sighting is None else now - sighting.heard_at

    def known_instances(self) -> tuple[KnownInstance, ...]:
        """Return what was last heard of every other instance."""
        return tuple(self._sightings.values())

    def live(self, now: timedelta) -> list[InstanceRecord]:
        """Return this instance and those heard lately, in order of name."""
        heard = [
            sighting.record
            for name, sighting in self._sightings.items()
            if self._is_live(name, sighting, now)
        ]
        return sorted([self._myself, *heard], key=lambda record: record.instance.name)

    def _is_live(self, name: str, sighting: KnownInstance, now: timedelta) -> bool:
        vouched_at = self._vouched_at
        if self.interval_factor > 1 and vouched_at is not None:
            if now - vouched_at <= self._suspicion:
                return name in self._vouched
        return now - sighting.heard_at <= self.failure_timeout

    def serving(self, now: timedelta) -> list[InstanceRecord]:
        """Return the live instances that accept new work, in order of name."""
        return [
            record for record in self.live(now) if record.state is InstanceState.SERVING
        ]
