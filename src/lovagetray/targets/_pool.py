"""The owner's side of a replica: slots, queue and connections."""

from datetime import timedelta
from typing import NamedTuple

from curio import Queue, Task, TaskGroup
from expression import Error, Result

from lovagetray._clock import Clock
from lovagetray._errors import DeadlinePassed, Failure
from lovagetray._types import Announcement, SubReply, SubRequest
from lovagetray.wire import (
    HttpConnection,
    decode_sub_reply,
    encode_sub_request,
    sub_request_headers,
)

_CONNECT_LIMIT = timedelta(seconds=1)


class SubOutcome(NamedTuple):
    """What became of one sub-request."""

    request_id: str
    result: Result[SubReply, Failure]


class Job(NamedTuple):
    """A sub-request for an owned replica.

    Parameters
    ----------
    deadline
        When the outcome is no longer wanted, on the monotonic clock.
    inbox
        Where the outcome goes.
    """

    request: SubRequest
    deadline: timedelta
    inbox: Queue


class ReplicaPool:
    """Runs jobs on one owned replica, one task for each connection.

    There are as many connections as slots, so that the replica never works on more
    requests at once than it has slots.
    """

    def __init__(self, announcement: Announcement, clock: Clock) -> None:
        self._announcement = announcement
        self._clock = clock
        self._jobs: Queue = Queue()
        self._in_flight = 0
        self._tasks: list[Task] = []

    @property
    def in_flight(self) -> int:
        """The sub-requests that the replica works on now."""
        return self._in_flight

    async def start(self, group: TaskGroup) -> None:
        """Start one task for each connection."""
        for _ in range(self._announcement.slots):
            self._tasks.append(await group.spawn(self._serve_connection))

    async def submit(self, job: Job) -> None:
        """Queue a job; its outcome goes to its inbox."""
        await self._jobs.put(job)

    async def close(self) -> None:
        """Stop the connections."""
        for task in self._tasks:
            await task.cancel()

    async def _serve_connection(self) -> None:
        connection: HttpConnection | None = None
        try:
            while True:
                job = await self._jobs.get()
                self._in_flight += 1
                connection, outcome = await self._run(connection, job)
                self._in_flight -= 1
                await job.inbox.put(SubOutcome(job.request.request_id, outcome))
        finally:
            if connection is not None:
                await connection.close()

    async def _run(
        self, connection: HttpConnection | None, job: Job
    ) -> tuple[HttpConnection | None, Result[SubReply, Failure]]:
        left = job.deadline - self._clock.elapsed()
        if left <= timedelta(0):
            return connection, Error(DeadlinePassed())
        if connection is None:
            target = self._announcement
            opened = await HttpConnection.open(
                target.target, target.address, self._clock, min(left, _CONNECT_LIMIT)
            )
            match opened:
                case Result(tag="ok", ok=new):
                    connection = new
                case Result(error=failure):
                    return None, Error(failure)
        outcome = await self._exchange(connection, job)
        if not connection.reusable:
            await connection.close()
            connection = None
        return connection, outcome

    async def _exchange(
        self, connection: HttpConnection, job: Job
    ) -> Result[SubReply, Failure]:
        left = job.deadline - self._clock.elapsed()
        replied = await connection.exchange(
            "POST",
            "/search",
            sub_request_headers(job.request, left),
            encode_sub_request(job.request),
            left,
        )
        match replied:
            case Result(tag="ok", ok=response):
                return decode_sub_reply(job.request, response, timedelta(0))
            case Result(error=failure):
                return Error(failure)
