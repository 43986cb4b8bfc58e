"""How connections of callers are closed."""

from socket import SHUT_RDWR, SHUT_WR, SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Any

_RECEIVE_BYTES = 65536
# Input of a refused request that is read so that the caller gets the refusal. A task
# that always finds input never gives way to a timeout.
_MAX_DISCARDED_BYTES = 4 * 1024 * 1024
# Closing a socket with this option discards what the kernel still holds for the caller.
_DISCARD_UNSENT = pack("ii", 1, 0)


async def discard_input(client: Any) -> None:
    """Read the rest of a refused request, up to a limit."""
    await client.shutdown(SHUT_WR)
    discarded = 0
    while discarded < _MAX_DISCARDED_BYTES:
        data = await client.recv(_RECEIVE_BYTES)
        if not data:
            return
        discarded += len(data)


def abort(client: Any) -> None:
    """End a connection in both directions; its tasks then close the socket."""
    try:
        client.setsockopt(SOL_SOCKET, SO_LINGER, _DISCARD_UNSENT)
        with client.blocking() as plain_socket:
            plain_socket.shutdown(SHUT_RDWR)
    except OSError:
        # The caller has disconnected already.
        pass
