"""Sends sub-requests to the owners of their replicas, here or on a peer."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from curio import Queue, TaskGroup
from expression import Error

from lovagetray._clock import Clock
from lovagetray._errors import Failure, NotOwner, PeerLost, PeerUnreachable
from lovagetray._peer_messages import (
    CancelSubRequests,
    RunSubRequests,
    SubRequestOutcomes,
)
from lovagetray._types import InstanceId, SubRequest
from lovagetray.queries.membership import owner_of
from lovagetray.state import Directory, Members
from lovagetray.targets._pool import Job, ReplicaPool, SubOutcome
from lovagetray.wire import Peers, decode_outcome, encode_outcome


class SubRequestSender(Protocol):
    """Hands sub-requests to the owners of their replicas."""

    async def send(self, requests: Sequence[SubRequest], inbox: Queue) -> None:
        """Send sub-requests; each puts one `SubOutcome` into `inbox`."""

    async def cancel(self, request_ids: Sequence[str]) -> None:
        """Tell the owners that outcomes are no longer wanted."""


class _Pending(NamedTuple):
    owner: str
    inbox: Queue


class OwnerRouter:
    """Routes sub-requests to owners and outcomes back to the queries."""

    def __init__(
        self,
        directory: Directory,
        members: Members,
        peers: Peers,
        clock: Clock,
        group: TaskGroup,
    ) -> None:
        self._directory = directory
        self._members = members
        self._peers = peers
        self._clock = clock
        self._group = group
        self._pending: dict[str, _Pending] = {}
        self._pools: dict[tuple[str, str, int], ReplicaPool] = {}

    async def send(self, requests: Sequence[SubRequest], inbox: Queue) -> None:
        """Send sub-requests; each puts one `SubOutcome` into `inbox`."""
        now = self._clock.elapsed()
        for request in requests:
            listing = self._directory.listing(request.service, request.target)
            serving = self._members.serving(now)
            owner = None if listing is None else owner_of(listing.announcement, serving)
            if owner is None:
                await _fail(inbox, request, NotOwner(request.target))
            elif owner.instance.name == self._members.myself.instance.name:
                await self._run_here(request, inbox)
            else:
                await self._run_at(owner.instance.name, request, inbox)

    async def cancel(self, request_ids: Sequence[str]) -> None:
        """Tell the owners that outcomes are no longer wanted."""
        for request_id in request_ids:
            pending = self._pending.pop(request_id, None)
            if pending is not None:
                await self._peers.send(pending.owner, CancelSubRequests((request_id,)))

    async def run_for_peer(self, sender: InstanceId, message: RunSubRequests) -> None:
        """Run a peer's sub-requests on replicas that this instance owns."""
        inbox = _PeerInbox(self._peers, sender.name)
        for request in message.requests:
            await self._run_here(request, inbox)

    async def accept_outcomes(self, message: SubRequestOutcomes) -> None:
        """Deliver outcomes that a peer returned; unknown ones came too late."""
        for frame in message.outcomes:
            pending = self._pending.pop(frame.request_id, None)
            if pending is not None:
                outcome = SubOutcome(frame.request_id, decode_outcome(frame))
                await pending.inbox.put(outcome)

    async def fail_silent_peers(self) -> None:
        """End the sub-requests that wait for a peer that has gone silent."""
        now = self._clock.elapsed()
        live = {record.instance.name for record in self._members.live(now)}
        lost = [
            request_id
            for request_id, pending in self._pending.items()
            if pending.owner not in live
        ]
        for request_id in lost:
            pending = self._pending.pop(request_id)
            await pending.inbox.put(
                SubOutcome(request_id, Error(PeerLost(pending.owner)))
            )

    async def _run_at(self, owner: str, request: SubRequest, inbox: Queue) -> None:
        self._pending[request.request_id] = _Pending(owner, inbox)
        if not await self._peers.send(owner, RunSubRequests((request,))):
            del self._pending[request.request_id]
            await _fail(inbox, request, PeerUnreachable(owner))

    async def _run_here(self, request: SubRequest, inbox: "Queue | _PeerInbox") -> None:
        listing = self._directory.listing(request.service, request.target)
        if listing is None:
            await _fail(inbox, request, NotOwner(request.target))
            return
        announcement = listing.announcement
        key = (announcement.service, announcement.target, announcement.incarnation)
        pool = self._pools.get(key)
        if pool is None:
            pool = ReplicaPool(announcement, self._clock)
            self._pools[key] = pool
            await pool.start(self._group)
        deadline = self._clock.elapsed() + request.budget
        await pool.submit(Job(request, deadline, inbox))


class _PeerInbox:
    """Sends outcomes back to the peer that asked for them."""

    def __init__(self, peers: Peers, name: str) -> None:
        self._peers = peers
        self._name = name

    async def put(self, outcome: SubOutcome) -> None:
        frame = encode_outcome(outcome.request_id, outcome.result)
        await self._peers.send(self._name, SubRequestOutcomes((frame,)))


async def _fail(
    inbox: "Queue | _PeerInbox", request: SubRequest, failure: Failure
) -> None:
    await inbox.put(SubOutcome(request.request_id, Error(failure)))
