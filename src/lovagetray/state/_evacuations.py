"""Data centres that are evacuated; a part of the replicated state.

Designed for at most 1,000 evacuated data centres and a few changes a minute. The set is
read several times for each request and therefore kept ready for look-ups.
"""

from typing import NamedTuple

from msgspec import Struct
from structlog import get_logger

_log = get_logger()
MAX_EVACUATED = 1_000
MAX_DATA_CENTRE_LENGTH = 200


class StartEvacuation(Struct, frozen=True):
    """The order to send no more requests to the replicas of a data centre."""

    data_centre: str


class EndEvacuation(Struct, frozen=True):
    """The withdrawal of the order to evacuate a data centre."""

    data_centre: str


EvacuationOrder = StartEvacuation | EndEvacuation


class EvacuationOutcome(NamedTuple):
    """Outcome of an order.

    Parameters
    ----------
    accepted
        False if the order would evacuate more than 1,000 data centres.
    """

    accepted: bool


class Evacuations:
    """The evacuated data centres; only the replicated log changes them."""

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()

    @property
    def names(self) -> frozenset[str]:
        """Names of the evacuated data centres."""
        return self._names

    def apply(self, order: EvacuationOrder) -> EvacuationOutcome:
        """Apply an order; one that is already in force changes nothing."""
        match order:
            case StartEvacuation(data_centre=name):
                if name not in self._names and len(self._names) >= MAX_EVACUATED:
                    return EvacuationOutcome(accepted=False)
                self._replace(self._names | {name})
            case EndEvacuation(data_centre=name):
                self._replace(self._names - {name})
        return EvacuationOutcome(accepted=True)

    def snapshot(self) -> tuple[str, ...]:
        """Return the names in an order that is the same on all instances."""
        return tuple(sorted(self._names))

    def restore(self, names: tuple[str, ...]) -> None:
        """Replace the evacuated data centres with those of a snapshot."""
        self._replace(frozenset(names))

    def _replace(self, names: frozenset[str]) -> None:
        for name in sorted(names - self._names):
            _log.info("evacuation_in_force", data_centre=name)
        for name in sorted(self._names - names):
            _log.info("evacuation_ended", data_centre=name)
        self._names = names
