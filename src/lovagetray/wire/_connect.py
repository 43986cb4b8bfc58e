"""TCP connections to IP addresses."""

from typing import Any

from curio import CancelledError
from curio.socket import AF_INET, SOCK_STREAM, socket

from lovagetray._types import Address


async def connect(address: Address) -> Any:
    """Return a TCP connection to an IP address.

    `curio.open_connection` would resolve every address in a thread, which costs memory
    and the start of a thread for each connection.

    Raises
    ------
    OSError
        If no connection can be established.
    """
    connection = socket(AF_INET, SOCK_STREAM)
    try:
        await connection.connect((address.host, address.port))
    except (OSError, CancelledError):
        await connection.close()
        raise
    return connection
