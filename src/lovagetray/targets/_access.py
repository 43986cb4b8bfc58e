"""Combines ownership of replicas, their connection pools and request routing."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from curio import TaskGroup

from lovagetray._clock import Clock
from lovagetray._peer_messages import (
    Announced,
    AnnouncementDigest,
    CancelSubRequests,
    ClaimReplicas,
    Envelope,
    ExecutionOutcomes,
    ReleasedReplicas,
    RunExecutions,
    RunSubRequests,
    Stopped,
    SubRequestOutcomes,
)
from lovagetray.commands.membership import (
    OwnershipTransfer,
    OwnershipTransport,
    accept_relayed_announcements,
    newer_announcements,
)
from lovagetray.state import LeaseView, Members, TargetDirectory
from lovagetray.targets._pooled_connection import PoolDependencies
from lovagetray.targets._pools import ReplicaPools
from lovagetray.targets._sender import OwnerRouter

_RECONCILE_INTERVAL = timedelta(milliseconds=100)


class TargetAccess:
    """Access of an instance to replicas: ownership, pools and request routing.

    Parameters
    ----------
    directory
        Announced targets.
    members
        Known instances.
    lease
        View of the live instances and of this instance's lease.
    peers
        Sends messages to other instances.
    peer_names
        Returns the names of all other instances, from the settings or from messages.
    dependencies
        Dependencies that all connection pools share.
    group
        Task group for the connections to replicas.
    orphan_limit
        Returns how long an owner that lost its lease may continue to use one
        connection to each of its replicas.
    transfer
        Class that implements the transfer of ownership.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        members: Members,
        lease: LeaseView,
        peers: OwnershipTransport,
        peer_names: Callable[[], Iterable[str]],
        dependencies: PoolDependencies,
        group: TaskGroup,
        orphan_limit: Callable[[], timedelta] = lambda: timedelta(minutes=10),
        transfer: type[OwnershipTransfer] = OwnershipTransfer,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._clock: Clock = dependencies.clock
        self._ownership = transfer(
            directory, members, lease, peers, peer_names, self._clock, orphan_limit
        )
        self._pools = ReplicaPools(
            directory, self._ownership.quota, dependencies, group
        )
        self._router = OwnerRouter(
            directory, members, self._ownership, self._pools, peers, self._clock
        )

    @property
    def router(self) -> OwnerRouter:
        """Routes requests to the owners of replicas."""
        return self._router

    def owned_count(self, service: str) -> int:
        """Return the number of replicas of a service that this instance fully owns."""
        return self._ownership.owned_count(service)

    async def run(self) -> None:
        """Reconcile ownership and enforce limits every 100 ms until cancelled."""
        while True:
            await self._ownership.reconcile(self._pools)
            await self._pools.enforce_limits()
            await self._router.fail_lost_requests()
            await self._clock.sleep(_RECONCILE_INTERVAL)

    async def release_all(self, timeout: timedelta) -> bool:
        """Finish requests in flight and release all replicas.

        Returns
        -------
        bool
            Whether all replicas were released within `timeout`.
        """
        end = self._clock.monotonic_time() + timeout
        await self._ownership.release_all(self._pools)
        while self._ownership.claim_count():
            if self._clock.monotonic_time() >= end:
                return False
            await self._clock.sleep(_RECONCILE_INTERVAL)
            await self._ownership.release_all(self._pools)
        return True

    async def handle(self, envelope: Envelope) -> None:
        """Handle a message from a peer about targets or replicas."""
        sender = envelope.sender
        match envelope.message:
            case Announced() as announced:
                accept_relayed_announcements(self._directory, announced, self._clock)
            case AnnouncementDigest() as digest:
                newer = newer_announcements(self._directory, digest, self._clock)
                if newer.items:
                    await self._peers.send(sender.name, newer)
            case RunSubRequests() | RunExecutions() as batch:
                await self._router.run_for_peer(sender, batch)
            case SubRequestOutcomes() | ExecutionOutcomes() as outcomes:
                await self._router.accept_outcomes(outcomes)
            case CancelSubRequests() as cancelled:
                await self._router.cancel_for_peer(cancelled)
            case ClaimReplicas() as claims:
                await self._ownership.handle_claim(sender, claims, self._pools)
            case ReleasedReplicas() as released:
                self._ownership.handle_release(sender, released)
            case Stopped():
                self._ownership.handle_stopped(sender)
