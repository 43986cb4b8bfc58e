"""TCP connections to IP addresses."""

from collections.abc import Sequence
from socket import (
    AF_INET,
    SO_RCVBUF,
    SO_SNDBUF,
    SOCK_STREAM,
    SOL_SOCKET,
    socket,
)

from curio import CancelledError
from curio.io import Socket

from lovagetray._types import Address

# Without a fixed size the kernel lets the buffers of each connection grow to some
# megabytes when responses come faster than they are read, or requests are read slowly.
# They are outside the resident memory of the process and within that of the machine.
# The kernel takes twice the values.
_RECEIVE_BUFFER_BYTES = 32_768
_SEND_BUFFER_BYTES = 32_768


class TcpSocket(Socket):  # type: ignore[misc]
    """A curio socket that can also send without waiting."""

    def send_available(self, parts: Sequence[bytes]) -> int:
        """Send what the operating system takes at once; return the number of bytes.

        The parts are sent one after the other and not joined before.

        Raises
        ------
        OSError
            If the connection has ended.
        """
        try:
            sent: int = self._socket.sendmsg(parts)
        except BlockingIOError:
            return 0
        return sent


async def connect(address: Address) -> TcpSocket:
    """Return a TCP connection to an IP address.

    `curio.open_connection` would resolve every address in a thread, which costs memory
    and the start of a thread for each connection.

    Raises
    ------
    OSError
        If no connection can be established.
    """
    connection = TcpSocket(socket(AF_INET, SOCK_STREAM))
    connection.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    connection.setsockopt(SOL_SOCKET, SO_SNDBUF, _SEND_BUFFER_BYTES)
    try:
        await connection.connect((address.host, address.port))
    except (OSError, CancelledError):
        await connection.close()
        raise
    return connection
