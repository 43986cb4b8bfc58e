"""An instance's whole access to replicas: ownership, pools and routing together."""

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
    PeerSender,
    accept_relayed,
    newer_announcements,
)
from lovagetray.state import LeaseView, Members, TargetDirectory
from lovagetray.targets._pooled_connection import PoolDependencies
from lovagetray.targets._pools import ReplicaPools
from lovagetray.targets._sender import OwnerRouter

_ROUND = timedelta(milliseconds=100)


class TargetAccess:
    """Assembles ownership, pools and routing, and handles the messages for them.

    Parameters
    ----------
    lease
        The list of live instances and this instance's lease.
    peer_names
        Returns the names of all other instances, known from settings or heard of.
    group
        Where the tasks of the connections to replicas run.
    orphan_limit
        Returns how long an owner without a lease goes on with one connection.
    transfer
        The type that moves ownership.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        members: Members,
        lease: LeaseView,
        peers: PeerSender,
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
            directory, self._ownership.allowance, dependencies, group
        )
        self._router = OwnerRouter(
            directory, members, self._ownership, self._pools, peers, self._clock
        )

    @property
    def router(self) -> OwnerRouter:
        """What sends work to the owners of replicas."""
        return self._router

    def owned_count(self, service: str) -> int:
        """Return how many replicas of a service this instance fully owns."""
        return self._ownership.owned_count(service)

    async def run(self) -> None:
        """Follow ownership and apply limits, every 100 ms."""
        while True:
            await self._ownership.reconcile(self._pools)
            await self._pools.enforce_limits()
            await self._router.end_lost()
            await self._clock.sleep(_ROUND)

    async def release_all(self, limit: timedelta) -> bool:
        """Let running work end and release all replicas; return whether all ended."""
        end = self._clock.monotonic_time() + limit
        await self._ownership.release_all(self._pools)
        while self._ownership.claim_count():
            if self._clock.monotonic_time() >= end:
                return False
            await self._clock.sleep(_ROUND)
            await self._ownership.release_all(self._pools)
        return True

    async def handle(self, envelope: Envelope) -> None:
        """Act on a message from a peer about targets or replicas."""
        sender = envelope.sender
        match envelope.message:
            case Announced() as announced:
                accept_relayed(self._directory, announced, self._clock)
            case AnnouncementDigest() as held:
                newer = newer_announcements(self._directory, held, self._clock)
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
