"""Fake replica, dialer and connections in virtual time, which check the limits."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from typing import Any

from curio import Event, sleep
from expression import Error, Ok, Result

from lovagetray import Address, SystemClock
from lovagetray._errors import (
    ConnectFailed,
    ConnectionLost,
    NoReply,
    RefusedByTarget,
    WrongReply,
)
from lovagetray._types import (
    Announcement,
    ExecuteReply,
    Holding,
    Load,
    Snapshot,
    SubReply,
    TargetState,
)
from lovagetray.targets import Execute, NoFirstByte, Search, Work

SNAPSHOT = Snapshot(1, "mod", 1)
# Owners may still send work for this time after a replica announced that it leaves.
_LEAVING_GRACE = timedelta(seconds=3)


def make_announcement(name: str, slots: int, connections: int) -> Announcement:
    """Return the announcement of a replica that has been ready for a long time."""
    return Announcement(
        service="venture/portal",
        target=name,
        incarnation=1,
        sequence=100,
        data_centre="athens-1",
        address=Address("127.0.0.1", 1),
        state=TargetState.READY,
        holdings=(Holding(SNAPSHOT, 0),),
        slots=slots,
        connections=connections,
        connect_cost=timedelta(milliseconds=6),
        load=Load(0, 0),
    )


async def never_frozen() -> None:
    """Return at once, as for an instance that is never frozen."""


class FakeReplica:
    """Replica that serves work in virtual time and records exceeded limits.

    Faults are switched by `frozen` (serves nothing until it is reset), `shedding`
    (refuses all work), `sends_mismatched_replies` (replies with a wrong request id)
    and `terminated` (its process has ended).
    """

    def __init__(self, announcement: Announcement, random: Random) -> None:
        self.announcement = announcement
        self.random = random
        self.clock = SystemClock()
        self.in_flight = 0
        self.peak_in_flight = 0
        self.connections = 0
        self.opened = 0
        self.served = 0
        self.executed: list[str] = []
        self.problems: list[str] = []
        self.frozen = False
        self.shedding = False
        self.sends_mismatched_replies = False
        self.terminated = False
        self.leaving_at: timedelta | None = None
        self.mean_work_time = 0.01

    def connect(self) -> None:
        self.connections += 1
        self.opened += 1
        self._check("connections", self.connections, self.announcement.connections)

    async def serve(self, work: Work, had_time_to_learn: bool) -> Result[Any, Any]:
        """Return the reply to one request or its failure.

        Parameters
        ----------
        had_time_to_learn
            Whether the sender has been running for long enough that it must know
            whether the replica is leaving.
        """
        await sleep(0.0005)
        target = self.announcement.target
        while self.frozen:
            await sleep(0.02)
        if self.terminated:
            return Error(NoFirstByte(ConnectionLost(target)))
        now = self.clock.monotonic_time()
        if self.leaving_at is not None and now - self.leaving_at > _LEAVING_GRACE:
            if had_time_to_learn:
                self.problems.append(
                    f"work for {target} more than 3 s after it announced that it leaves"
                )
            return Error(RefusedByTarget(target, "draining"))
        if self.shedding:
            return Error(RefusedByTarget(target, "shed"))
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        self._check("slots", self.in_flight, self.announcement.slots)
        try:
            return await self._work(work)
        finally:
            self.in_flight -= 1

    async def _work(self, work: Work) -> Result[Any, Any]:
        match work:
            case Execute(request=request):
                if request.key in self.executed:
                    self.problems.append(f"{request.key} executed twice")
                self.executed.append(request.key)
        await sleep(self.random.expovariate(1 / self.mean_work_time))
        target = self.announcement.target
        if self.terminated:
            return Error(ConnectionLost(target))
        self.served += 1
        if self.sends_mismatched_replies:
            return Error(WrongReply(target, "request id"))
        match work:
            case Search(request=request):
                return Ok(SubReply(request.request_id, 0, SNAPSHOT, (), timedelta(0)))
            case Execute(request=request):
                return Ok(ExecuteReply(request.request_id, b"{}"))

    def _check(self, name: str, count: int, limit: int) -> None:
        if count > limit:
            target = self.announcement.target
            self.problems.append(f"{count} {name} of {target} in use, limit {limit}")


class FakeConnection:
    """Connection to a fake replica; `silent` makes all its exchanges time out."""

    def __init__(
        self,
        replica: FakeReplica,
        wait_while_frozen: Callable[[], Awaitable[None]],
        had_time_to_learn: Callable[[], bool],
    ) -> None:
        self.replica = replica
        self.exchanges = 0
        self.used_at = replica.clock.monotonic_time()
        self.reusable = True
        self.silent = False
        self._open = True
        self._wait_while_frozen = wait_while_frozen
        self._had_time_to_learn = had_time_to_learn

    @property
    def readable(self) -> bool:
        return self.replica.terminated

    async def exchange(
        self, work: Work, timeout: timedelta, first_byte_timeout: timedelta | None
    ) -> Result[Any, Any]:
        self.reusable = False
        wait = (
            timeout if first_byte_timeout is None else min(timeout, first_byte_timeout)
        )
        served = await self.replica.clock.with_timeout(wait, self._serve(work))
        await self._wait_while_frozen()
        match served:
            case Result(tag="ok", ok=result):
                self.exchanges += 1
                self.used_at = self.replica.clock.monotonic_time()
                match result:
                    case Result(tag="ok") | Result(error=RefusedByTarget()):
                        self.reusable = True
                return result
            case _:
                return Error(NoFirstByte(NoReply(self.replica.announcement.target)))

    async def close(self) -> None:
        if self._open:
            self._open = False
            self.replica.connections -= 1

    async def _serve(self, work: Work) -> Result[Any, Any]:
        if self.silent:
            await Event().wait()
        return await self.replica.serve(work, self._had_time_to_learn())


class FakeDialer:
    """Dialer that connects to fake replicas by the name of the target."""

    def __init__(
        self,
        replicas: dict[str, FakeReplica],
        wait_while_frozen: Callable[[], Awaitable[None]] = never_frozen,
        had_time_to_learn: Callable[[], bool] = lambda: True,
    ) -> None:
        self.replicas = replicas
        self.connections: list[FakeConnection] = []
        self._wait_while_frozen = wait_while_frozen
        self._had_time_to_learn = had_time_to_learn

    async def open(
        self, announcement: Announcement, timeout: timedelta
    ) -> Result[FakeConnection, ConnectFailed]:
        replica = self.replicas[announcement.target]
        if replica.announcement.incarnation != announcement.incarnation:
            return Error(ConnectFailed(announcement.target))
        replica.connect()
        connection = FakeConnection(
            replica, self._wait_while_frozen, self._had_time_to_learn
        )
        cost = announcement.connect_cost
        try:
            await sleep(min(cost, timeout).total_seconds())
            await self._wait_while_frozen()
        except BaseException:
            await connection.close()
            raise
        if timeout < cost:
            await connection.close()
            return Error(ConnectFailed(announcement.target))
        self.connections.append(connection)
        return Ok(connection)
