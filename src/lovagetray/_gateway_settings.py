"""Settings that a gateway process reads before it starts to serve."""

from datetime import timedelta
from enum import Enum
from pathlib import Path
from typing import NamedTuple

from lovagetray._types import Address, InstanceCapacity

# Share of a processor. A request with a head of usual size costs 0.1 to 0.5 ms, so that
# no caller inside the limits comes near it.
DEFAULT_CONNECTION_SHARE = 0.05


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


class QuotaLimits(NamedTuple):
    """How far the use of a workspace may exceed its quota in any window.

    Parameters
    ----------
    window
        Length of the sliding window.
    overshoot
        Share of the quota that may be used in addition to it.
    slack
        Requests that may be used in addition to quota and overshoot.
    """

    window: timedelta
    overshoot: float
    slack: float


class ColdLimits(NamedTuple):
    """How far the requests to a cold replica may exceed the rate that it bears.

    Parameters
    ----------
    overshoot
        Factor on the rate.
    slack
        Requests that are allowed in each second in addition to that.
    """

    overshoot: float = 1.0
    slack: float = 0.0


class Placement(Enum):
    """How the replica for a request is chosen."""

    LATENCY = "latency"
    EXPECTED_COST = "expected_cost"


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
    revocation_limit
        Time after the acknowledgement of a routing document from which no request with
        a key that it withdrew may run; None if there is no such limit.
    document_delay
        Time after its acknowledgement from which a routing document is in force.
    quota
        How far quotas of workspaces may be exceeded.
    cold_limits
        How far the rate of requests to cold replicas may be exceeded.
    memory_bytes
        Memory that the process may use; None if the settings do not state it.
    max_descriptors
        File descriptors that the process may use; None if the settings do not state it.
    placement
        How the replica for a request is chosen.
    connection_share
        Share of a processor that a connection may use without waiting for turns.
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
    revocation_limit: timedelta | None = None
    document_delay: timedelta = timedelta(seconds=4)
    quota: QuotaLimits = QuotaLimits(timedelta(seconds=5), 0.0, 0.0)
    cold_limits: ColdLimits = ColdLimits()
    memory_bytes: int | None = None
    max_descriptors: int | None = None
    placement: Placement = Placement.LATENCY
    connection_share: float = DEFAULT_CONNECTION_SHARE

    @property
    def name(self) -> str:
        """Name of the instance among its peers."""
        return str(self.addresses.peer)
