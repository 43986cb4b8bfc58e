"""Lists the addresses that callers connect to."""

from datetime import timedelta
from typing import NamedTuple

from lovagetray._types import Address
from lovagetray.state import Members

_MAX_ADDRESSES = 64


class AddressList(NamedTuple):
    """Addresses for a caller and how long the caller may cache them."""

    addresses: tuple[Address, ...]
    lifetime: timedelta


def addresses_for(members: Members, now: timedelta, lifetime: timedelta) -> AddressList:
    """Return the addresses of the instances that accept new requests, at most 64."""
    serving = [record.http_address for record in members.serving(now)]
    return AddressList(tuple(serving[:_MAX_ADDRESSES]), lifetime)
