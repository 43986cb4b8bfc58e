"""The pools of all replicas that an instance uses."""

from collections.abc import Callable

from curio import TaskGroup
from expression import Error

from lovagetray._errors import ConnectFailed, NotOwner
from lovagetray._types import Announcement, ReplicaKey, ReplicaQuota
from lovagetray.state import Listing, TargetDirectory
from lovagetray.targets._pool import ReplicaPool
from lovagetray.targets._pooled_connection import PoolDependencies
from lovagetray.targets._work import Job


class ReplicaPools:
    """Runs jobs on the replicas of this instance, one pool for each incarnation."""

    def __init__(
        self,
        directory: TargetDirectory,
        allowance: Callable[[Announcement], ReplicaQuota],
        dependencies: PoolDependencies,
        group: TaskGroup,
    ) -> None:
        self._directory = directory
        self._allowance = allowance
        self._dependencies = dependencies
        self._group = group
        self._pools: dict[ReplicaKey, ReplicaPool] = {}
        self._outdated: list[tuple[ReplicaKey, ReplicaPool]] = []
        self._places: dict[str, ReplicaKey] = {}

    async def submit(self, job: Job) -> None:
        """Run a job on its replica; its outcome goes to its inbox."""
        request = job.work.request
        key = ReplicaKey(request.service, request.target)
        listing = self._directory.listing(*key)
        if listing is None:
            await job.settle(Error(NotOwner(request.target)))
            return
        pool = await self._pool(key, listing)
        self._places[job.request_id] = key
        await pool.submit(job)

    async def cancel(self, request_id: str) -> None:
        """Stop a job; it yields no outcome."""
        key = self._places.pop(request_id, None)
        pools = [self._pools.get(key)] if key is not None else []
        pools += [pool for place, pool in self._outdated if place == key]
        for pool in pools:
            if pool is not None:
                await pool.cancel(request_id)

    def forget(self, request_id: str) -> None:
        """Drop what is needed to cancel a job that has ended."""
        self._places.pop(request_id, None)

    def in_use(self, key: ReplicaKey) -> bool:
        """Tell whether work is in flight at a replica or a connection to it open."""
        pool = self._pools.get(key)
        used = pool is not None and pool.in_use
        return used or any(place == key for place, _ in self._outdated)

    async def release(self, key: ReplicaKey) -> None:
        """Take no new work for a replica, finish what runs and close connections."""
        pool = self._pools.get(key)
        if pool is None:
            return
        await pool.release()
        if not pool.in_use:
            del self._pools[key]

    async def enforce_limits(self) -> None:
        """Apply what changed with time to every pool; call several times a second."""
        for key, pool in list(self._pools.items()):
            listing = self._directory.listing(*key)
            if listing is not None:
                pool = await self._pool(key, listing)
            await pool.enforce_limits()
            if pool.released:
                del self._pools[key]
        self._outdated = [(key, pool) for key, pool in self._outdated if pool.in_use]

    async def _pool(self, key: ReplicaKey, listing: Listing) -> ReplicaPool:
        """Return the pool of a replica; a new incarnation of it gets a new one."""
        pool = self._pools.get(key)
        announcement = listing.announcement
        if pool is not None and not pool.released:
            if pool.announcement.incarnation == announcement.incarnation:
                pool.update(listing)
                return pool
            await pool.close(ConnectFailed(key.target))
            self._outdated.append((key, pool))
        pool = ReplicaPool(
            listing, self._allowance, self._dependencies, self._group, self._contacted
        )
        self._pools[key] = pool
        return pool

    def _contacted(self, announcement: Announcement) -> None:
        now = self._dependencies.clock.monotonic_time()
        self._directory.record_contact(announcement.service, announcement.target, now)
