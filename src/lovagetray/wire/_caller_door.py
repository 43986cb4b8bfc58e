"""Limits of the connections and bytes at the door for callers.

Designed for 2,000 connections. A search for connections to close looks at all of them,
so after one that found too few, the next is at least 50 ms later.
"""

from collections.abc import Callable
from datetime import timedelta
from heapq import nsmallest
from typing import Any, Protocol

from lovagetray._clock import Clock
from lovagetray._rate_limited_log import RateLimitedLog
from lovagetray._telemetry import BOUND_ACTIONS
from lovagetray.state import HeldBytes, HeldPart

_SEARCH_INTERVAL = timedelta(milliseconds=50)
# Connections closed at once when all are taken, as a part of their number.
_CLOSED_AT_ONCE = 32
# Callers read a response of usual size sooner. With 300 ms and 900 slow readers
# of 900,000 bytes at 200 MB, 3 of 4 ordinary requests were refused; with 100 ms none.
_GRACE = timedelta(milliseconds=100)


class DoorConnection(Protocol):
    """A connection that can be closed to make room."""

    def held(self, part: HeldPart) -> int:
        """Return the bytes held of a part."""

    def waiting_for_caller(self, part: HeldPart, now: timedelta) -> timedelta:
        """Return for how long the caller has been reading or sending."""

    def pace(self, part: HeldPart, now: timedelta) -> float:
        """Return the bytes per second that the caller reads or sends."""

    def idle_rank(self, now: timedelta) -> tuple[bool, timedelta] | None:
        """Return the order in which idle connections are closed; None if not idle."""

    def drop(self) -> None:
        """Close the connection and release what it holds."""


class CallerDoor:
    """The connections of callers and their limits.

    Parameters
    ----------
    held
        Account of the bytes held for callers.
    max_connections
        Maximum number of connections.
    """

    def __init__(self, held: HeldBytes, clock: Clock, max_connections: int) -> None:
        self._clock = clock
        self._max_connections = max_connections
        self._next_search: dict[HeldPart | None, timedelta] = {}
        self._log = RateLimitedLog(clock)
        self.held = held
        self.connections: set[Any] = set()
        held.shed = self._shed
        held.refused = self._report_refusal

    def admits_connection(self) -> bool:
        """Return whether a new connection may stay, if need be in place of idle ones.

        Connections that never carried a request are closed first, then those that have
        been idle for longest.
        """
        if len(self.connections) < self._max_connections:
            return True
        count = max(1, self._max_connections // _CLOSED_AT_ONCE)
        closed = self._search(None, lambda now: self._idle(now, count))
        for connection in closed:
            self._drop(connection, "idle_connection")
        if not closed:
            BOUND_ACTIONS.labels("refused_connection").inc()
            self._log.warn("caller_connection_refused", limit=self._max_connections)
        return bool(closed)

    def report_accept_failure(self, error: OSError) -> None:
        """Count and log that a connection could not be accepted."""
        BOUND_ACTIONS.labels("accept_failed").inc()
        self._log.warn("accept_failed", error=repr(error))

    def _idle(self, now: timedelta, count: int) -> list[DoorConnection]:
        ranked = [
            (rank, id(connection), connection)
            for connection in self.connections
            if (rank := connection.idle_rank(now)) is not None
        ]
        return [connection for _, _, connection in nsmallest(count, ranked)]

    def _shed(self, part: HeldPart, size: int) -> None:
        """Close the slowest connections that hold bytes of a part.

        At least an eighth of the part is freed, so that the search is not repeated for
        each request.
        """
        size = max(size, self.held.limit(part) // 8)
        for connection in self._search(part, lambda now: self._slowest(part, now)):
            if size <= 0:
                return
            size -= connection.held(part)
            self._drop(connection, f"slow_{part.value}")
        if size > 0:
            now = self._clock.monotonic_time()
            self._next_search[part] = now + _SEARCH_INTERVAL

    def _slowest(self, part: HeldPart, now: timedelta) -> list[DoorConnection]:
        slow = [
            connection
            for connection in self.connections
            if connection.held(part)
            and connection.waiting_for_caller(part, now) > _GRACE
        ]
        return sorted(slow, key=lambda connection: connection.pace(part, now))

    def _search(
        self,
        part: HeldPart | None,
        find: Callable[[timedelta], list[DoorConnection]],
    ) -> list[DoorConnection]:
        now = self._clock.monotonic_time()
        if now < self._next_search.get(part, now):
            return []
        found = find(now)
        if not found:
            self._next_search[part] = now + _SEARCH_INTERVAL
        return found

    def _drop(self, connection: DoorConnection, kind: str) -> None:
        BOUND_ACTIONS.labels(kind).inc()
        self._log.warn("caller_connection_closed", reason=kind)
        connection.drop()
        self.connections.discard(connection)

    def _report_refusal(self, part: HeldPart) -> None:
        if part is HeldPart.CONTROL:
            # The server of calls reports its own refusals.
            return
        BOUND_ACTIONS.labels(f"refused_{part.value}").inc()
        self._log.warn(
            "request_refused_for_memory",
            part=part.value,
            held_bytes=self.held.held(part),
            limit_bytes=self.held.limit(part),
        )
