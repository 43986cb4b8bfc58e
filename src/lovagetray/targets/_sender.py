"""Sends work to the owners of replicas, here or on a peer."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Any, NamedTuple, Protocol

from curio import Queue
from expression import Error, Result

from lovagetray._clock import Clock
from lovagetray._errors import Failure, NotOwner, PeerLost, PeerUnreachable
from lovagetray._peer_messages import (
    CancelSubRequests,
    ExecutionOutcomes,
    RunExecutions,
    RunSubRequests,
    SubRequestOutcomes,
)
from lovagetray._types import (
    ExecuteRequest,
    InstanceId,
    SubRequest,
)
from lovagetray.commands.membership import OwnershipTransfer, PeerSender
from lovagetray.state import Members, TargetDirectory
from lovagetray.targets._pools import ReplicaPools
from lovagetray.targets._work import (
    Execute,
    ExecuteOutcome,
    Job,
    OutcomeQueue,
    Search,
    SubOutcome,
    Work,
)
from lovagetray.wire import (
    decode_execution,
    decode_outcome,
    encode_execution,
    encode_outcome,
)

# An outcome that a peer sent at the deadline arrives within this time or is lost.
_OUTCOME_GRACE = timedelta(milliseconds=500)


class SubRequestSender(Protocol):
    """Hands sub-requests to the owners of their replicas."""

    async def send(self, requests: Sequence[SubRequest], outcome_queue: Queue) -> None:
        """Send sub-requests; each puts one `SubOutcome` into `outcome_queue`."""

    async def cancel(self, request_ids: Sequence[str]) -> None:
        """Tell the owners that outcomes are no longer wanted."""


class ExecutionSender(Protocol):
    """Hands non-idempotent requests to the owners of their replicas."""

    async def execute(self, request: ExecuteRequest, outcome_queue: Queue) -> None:
        """Send a request at most once; `outcome_queue` gets one `ExecuteOutcome`."""


class _Pending(NamedTuple):
    """Work that a peer was asked to do."""

    owner: InstanceId
    job: Job


class OwnerRouter:
    """Routes work to owners and outcomes back to those who wait for them."""

    def __init__(
        self,
        directory: TargetDirectory,
        members: Members,
        ownership: OwnershipTransfer,
        pools: ReplicaPools,
        peers: PeerSender,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._members = members
        self._ownership = ownership
        self._pools = pools
        self._peers = peers
        self._clock = clock
        self._pending: dict[str, _Pending] = {}
        self._local: dict[str, Job] = {}

    async def send(self, requests: Sequence[SubRequest], outcome_queue: Queue) -> None:
        """Send sub-requests; each puts one `SubOutcome` into `outcome_queue`."""
        remote: dict[str, list[SubRequest]] = {}
        for request in requests:
            job = self._job(Search(request), outcome_queue)
            owner = self._owner(request.service, request.target)
            if owner is None:
                await job.settle(Error(NotOwner(request.target)))
            elif owner == self._members.own_record.instance:
                await self._run_here(job)
            else:
                self._pending[request.request_id] = _Pending(owner, job)
                remote.setdefault(owner.name, []).append(request)
        for name, batch in remote.items():
            if not await self._peers.send(name, RunSubRequests(tuple(batch))):
                for request in batch:
                    await self._end(request.request_id, Error(PeerUnreachable(name)))

    async def execute(self, request: ExecuteRequest, outcome_queue: Queue) -> None:
        """Send a request at most once; `outcome_queue` gets one `ExecuteOutcome`."""
        job = self._job(Execute(request), outcome_queue)
        owner = self._owner(request.service, request.target)
        if owner is None:
            await job.settle(Error(NotOwner(request.target)))
        elif owner == self._members.own_record.instance:
            await self._run_here(job)
        else:
            self._pending[request.request_id] = _Pending(owner, job)
            if not await self._peers.send(owner.name, RunExecutions((request,))):
                failure = PeerUnreachable(owner.name)
                await self._end(request.request_id, Error(failure))

    async def cancel(self, request_ids: Sequence[str]) -> None:
        """Tell the owners that outcomes are no longer wanted."""
        remote: dict[str, list[str]] = {}
        for request_id in request_ids:
            pending = self._pending.pop(request_id, None)
            if pending is not None:
                pending.job.drop()
                remote.setdefault(pending.owner.name, []).append(request_id)
                continue
            await self._cancel_here(request_id)
        for name, batch in remote.items():
            await self._peers.send(name, CancelSubRequests(tuple(batch)))

    async def cancel_for_peer(self, message: CancelSubRequests) -> None:
        """Stop work that a peer no longer wants."""
        for request_id in message.request_ids:
            await self._cancel_here(request_id)

    async def run_for_peer(
        self, sender: InstanceId, message: RunSubRequests | RunExecutions
    ) -> None:
        """Run a peer's work on replicas that this instance owns."""
        outcome_queue = _PeerInbox(self._peers, sender.name)
        for request in message.requests:
            match request:
                case SubRequest():
                    await self._run_here(self._job(Search(request), outcome_queue))
                case ExecuteRequest():
                    await self._run_here(self._job(Execute(request), outcome_queue))

    async def accept_outcomes(
        self, message: SubRequestOutcomes | ExecutionOutcomes
    ) -> None:
        """Deliver outcomes that a peer returned; unknown ones came too late."""
        match message:
            case SubRequestOutcomes(outcomes=sub_requests):
                for frame in sub_requests:
                    await self._end(frame.request_id, decode_outcome(frame))
            case ExecutionOutcomes(outcomes=executions):
                for execution in executions:
                    result = decode_execution(execution)
                    await self._end(execution.request_id, result)

    async def end_lost(self) -> None:
        """End the work that waits for a peer that is gone or lost the outcome."""
        now = self._clock.monotonic_time()
        live = {record.instance for record in self._members.live(now)}
        for request_id, (owner, job) in list(self._pending.items()):
            if owner not in live or now > job.deadline + _OUTCOME_GRACE:
                await self._end(request_id, Error(PeerLost(owner.name)))
        for request_id in [name for name, job in self._local.items() if job.settled]:
            del self._local[request_id]
            self._pools.forget(request_id)

    def _job(self, work: Work, outcome_queue: OutcomeQueue) -> Job:
        return Job(
            work, self._clock.monotonic_time() + work.request.time_left, outcome_queue
        )

    def _owner(self, service: str, target: str) -> InstanceId | None:
        """Return the instance that takes work for a replica."""
        listing = self._directory.listing(service, target)
        if listing is None:
            return None
        if self._ownership.owns(listing.announcement):
            return self._members.own_record.instance
        name = self._ownership.owner(listing.announcement)
        if name is None or name == self._members.own_record.instance.name:
            return None
        record = self._members.record(name)
        return None if record is None else record.instance

    async def _run_here(self, job: Job) -> None:
        if not self._owns(job.work.request.service, job.work.request.target):
            await job.settle(Error(NotOwner(job.work.request.target)))
            return
        self._local[job.request_id] = job
        await self._pools.submit(job)

    def _owns(self, service: str, target: str) -> bool:
        listing = self._directory.listing(service, target)
        return listing is not None and self._ownership.owns(listing.announcement)

    async def _cancel_here(self, request_id: str) -> None:
        self._local.pop(request_id, None)
        await self._pools.cancel(request_id)

    async def _end(self, request_id: str, result: Result[Any, Failure]) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        match pending.job.work, result:
            case Search(request=request), Result(tag="ok"):
                now = self._clock.monotonic_time()
                self._directory.record_contact(request.service, request.target, now)
        await pending.job.settle(result)


class _PeerInbox:
    """Sends outcomes back to the peer that asked for them."""

    def __init__(self, peers: PeerSender, name: str) -> None:
        self._peers = peers
        self._name = name

    async def put(self, outcome: SubOutcome | ExecuteOutcome) -> None:
        match outcome:
            case SubOutcome(request_id=request_id, result=result):
                frame = encode_outcome(request_id, result)
                await self._peers.send(self._name, SubRequestOutcomes((frame,)))
            case ExecuteOutcome(request_id=request_id, result=executed):
                execution = encode_execution(request_id, executed)
                await self._peers.send(self._name, ExecutionOutcomes((execution,)))
