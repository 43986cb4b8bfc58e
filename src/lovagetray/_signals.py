"""Operating system signals that a task can wait for."""

from collections.abc import Iterable
from signal import Signals, set_wakeup_fd, signal
from socket import socketpair
from types import FrameType

from curio.io import Socket


class SignalListener:
    """Receiver of signals, whose numbers the interpreter writes to a socket."""

    def __init__(self, numbers: Iterable[Signals]) -> None:
        read_end, write_end = socketpair()
        write_end.setblocking(False)
        self._read_end = Socket(read_end)
        self._write_end = write_end
        for number in numbers:
            signal(number, _ignore)
        set_wakeup_fd(write_end.fileno(), warn_on_full_buffer=False)

    async def receive(self) -> Signals:
        """Return the next signal; wait for it."""
        data = await self._read_end.recv(1)
        return Signals(data[0])

    async def close(self) -> None:
        """Stop receiving signals."""
        set_wakeup_fd(-1)
        self._write_end.close()
        await self._read_end.close()


def _ignore(number: int, frame: FrameType | None) -> None:
    """Do nothing, in place of the default action, which would end the process."""
