"""Fake replicas and their owners, used through `SubRequestSender`, in virtual time."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import NamedTuple

from curio import Event, Queue, TaskGroup
from expression import Error, Ok, Result

from lovagetray._clock import Clock
from lovagetray._errors import (
    ConnectFailed,
    ConnectionLost,
    DeadlinePassed,
    Failure,
    NoReply,
    Overloaded,
    RefusedByTarget,
    SnapshotUnavailable,
)
from lovagetray._types import (
    Address,
    Announcement,
    Holding,
    Load,
    Record,
    Snapshot,
    SubReply,
    SubRequest,
    TargetState,
)
from lovagetray.state import TargetDirectory
from lovagetray.targets import SubOutcome

# Round trip to the owner and the target; the model counts it as time in the slot.
_ROUND_TRIP = timedelta(milliseconds=1)


@dataclass(frozen=True)
class Working:
    """Condition of a replica that serves.

    Parameters
    ----------
    factor
        Multiplies the mean work time; the replica is a straggler if it is above 1.
    """

    factor: float = 1.0


@dataclass(frozen=True)
class Frozen:
    """Condition of a replica that accepts work and does not reply."""

    announces: bool = True


@dataclass(frozen=True)
class Crashed:
    """Condition of a replica that refuses connections and sends no announcements."""


@dataclass(frozen=True)
class RefusingWork:
    """Condition of a replica that refuses all work.

    Parameters
    ----------
    reason
        shed, draining or starting.
    """

    reason: str


Condition = Working | Frozen | Crashed | RefusingWork


class FleetConfig(NamedTuple):
    """Size of a service, and rates of faults of its replicas.

    Parameters
    ----------
    mismatched_reply_rate, outcome_after_cancel_rate
        Share of replies that belong to another request, and share of cancelled
        sub-requests that deliver an outcome nevertheless.
    load_reports
        Whether load reports are true, frozen (constant) or wrong (random).
    """

    service: str = "kallioniemi/invoices"
    targets: int = 30
    slots: int = 5
    mean_work_time: timedelta = timedelta(milliseconds=5)
    connect_cost: timedelta = timedelta(milliseconds=6)
    records: int = 200
    mismatched_reply_rate: float = 0.0
    outcome_after_cancel_rate: float = 0.0
    load_reports: str = "true"


class _Job:
    """Sub-request in the queue or in a slot of a replica."""

    def __init__(
        self, request: SubRequest, deadline: timedelta, outcome_queue: Queue
    ) -> None:
        self.request = request
        self.deadline = deadline
        self.outcome_queue = outcome_queue
        self.cancelled = Event()
        self.queued = True


class Replica:
    """Target with its condition, snapshots and the jobs of its owner."""

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.number = number
        self.condition: Condition = Working()
        self.snapshots: list[Snapshot] = []
        self.jobs: Queue = Queue()
        self.queued = 0
        self.in_flight = 0
        self.peak_in_flight = 0
        self.sequence = 0


class ReplicaFleet:
    """Replicas of a service, which any number of searchers use as `SubRequestSender`.

    The replica with number n holds shard ``n % shards`` of every snapshot it has, and
    record r of a version is in shard ``r % shards``.
    """

    def __init__(
        self,
        config: FleetConfig,
        clock: Clock,
        directory: TargetDirectory,
        random: Random,
    ) -> None:
        self.config = config
        self.replicas = [Replica(f"t{n}", n) for n in range(config.targets)]
        self.sent = 0
        self._clock = clock
        self._directory = directory
        self._random = random
        self._by_name = {replica.name: replica for replica in self.replicas}
        self._jobs: dict[str, _Job] = {}

    async def start(self, group: TaskGroup, snapshot: Snapshot) -> None:
        """Load a snapshot on every replica and start one task for each slot."""
        for replica in self.replicas:
            replica.snapshots = [snapshot]
            self.announce(replica)
            for _ in range(self.config.slots):
                await group.spawn(self._serve, replica)
        await group.spawn(self._announce_periodically)

    async def send(self, requests: Sequence[SubRequest], outcome_queue: Queue) -> None:
        """Queue sub-requests for their replicas as their owners do.

        A sub-request that would wait for longer than its time left is refused.
        """
        now = self._clock.monotonic_time()
        for request in requests:
            self.sent += 1
            replica = self._by_name[request.target]
            job = _Job(request, now + request.time_left, outcome_queue)
            wait = self.queue_wait(replica)
            if wait > request.time_left:
                await self._deliver(job, Error(Overloaded(wait)))
                continue
            self._jobs[request.request_id] = job
            replica.queued += 1
            await replica.jobs.put(job)

    async def cancel(self, request_ids: Sequence[str]) -> None:
        """Cancel sub-requests whose outcomes are no longer needed."""
        for request_id in request_ids:
            job = self._jobs.get(request_id)
            if job is not None:
                self._mark_dequeued(job)
                await job.cancelled.set()

    def queue_wait(self, replica: Replica) -> timedelta:
        """Return the expected time that a new sub-request waits for a slot."""
        return self._slot_time(replica) * (replica.queued / self.config.slots)

    def announce(self, replica: Replica, state: str = "ready") -> None:
        """Enter an announcement of a replica into the directory."""
        replica.sequence += 1
        config = self.config
        load = Load(replica.in_flight, replica.queued)
        match config.load_reports:
            case "frozen":
                load = Load(replica.number % 3, 0)
            case "wrong":
                load = Load(0, self._random.randrange(100))
        holdings = [
            Holding(snapshot, replica.number % snapshot.shards)
            for snapshot in replica.snapshots
        ]
        announcement = Announcement(
            config.service,
            replica.name,
            1,
            replica.sequence,
            "helsinki-1",
            Address("127.0.0.1", 1),
            TargetState(state),
            tuple(holdings),
            config.slots,
            40,
            config.connect_cost,
            load,
        )
        self._directory.accept(announcement, self._clock.monotonic_time())

    def records(self, snapshot: Snapshot, shard: int) -> list[Record]:
        """Return the records of a shard of a snapshot."""
        fields = {"version": str(snapshot.version)}
        return [
            Record(f"r{number:04d}", float(number), fields)
            for number in range(shard, self.config.records, snapshot.shards)
        ]

    def _slot_time(self, replica: Replica) -> timedelta:
        """Return the mean time that a sub-request occupies a slot."""
        match replica.condition:
            case Working(factor=factor):
                return self.config.mean_work_time * factor + _ROUND_TRIP
            case _:
                return self.config.mean_work_time + _ROUND_TRIP

    async def _announce_periodically(self) -> None:
        pause = timedelta(seconds=1) / len(self.replicas)
        while True:
            for replica in self.replicas:
                await self._clock.sleep(pause)
                match replica.condition:
                    case Crashed() | Frozen(announces=False):
                        pass
                    case _:
                        self.announce(replica)

    async def _serve(self, replica: Replica) -> None:
        while True:
            job = await replica.jobs.get()
            self._mark_dequeued(job)
            if not job.cancelled.is_set():
                replica.in_flight += 1
                replica.peak_in_flight = max(replica.peak_in_flight, replica.in_flight)
                result = await self._work(replica, job)
                replica.in_flight -= 1
                cancelled = job.cancelled.is_set()
                if (
                    not cancelled
                    or self._random.random() < self.config.outcome_after_cancel_rate
                ):
                    await self._deliver(job, result)
            self._jobs.pop(job.request.request_id, None)

    def _mark_dequeued(self, job: _Job) -> None:
        if job.queued:
            job.queued = False
            self._by_name[job.request.target].queued -= 1

    async def _work(self, replica: Replica, job: _Job) -> Result[SubReply, Failure]:
        if job.deadline - self._clock.monotonic_time() <= _ROUND_TRIP:
            return Error(DeadlinePassed())
        await self._clock.sleep(_ROUND_TRIP)
        time_left = job.deadline - self._clock.monotonic_time()
        match replica.condition:
            case Crashed():
                return Error(ConnectFailed(replica.name))
            case RefusingWork(reason=reason):
                return Error(RefusedByTarget(replica.name, reason))
        if job.request.snapshot not in replica.snapshots:
            return Error(SnapshotUnavailable(replica.name))
        work = (self._slot_time(replica) - _ROUND_TRIP) * self._random.expovariate(1.0)
        await self._clock.with_timeout(min(work, time_left), job.cancelled.wait())
        match replica.condition:
            case Crashed():
                return Error(ConnectionLost(replica.name))
            case Frozen():
                time_left = job.deadline - self._clock.monotonic_time()
                await self._clock.with_timeout(time_left, job.cancelled.wait())
                return Error(NoReply(replica.name))
        if work > time_left:
            return Error(NoReply(replica.name))
        return Ok(self._reply(replica, job.request))

    def _reply(self, replica: Replica, request: SubRequest) -> SubReply:
        reply = SubReply(
            request.request_id,
            request.shard,
            request.snapshot,
            tuple(self.records(request.snapshot, request.shard)),
            self.queue_wait(replica),
        )
        if self._random.random() >= self.config.mismatched_reply_rate:
            return reply
        other = request.snapshot._replace(version=request.snapshot.version - 1)
        shard = (request.shard + 1) % request.snapshot.shards
        mismatches = ({"request_id": "crossed"}, {"shard": shard}, {"snapshot": other})
        return reply._replace(**self._random.choice(mismatches))

    async def _deliver(self, job: _Job, result: Result[SubReply, Failure]) -> None:
        await job.outcome_queue.put(SubOutcome(job.request.request_id, result))
