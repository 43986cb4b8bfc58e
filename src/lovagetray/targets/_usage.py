"""Counts of the slots and connections that a pool uses, checked against limits."""

from lovagetray._telemetry import REPLICA_CONNECTIONS, REPLICA_SLOTS
from lovagetray._violations import LimitExceeded, Violations


class Usage:
    """Slots and connections in use; reports a violation if a limit is exceeded."""

    def __init__(self, service: str, target: str, violations: Violations) -> None:
        self._target = target
        self._violations = violations
        self._slots = 0
        self._connections = 0
        self._slots_gauge = REPLICA_SLOTS.labels(service)
        self._connections_gauge = REPLICA_CONNECTIONS.labels(service)

    @property
    def slots(self) -> int:
        """The number of requests in flight."""
        return self._slots

    @property
    def connections(self) -> int:
        """The number of connections that are open, being opened or being closed."""
        return self._connections

    def take_slot(self, limit: int) -> None:
        """Add a request in flight and check their number against `limit`."""
        self._slots += 1
        self._slots_gauge.inc()
        self._check(limit, self._slots)

    def free_slot(self) -> None:
        """Subtract a request in flight."""
        self._slots -= 1
        self._slots_gauge.dec()

    def connect(self, limit: int) -> None:
        """Add a connection and check their number against `limit`."""
        self._connections += 1
        self._connections_gauge.inc()
        self._check(limit, self._connections)

    def disconnect(self) -> None:
        """Subtract a connection."""
        self._connections -= 1
        self._connections_gauge.dec()

    def _check(self, limit: int, used: int) -> None:
        if used > limit:
            self._violations.report(LimitExceeded(self._target, limit, used))
