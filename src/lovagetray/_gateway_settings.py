"""What a gateway process needs to know before it starts."""

from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from lovagetray._types import Address


class GatewayAddresses(NamedTuple):
    """Where a gateway listens.

    Parameters
    ----------
    front
        For callers' requests.
    ready
        For the platform's readiness checks.
    control
        For announcements of replicas and orders of the operator.
    directory
        For callers that ask which addresses to use.
    peer
        For other instances; it is also the name of the instance.
    """

    front: Address
    ready: Address
    control: Address
    directory: Address
    peer: Address


class RetryBudgetLimits(NamedTuple):
    """Bounds of the second attempts of all instances together.

    Parameters
    ----------
    ratio
        Second attempts for each request, in any window.
    fixed
        Second attempts in any window besides.
    """

    ratio: float
    fixed: int
    window: timedelta


class GatewaySettings(NamedTuple):
    """Settings of one gateway process.

    Parameters
    ----------
    seeds
        Peer addresses of instances to ask for the others.
    first_start
        Whether the whole system starts for the first time, with empty disks.
    tolerated_failures
        How many instances with a disk may be lost at once.
    notice_interval
        How often a replica announces itself.
    grace_period
        Time between the order to stop and the kill.
    address_lifetime
        How long callers may keep a list of addresses. Asking costs a caller a round
        trip or two, so a longer one is faster.
    """

    data_centre: str
    addresses: GatewayAddresses
    data_folder: Path | None
    seeds: tuple[Address, ...]
    first_start: bool
    tolerated_failures: int
    notice_interval: timedelta
    grace_period: timedelta
    address_lifetime: timedelta
    retry_budget: RetryBudgetLimits

    @property
    def name(self) -> str:
        """The name of the instance among its peers."""
        return str(self.addresses.peer)
