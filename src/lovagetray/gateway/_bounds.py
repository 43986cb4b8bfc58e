"""Bounds of the memory and descriptors that a gateway uses for its callers."""

from typing import NamedTuple

from lovagetray._gateway_settings import GatewaySettings
from lovagetray._telemetry import (
    DOOR_CONNECTIONS_LIMIT,
    HELD_BYTES,
    HELD_BYTES_LIMIT,
)
from lovagetray.state import HeldBytes, HeldPart, held_limit

# The descriptors of the smallest machines.
_DEFAULT_DESCRIPTORS = 4_100
# Kept for files, among them those of the interpreter and of the replicated log.
_FILE_DESCRIPTORS = 200
# The rest, 35%, is reserved for connections to replicas and peers.
_CALLER_SHARE = 0.5
_CONTROL_SHARE = 0.15
_MIN_CONNECTIONS = 16


class ProcessBounds(NamedTuple):
    """Bounds of what a process uses for its callers.

    Parameters
    ----------
    held
        Account of the bytes held for callers.
    caller_connections
        Maximum number of connections of callers.
    control_connections
        Maximum number of connections for notices, operators and address lookups.
    """

    held: HeldBytes
    caller_connections: int
    control_connections: int

    def report(self) -> None:
        """Set the metrics that show how close the bounds are."""
        for part in HeldPart:
            HELD_BYTES.labels(part.value).set(self.held.held(part))
            HELD_BYTES_LIMIT.labels(part.value).set(self.held.limit(part))
        DOOR_CONNECTIONS_LIMIT.labels("callers").set(self.caller_connections)
        DOOR_CONNECTIONS_LIMIT.labels("control").set(self.control_connections)


def process_bounds(settings: GatewaySettings) -> ProcessBounds:
    """Return the bounds by the memory and descriptors of the machine."""
    shared = (settings.max_descriptors or _DEFAULT_DESCRIPTORS) - _FILE_DESCRIPTORS
    return ProcessBounds(
        HeldBytes(held_limit(settings.memory_bytes)),
        max(_MIN_CONNECTIONS, int(shared * _CALLER_SHARE)),
        max(_MIN_CONNECTIONS, int(shared * _CONTROL_SHARE)),
    )
