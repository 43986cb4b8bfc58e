"""The connection pools of all replicas that an instance uses."""

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
    """Connection pools of the replicas of an instance, one for each incarnation.

    Parameters
    ----------
    directory
        Announced targets.
    quota
        Returns the slots and connections that this instance may use now.
    dependencies
        Dependencies that all pools share.
    group
        Task group for the connections.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        quota: Callable[[Announcement], ReplicaQuota],
        dependencies: PoolDependencies,
        group: TaskGroup,
    ) -> None:
        self._directory = directory
        self._quota = quota
        self._dependencies = dependencies
        self._group = group
        self._pools: dict[ReplicaKey, ReplicaPool] = {}
        self._outdated_pools: list[tuple[ReplicaKey, ReplicaPool]] = []
        self._keys_by_request: dict[str, ReplicaKey] = {}

    async def submit(self, job: Job) -> None:
        """Run a job on its replica; its outcome goes to its outcome queue."""
        request = job.work.request
        key = ReplicaKey(request.service, request.target)
        listing = self._directory.listing(*key)
        if listing is None:
            await job.settle(Error(NotOwner(request.target)))
            return
        pool = await self._pool(key, listing)
        self._keys_by_request[job.request_id] = key
        await pool.submit(job)

    async def cancel(self, request_id: str) -> None:
        """Cancel a job; no outcome is delivered for it."""
        key = self._keys_by_request.pop(request_id, None)
        pools = [self._pools.get(key)] if key is not None else []
        pools += [pool for pool_key, pool in self._outdated_pools if pool_key == key]
        for pool in pools:
            if pool is not None:
                await pool.cancel(request_id)

    def discard_job(self, request_id: str) -> None:
        """Remove the entry by which a job, now ended, could be cancelled."""
        self._keys_by_request.pop(request_id, None)

    def in_use(self, key: ReplicaKey) -> bool:
        """Return whether a replica has unfinished jobs or open connections."""
        pool = self._pools.get(key)
        used = pool is not None and pool.in_use
        return used or any(pool_key == key for pool_key, _ in self._outdated_pools)

    async def release(self, key: ReplicaKey) -> None:
        """Refuse new jobs for a replica, finish accepted ones, close connections."""
        pool = self._pools.get(key)
        if pool is None:
            return
        await pool.release()
        if not pool.in_use:
            del self._pools[key]

    async def enforce_limits(self) -> None:
        """Apply new announcements and limits that changed over time to every pool.

        Must be called several times a second.
        """
        for key, pool in list(self._pools.items()):
            listing = self._directory.listing(*key)
            if listing is not None:
                pool = await self._pool(key, listing)
            await pool.enforce_limits()
            if pool.released:
                del self._pools[key]
        self._outdated_pools = [
            (key, pool) for key, pool in self._outdated_pools if pool.in_use
        ]

    async def _pool(self, key: ReplicaKey, listing: Listing) -> ReplicaPool:
        """Return the pool of a replica; create one for a new incarnation."""
        pool = self._pools.get(key)
        announcement = listing.announcement
        if pool is not None and not pool.released:
            if pool.announcement.incarnation == announcement.incarnation:
                pool.update(listing)
                return pool
            await pool.close(ConnectFailed(key.target))
            self._outdated_pools.append((key, pool))
        pool = ReplicaPool(
            listing, self._quota, self._dependencies, self._group, self._contacted
        )
        self._pools[key] = pool
        return pool

    def _contacted(self, announcement: Announcement) -> None:
        now = self._dependencies.clock.monotonic_time()
        self._directory.record_contact(announcement.service, announcement.target, now)
