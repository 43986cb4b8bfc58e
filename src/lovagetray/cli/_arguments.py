"""Types of command-line arguments."""

from argparse import ArgumentTypeError
from ipaddress import ip_address

from lovagetray._types import Address


def address_argument(text: str) -> Address:
    """Return the address that `text` states as ``IP:port``.

    Raises
    ------
    ArgumentTypeError
        If `text` has another form or the port is not from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    try:
        ip_address(host)
        number = int(port)
    except ValueError:
        raise ArgumentTypeError(f"{text!r} is not IP:port") from None
    if not 1 <= number <= 65535:
        raise ArgumentTypeError(f"port {number} is not from 1 to 65535")
    return Address(host, number)
