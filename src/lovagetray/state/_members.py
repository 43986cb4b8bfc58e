"""The instances of the system, as one instance knows them."""

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


class Sighting(NamedTuple):
    """An instance's record and when it was last heard, on the monotonic clock."""

    record: InstanceRecord
    heard_at: timedelta


class Members:
    """Known instances; the membership commands are its only writers.

    Parameters
    ----------
    myself
        The record of this instance.
    suspicion
        An instance that was silent for longer counts as gone.
    """

    def __init__(self, myself: InstanceRecord, suspicion: timedelta) -> None:
        self._myself = myself
        self._suspicion = suspicion
        self._sightings: dict[str, Sighting] = {}

    @property
    def myself(self) -> InstanceRecord:
        """The record of this instance."""
        return self._myself

    @property
    def suspicion(self) -> timedelta:
        """The silence after which an instance counts as gone."""
        return self._suspicion

    def change_own_state(self, state: InstanceState) -> None:
        """Set what this instance says about itself."""
        self._myself = self._myself._replace(state=state)

    def change_own_revision(self, revision: int) -> None:
        """Set the revision of the settings in force at this instance."""
        self._myself = self._myself._replace(revision=revision)

    def saw(self, record: InstanceRecord, heard_at: timedelta) -> None:
        """Record that an instance was heard."""
        if record.instance.name != self._myself.instance.name:
            self._sightings[record.instance.name] = Sighting(record, heard_at)

    def heard(self, instance: InstanceId, heard_at: timedelta) -> None:
        """Record that a known run of an instance sent any message."""
        sighting = self._sightings.get(instance.name)
        if sighting is not None and sighting.record.instance == instance:
            self._sightings[instance.name] = sighting._replace(heard_at=heard_at)

    def record(self, name: str) -> InstanceRecord | None:
        """Return the last record of an instance."""
        if name == self._myself.instance.name:
            return self._myself
        sighting = self._sightings.get(name)
        return None if sighting is None else sighting.record

    def silence(self, name: str, now: timedelta) -> timedelta:
        """Return how long an instance has been silent; the longest time if unheard."""
        sighting = self._sightings.get(name)
        return timedelta.max if sighting is None else now - sighting.heard_at

    def sightings(self) -> tuple[Sighting, ...]:
        """Return what was last heard of every other instance."""
        return tuple(self._sightings.values())

    def live(self, now: timedelta) -> list[InstanceRecord]:
        """Return this instance and those heard lately, in order of name."""
        heard = [
            sighting.record
            for sighting in self._sightings.values()
            if now - sighting.heard_at <= self._suspicion
        ]
        return sorted([self._myself, *heard], key=lambda record: record.instance.name)

    def serving(self, now: timedelta) -> list[InstanceRecord]:
        """Return the live instances that accept new work, in order of name."""
        return [
            record for record in self.live(now) if record.state is InstanceState.SERVING
        ]
