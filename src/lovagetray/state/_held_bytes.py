"""Account of the bytes that a process holds for callers, with a bound for each use.

Designed for 2,000 connections and 1,000 requests per second: each operation takes
constant time.
"""

from collections.abc import Callable
from enum import Enum
from sys import maxsize

_MEGABYTE = 1024 * 1024
# The smallest machines have 200 MB.
_DEFAULT_MEMORY_BYTES = 200 * _MEGABYTE
# A process uses 30 to 45 MB at ordinary load; the rest allows for its directories.
_BASE_BYTES = 64 * _MEGABYTE
# Of the memory left, half is for copies while responses are encoded, for connections
# and for fragmentation.
_HELD_FRACTION = 0.5
_MIN_LIMIT_BYTES = 8 * _MEGABYTE
# Responses of unknown size are expected to be this long; those of shards stay below
# 32 KiB in all deployments.
_INITIAL_EXPECTATION_BYTES = 64 * 1024
# A route's expected size falls by this factor with each shorter response.
_EXPECTATION_DECAY = 0.9
# Routes beyond this number share the memory of their predecessors.
_MAX_ROUTES = 4096


class HeldPart(Enum):
    """What bytes are held for; each part has its own share of the bound.

    A crowd that fills one part does not take the others.
    """

    RESPONSES = "responses"
    REQUESTS = "requests"
    CONTROL = "control"


_SHARES = {
    HeldPart.RESPONSES: 0.5,
    HeldPart.REQUESTS: 0.3,
    HeldPart.CONTROL: 0.2,
}
# Closes connections that hold bytes of a part, given how many bytes have to be freed.
Shedder = Callable[[HeldPart, int], None]


def held_limit(memory_bytes: int | None) -> int:
    """Return how many bytes may be held for callers.

    Parameters
    ----------
    memory_bytes
        Memory of the machine; None if it is not known.
    """
    available = (memory_bytes or _DEFAULT_MEMORY_BYTES) - _BASE_BYTES
    return max(_MIN_LIMIT_BYTES, int(available * _HELD_FRACTION))


class HeldBytes:
    """The bytes that a process holds for callers.

    Parameters
    ----------
    limit
        Maximum number of bytes of all parts together.

    Attributes
    ----------
    shed
        Called when a part is full, to close the connections that hold it longest.
    refused
        Called when work is refused because a part is full.
    """

    def __init__(self, limit: int = held_limit(None)) -> None:
        self._limits = {part: int(limit * share) for part, share in _SHARES.items()}
        self._held = dict.fromkeys(HeldPart, 0)
        self._expected: dict[str, float] = {}
        self.shed: Shedder = lambda part, size: None
        self.refused: Callable[[HeldPart], None] = lambda part: None

    def held(self, part: HeldPart) -> int:
        """Return the number of bytes held of a part."""
        return self._held[part]

    def limit(self, part: HeldPart) -> int:
        """Return the bound of a part in bytes."""
        return self._limits[part]

    def hold(self, part: HeldPart, size: int) -> None:
        """Count bytes, whether or not there is room for them."""
        self._held[part] += size

    def release(self, part: HeldPart, size: int) -> None:
        """Subtract bytes that are no longer held."""
        self._held[part] -= size

    def make_room(self, part: HeldPart, size: int, own: int = 0) -> bool:
        """Return whether bytes can be held, if need be after closing connections.

        A part that holds nothing takes any size, so that a single request is served
        however small the machine is.

        Parameters
        ----------
        own
            Bytes that are held already and do not count in this respect.
        """
        if self._fits(part, size, own):
            return True
        self.shed(part, self._held[part] + size - self._limits[part])
        if self._fits(part, size, own):
            return True
        self.refused(part)
        return False

    def reserve(self, route: str) -> "ResponseMemory | None":
        """Reserve memory for the response of a route before its request is run.

        Returns
        -------
        ResponseMemory or None
            None if there is no room for a response of the size expected on this route.
        """
        size = int(self._expected.get(route, _INITIAL_EXPECTATION_BYTES))
        if not self.make_room(HeldPart.RESPONSES, size):
            return None
        return ResponseMemory(self, route, size)

    def expect_at_least(self, route: str, size: int) -> None:
        """Raise the expected size of the responses of a route, for later requests."""
        if size > self._expected.get(route, _INITIAL_EXPECTATION_BYTES):
            self._learn(route, size)

    def learn(self, route: str, size: int) -> None:
        """Learn from the size of a complete response of a route."""
        previous = self._expected.get(route, 0)
        self._learn(route, max(size, previous * _EXPECTATION_DECAY))

    def _learn(self, route: str, size: float) -> None:
        if len(self._expected) >= _MAX_ROUTES and route not in self._expected:
            self._expected.clear()
        self._expected[route] = size

    def _fits(self, part: HeldPart, size: int, own: int) -> bool:
        held = self._held[part]
        return held <= own or held + size <= self._limits[part]


class ResponseMemory:
    """Memory for the response to one request, from before it runs until it is encoded.

    Counts what was reserved for the request, or what replicas send for it if that is
    more: also of retries and hedges, and of the parts of a gathered answer.

    Parameters
    ----------
    account
        Account that the bytes are held on.
    reserved
        Bytes that are held until `end` whether or not they are received.
    """

    def __init__(self, account: HeldBytes, route: str, reserved: int) -> None:
        self._account = account
        self._route = route
        self._reserved = reserved
        self._receiving = 0
        self._kept = 0
        self._counted = 0
        self._ended = False
        self._count()

    def take(self, size: int) -> bool:
        """Count bytes of a response before they are received, if there is room."""
        received = self._receiving + self._kept
        needed = received + size - self._counted
        # A response is served whatever its size if it is the only one.
        own = 0 if received else self._counted
        if needed > 0:
            self._account.expect_at_least(self._route, received + size)
            if not self._account.make_room(HeldPart.RESPONSES, needed, own):
                return False
        self._receiving += size
        self._count()
        return True

    def give_back(self, size: int) -> None:
        """Subtract bytes that were taken."""
        self._receiving -= size
        self._count()

    def keep(self, size: int) -> None:
        """Count a complete response that is needed until `end`.

        This is beside the bytes that were taken while it was received, which are given
        back. A response that comes after `end` is not needed.
        """
        if not self._ended:
            self._kept += size
            self._count()

    def end(self, size: int | None) -> None:
        """End the reservation and learn from the size of the response.

        What replicas still send counts until it is given back.

        Parameters
        ----------
        size
            Bytes received for the response; None if there is no response.
        """
        self._ended = True
        self._reserved = self._kept = 0
        self._count()
        if size is not None:
            self._account.learn(self._route, size)

    def _count(self) -> None:
        counted = max(self._reserved, self._receiving + self._kept)
        self._account.hold(HeldPart.RESPONSES, counted - self._counted)
        self._counted = counted


def unlimited_memory() -> ResponseMemory:
    """Return memory for responses that no limit applies to."""
    return ResponseMemory(HeldBytes(maxsize), "", 0)
