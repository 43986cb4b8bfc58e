"""Sends the responses on a caller's connection and accounts for what they hold."""

from datetime import timedelta
from fcntl import ioctl
from sys import byteorder
from termios import TIOCOUTQ
from typing import Any

from lovagetray._clock import Clock
from lovagetray.state import HeldBytes, HeldPart

# Sent and released one after the other, so that a response that is read slowly does not
# stay in memory as a whole.
# Pieces of 64 KiB cost 1.0 ms of processor time for 900,000 bytes, these 0.4 ms.
_PIECE_BYTES = 262_144
# Size of the kernel's send buffer of a connection; the kernel takes twice the value for
# its own records. Without it the buffer grows to 4 MB, outside the resident memory of
# the process and within that of the machine.
SEND_BUFFER_BYTES = 131_072
# What callers send while their request runs stays in this buffer, also on connections
# that wait to be accepted. The kernel takes twice the value.
RECEIVE_BUFFER_BYTES = 8_192
_KERNEL_BYTES = 2 * SEND_BUFFER_BYTES
_MIN_SECONDS = 0.1
_QUEUE_SIZE_BYTES = 4


class ResponseSender:
    """Sender of the responses on one connection.

    The bytes that it holds are those not yet given to the kernel and, until the caller
    has acknowledged them, at most 256 KiB that the kernel keeps.
    """

    def __init__(self, client: Any, held: HeldBytes, clock: Clock) -> None:
        self._client = client
        self._account = held
        self._clock = clock
        self._held = 0
        self._size = 0
        self._pieces: list[bytes] = []
        self._started_at: timedelta | None = None
        self._sending_since: timedelta | None = None

    @property
    def held(self) -> int:
        """The number of bytes held for responses."""
        return self._held

    @property
    def sending_since(self) -> timedelta | None:
        """Monotonic time at which the response being sent began; None without one."""
        return self._sending_since

    @property
    def started_at(self) -> timedelta | None:
        """Monotonic time at which the newest response was begun; None before."""
        return self._started_at

    def load(self, head: bytes, body: bytes) -> bool:
        """Take a response that `send` will send; the caller drops its references.

        Returns
        -------
        bool
            False if there is no room for it; it is not sent then.
        """
        self._started_at = self._sending_since = self._clock.monotonic_time()
        self._size = len(head) + len(body)
        if not self._account.make_room(HeldPart.RESPONSES, self._size - self._held):
            return False
        if self._size <= _PIECE_BYTES:
            self._pieces = [head + body]
        else:
            # Taken from the end, so that sent pieces are released.
            starts = reversed(range(0, len(body), _PIECE_BYTES))
            self._pieces = [body[start : start + _PIECE_BYTES] for start in starts]
            self._pieces.append(head)
        self._set_held(self._size)
        return True

    async def send(self) -> None:
        """Send the loaded response and release each piece that the kernel has taken.

        Raises
        ------
        OSError
            If the connection has ended.
        """
        try:
            left = self._size
            while self._pieces:
                piece = self._pieces.pop()
                await self._client.sendall(piece)
                left -= len(piece)
                if self._held:
                    self._set_held(left + min(self._size - left, _KERNEL_BYTES))
            self._sending_since = None
            self.update()
        finally:
            self._pieces.clear()
            self._sending_since = None

    def update(self) -> None:
        """Release what the caller has acknowledged of a response sent completely."""
        if self._held and self._sending_since is None:
            queued = ioctl(self._client.fileno(), TIOCOUTQ, bytes(_QUEUE_SIZE_BYTES))
            self._set_held(min(self._held, int.from_bytes(queued, byteorder)))

    def pace(self, now: timedelta) -> float:
        """Return the bytes per second that the caller takes of the newest response."""
        if self._started_at is None:
            return 0.0
        seconds = max(_MIN_SECONDS, (now - self._started_at).total_seconds())
        return (self._size - self._held) / seconds

    def release(self) -> None:
        """Give up the response being sent."""
        self._pieces.clear()
        self._set_held(0)
        self._size = 0

    def _set_held(self, size: int) -> None:
        difference, self._held = size - self._held, size
        if difference > 0:
            self._account.hold(HeldPart.RESPONSES, difference)
        else:
            self._account.release(HeldPart.RESPONSES, -difference)
