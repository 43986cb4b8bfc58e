"""Routes requests to the owners of replicas: this instance or a peer."""

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
from lovagetray.commands.membership import OwnershipTransfer, OwnershipTransport
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

# An outcome that a peer sends at the deadline arrives within this time unless it is
# lost.
_OUTCOME_GRACE = timedelta(milliseconds=500)


class SubRequestSender(Protocol):
    """Sender of sub-requests to the owners of their replicas."""

    async def send(self, requests: Sequence[SubRequest], outcome_queue: Queue) -> None:
        """Send sub-requests; each puts one `SubOutcome` into `outcome_queue`."""

    async def cancel(self, request_ids: Sequence[str]) -> None:
        """Cancel sub-requests whose outcomes are no longer needed."""


class ExecutionSender(Protocol):
    """Sender of non-idempotent requests to the owners of their replicas."""

    async def execute(self, request: ExecuteRequest, outcome_queue: Queue) -> None:
        """Send a request at most once; `outcome_queue` gets one `ExecuteOutcome`."""


class _Pending(NamedTuple):
    """A request that was sent to a peer and has no outcome yet."""

    owner: InstanceId
    job: Job


class OwnerRouter:
    """Router of requests to the owners of replicas, and of outcomes to the senders.

    Parameters
    ----------
    directory
        Announced targets.
    members
        Known instances.
    ownership
        Tells which instance owns a replica.
    pools
        Connection pools of the replicas that this instance owns.
    peers
        Sends messages to other instances.
    clock
        Source of monotonic time.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        members: Members,
        ownership: OwnershipTransfer,
        pools: ReplicaPools,
        peers: OwnershipTransport,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._members = members
        self._ownership = ownership
        self._pools = pools
        self._peers = peers
        self._clock = clock
        self._pending: dict[str, _Pending] = {}
        self._local_jobs: dict[str, Job] = {}

    async def send(self, requests: Sequence[SubRequest], outcome_queue: Queue) -> None:
        """Send sub-requests; each puts one `SubOutcome` into `outcome_queue`."""
        remote: dict[str, list[SubRequest]] = {}
        for request in requests:
            job = self._make_job(Search(request), outcome_queue)
            owner = self._owner(request.service, request.target)
            if owner is None:
                await job.settle(Error(NotOwner(request.target)))
            elif owner == self._members.own_record.instance:
                await self._run_locally(job)
            else:
                self._pending[request.request_id] = _Pending(owner, job)
                remote.setdefault(owner.name, []).append(request)
        for name, batch in remote.items():
            if not await self._peers.send(name, RunSubRequests(tuple(batch))):
                for request in batch:
                    await self._deliver(
                        request.request_id, Error(PeerUnreachable(name))
                    )

    async def execute(self, request: ExecuteRequest, outcome_queue: Queue) -> None:
        """Send a request at most once; `outcome_queue` gets one `ExecuteOutcome`."""
        job = self._make_job(Execute(request), outcome_queue)
        owner = self._owner(request.service, request.target)
        if owner is None:
            await job.settle(Error(NotOwner(request.target)))
        elif owner == self._members.own_record.instance:
            await self._run_locally(job)
        else:
            self._pending[request.request_id] = _Pending(owner, job)
            if not await self._peers.send(owner.name, RunExecutions((request,))):
                failure = PeerUnreachable(owner.name)
                await self._deliver(request.request_id, Error(failure))

    async def cancel(self, request_ids: Sequence[str]) -> None:
        """Cancel sub-requests whose outcomes are no longer needed."""
        remote: dict[str, list[str]] = {}
        for request_id in request_ids:
            pending = self._pending.pop(request_id, None)
            if pending is not None:
                pending.job.drop()
                remote.setdefault(pending.owner.name, []).append(request_id)
                continue
            await self._cancel_locally(request_id)
        for name, batch in remote.items():
            await self._peers.send(name, CancelSubRequests(tuple(batch)))

    async def cancel_for_peer(self, message: CancelSubRequests) -> None:
        """Cancel requests of a peer that it no longer needs."""
        for request_id in message.request_ids:
            await self._cancel_locally(request_id)

    async def run_for_peer(
        self, sender: InstanceId, message: RunSubRequests | RunExecutions
    ) -> None:
        """Run a peer's requests on replicas that this instance owns."""
        outcome_queue = _PeerOutcomeQueue(self._peers, sender.name)
        for request in message.requests:
            match request:
                case SubRequest():
                    await self._run_locally(
                        self._make_job(Search(request), outcome_queue)
                    )
                case ExecuteRequest():
                    await self._run_locally(
                        self._make_job(Execute(request), outcome_queue)
                    )

    async def accept_outcomes(
        self, message: SubRequestOutcomes | ExecutionOutcomes
    ) -> None:
        """Deliver outcomes that a peer returned; late ones are ignored."""
        match message:
            case SubRequestOutcomes(outcomes=sub_requests):
                for frame in sub_requests:
                    await self._deliver(frame.request_id, decode_outcome(frame))
            case ExecutionOutcomes(outcomes=executions):
                for execution in executions:
                    result = decode_execution(execution)
                    await self._deliver(execution.request_id, result)

    async def fail_lost_requests(self) -> None:
        """Fail requests whose peer is gone or whose outcome was lost."""
        now = self._clock.monotonic_time()
        live = {record.instance for record in self._members.live(now)}
        for request_id, (owner, job) in list(self._pending.items()):
            if owner not in live or now > job.deadline + _OUTCOME_GRACE:
                await self._deliver(request_id, Error(PeerLost(owner.name)))
        for request_id in [
            name for name, job in self._local_jobs.items() if job.settled
        ]:
            del self._local_jobs[request_id]
            self._pools.discard_job(request_id)

    def _make_job(self, work: Work, outcome_queue: OutcomeQueue) -> Job:
        return Job(
            work, self._clock.monotonic_time() + work.request.time_left, outcome_queue
        )

    def _owner(self, service: str, target: str) -> InstanceId | None:
        """Return the instance that accepts requests for a replica."""
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

    async def _run_locally(self, job: Job) -> None:
        if not self._owns(job.work.request.service, job.work.request.target):
            await job.settle(Error(NotOwner(job.work.request.target)))
            return
        self._local_jobs[job.request_id] = job
        await self._pools.submit(job)

    def _owns(self, service: str, target: str) -> bool:
        listing = self._directory.listing(service, target)
        return listing is not None and self._ownership.owns(listing.announcement)

    async def _cancel_locally(self, request_id: str) -> None:
        self._local_jobs.pop(request_id, None)
        await self._pools.cancel(request_id)

    async def _deliver(self, request_id: str, result: Result[Any, Failure]) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        match pending.job.work, result:
            case Search(request=request), Result(tag="ok"):
                now = self._clock.monotonic_time()
                self._directory.record_contact(request.service, request.target, now)
        await pending.job.settle(result)


class _PeerOutcomeQueue:
    """Outcome queue that returns outcomes to the peer that sent the requests."""

    def __init__(self, peers: OwnershipTransport, name: str) -> None:
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
