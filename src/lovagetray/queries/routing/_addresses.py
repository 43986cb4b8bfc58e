"""Chooses the addresses that callers connect to."""

from datetime import timedelta
from typing import NamedTuple

from lovagetray._types import Address
from lovagetray.state import Members

_MOST_ADDRESSES = 64


class AddressList(NamedTuple):
    """Addresses for a caller and how long it may keep them."""

    addresses: tuple[Address, ...]
    lifetime: timedelta


def addresses_for(members: Members, now: timedelta, lifetime: timedelta) -> AddressList:
    """Return the addresses of all instances that accept new work."""
    serving = [record.http_address for record in members.serving(now)]
    return AddressList(tuple(serving[:_MOST_ADDRESSES]), lifetime)
