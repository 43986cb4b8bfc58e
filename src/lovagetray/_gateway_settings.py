"""Settings that a gateway process reads before it starts to serve."""

from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from lovagetray._types import Address, InstanceCapacity


class GatewayAddresses(NamedTuple):
    """Addresses that a gateway listens on.

    Parameters
    ----------
    front
        For requests of callers.
    ready
        For readiness checks of the platform.
    control
        For notices of replicas and requests of the operator.
    directory
        For callers that look up the addresses of instances.
    peer
        For other instances; also the name of the instance.
    """

    front: Address
    ready: Address
    control: Address
    directory: Address
    peer: Address


class RetryBudgetLimits(NamedTuple):
    """Limits of the retries and hedges of all instances together, for each service.

    Parameters
    ----------
    ratio
        Further attempts allowed for each request in any window.
    fixed
        Further attempts allowed in any window irrespective of the number of requests.
    window
        Length of the sliding window.
    """

    ratio: float
    fixed: int
    window: timedelta


class GatewaySettings(NamedTuple):
    """Settings of one gateway process.

    Parameters
    ----------
    seeds
        Peer addresses of instances from which the others are discovered.
    first_start
        Whether the whole system starts for the first time, with empty disks.
    tolerated_failures
        Number of instances with a disk that may fail at the same time.
    notice_interval
        Interval between two notices of a replica.
    grace_period
        Time from the stop signal until the process is killed.
    address_lifetime
        Time for which callers may cache a list of addresses. A lookup costs a caller
        one or two round trips, so a longer time reduces its latency.
    capacity
        Capacity of the machine; None if the settings do not state it.
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
    capacity: InstanceCapacity | None = None

    @property
    def name(self) -> str:
        """Name of the instance among its peers."""
        return str(self.addresses.peer)
