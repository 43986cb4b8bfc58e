"""Fakes around the effect runner.

The ledger is behind a network that loses messages; the targets fail at random and
record their executions.
"""

from datetime import datetime, timedelta, timezone
from random import Random
from typing import NamedTuple

from curio import TaskGroup, sleep, spawn
from expression import Error, Ok, Result

from lovagetray import (
    Address,
    Announcement,
    Clock,
    Failure,
    SystemClock,
    proves_not_run,
)
from lovagetray._errors import (
    ConnectFailed,
    ConnectionLost,
    NoReply,
    RefusedByTarget,
    TimedOut,
)
from lovagetray._types import Load, TargetState
from lovagetray._violations import Violations
from lovagetray.commands.effects import EffectAnswer, EffectRequest, EffectRunner
from lovagetray.state import (
    EffectDone,
    EffectKey,
    EffectOutcome,
    Ledger,
    LedgerCommand,
    LedgerReply,
    ReleaseEffect,
    TargetDirectory,
)

EPOCH = datetime(2026, 1, 1, tzinfo=timezone.utc)
SERVICE = "venture/holds"
RETENTION = timedelta(hours=24)


class FakeLedgerProposer:
    """Proposer to one ledger for all instances, over a network that loses messages."""

    def __init__(self, ledger: Ledger, random: Random, loss_rate: float) -> None:
        self._ledger = ledger
        self._random = random
        self._loss_rate = loss_rate
        self._clock = SystemClock()
        self._started_at = self._clock.monotonic_time()

    def now(self) -> datetime:
        """Return the wall-clock time of the log."""
        return EPOCH + (self._clock.monotonic_time() - self._started_at)

    async def propose(
        self, command: LedgerCommand, timeout: timedelta
    ) -> Result[LedgerReply, Failure]:
        await sleep(self._random.uniform(0, 0.02))
        if self._random.random() < self._loss_rate:
            await self._clock.sleep(timeout)
            return Error(TimedOut(timeout))
        reply = self._ledger.apply(self.now(), command)
        await sleep(self._random.uniform(0, 0.02))
        if self._random.random() < self._loss_rate:
            await self._clock.sleep(timeout)
            return Error(TimedOut(timeout))
        return Ok(reply)

    async def wait_for_outcome(
        self, key: EffectKey, timeout: timedelta
    ) -> EffectOutcome | None:
        end = self._clock.monotonic_time() + timeout
        while self._clock.monotonic_time() < end:
            entry = self._ledger.entry(key)
            if entry is not None and entry.outcome is not None:
                return entry.outcome
            await sleep(0.01)
        return None

    async def release_later(self, command: ReleaseEffect) -> None:
        await spawn(self._release_after_delay, command, daemon=True)

    async def _release_after_delay(self, command: ReleaseEffect) -> None:
        await sleep(self._random.uniform(0, 0.5))
        self._ledger.apply(self.now(), command)


class Execution(NamedTuple):
    """Execution of a request at a target."""

    key: str
    request_id: str


class FakeTargets:
    """Targets that execute requests, refuse them, or fail before or after execution."""

    def __init__(self, random: Random, fault_rate: float) -> None:
        self._random = random
        self._fault_rate = fault_rate
        self.executions: list[Execution] = []

    async def execute(
        self, request: EffectRequest, target: str, timeout: timedelta
    ) -> Result[str, Failure]:
        await sleep(self._random.uniform(0, 0.02))
        if self._random.random() < self._fault_rate:
            return await self._fail(request, target, timeout)
        return Ok(self._record_execution(request))

    def _record_execution(self, request: EffectRequest) -> str:
        self.executions.append(Execution(request.key, request.request_id))
        return f"run by {request.request_id}"

    async def _fail(
        self, request: EffectRequest, target: str, timeout: timedelta
    ) -> Result[str, Failure]:
        match self._random.randrange(5):
            case 0:
                return Error(ConnectFailed(target))
            case 1:
                return Error(RefusedByTarget(target, "shed"))
            case 2:
                self._record_execution(request)
                return Error(ConnectionLost(target))
            case 3:
                return Error(ConnectionLost(target))
            case _:
                await sleep(timeout.total_seconds())
                self._record_execution(request)
                return Error(NoReply(target))


class Reply(NamedTuple):
    """Result that a caller received for one request."""

    request: EffectRequest
    result: Result[EffectAnswer, Failure]


class EffectSimulation:
    """Simulation of callers that send the same request through several instances."""

    def __init__(
        self,
        seed: int,
        runner: type[EffectRunner] = EffectRunner,
        ledger: type[Ledger] = Ledger,
        loss_rate: float = 0.15,
        fault_rate: float = 0.4,
    ) -> None:
        self._random = Random(seed)
        self._clock: Clock = SystemClock()
        self.violations = Violations()
        self.ledger = ledger(self.violations, RETENTION)
        self.proposer = FakeLedgerProposer(self.ledger, self._random, loss_rate)
        self.targets = FakeTargets(self._random, fault_rate)
        self.replies: list[Reply] = []
        directory = TargetDirectory(timedelta(days=1))
        for number in range(3):
            directory.accept(_announcement(number), self._clock.monotonic_time())
        self._runners = [
            runner(
                f"entry-{number}",
                directory,
                self.proposer,
                self.targets,
                self._clock,
                self.violations,
            )
            for number in range(3)
        ]

    async def run(self, keys: int = 20) -> None:
        """Send a request for each of `keys` keys, up to 4 times each, and await all."""
        async with TaskGroup() as group:
            for number in range(keys):
                await group.spawn(self._send_repeatedly, f"key-{number}")
        await sleep(5)

    def problems(self) -> list[str]:
        """Return the violations, repeated executions and wrong replies of the run."""
        found = [repr(violation) for violation in self.violations.found]
        executed = [execution.key for execution in self.targets.executions]
        found += [
            f"{key} ran twice" for key in set(executed) if executed.count(key) > 1
        ]
        executed_requests = {
            execution.request_id for execution in self.targets.executions
        }
        for reply in self.replies:
            found += self._check_reply(reply, executed_requests)
        return found

    def _check_reply(self, reply: Reply, executed: set[str]) -> list[str]:
        request = reply.request
        match reply.result:
            case Result(tag="ok", ok=EffectAnswer(outcome=EffectDone(body=body))):
                runs = [
                    execution
                    for execution in self.targets.executions
                    if execution.key == request.key
                ]
                if [f"run by {execution.request_id}" for execution in runs] != [body]:
                    return [f"{request.key}: answered {body!r}, runs {runs}"]
            case Result(tag="error", error=failure) if proves_not_run(failure):
                if request.request_id in executed:
                    return [f"{request.request_id}: reported as not run, but was run"]
        return []

    async def _send_repeatedly(self, key: str) -> None:
        issued_at = self.proposer.now()
        sends = self._random.randint(1, 4)
        async with TaskGroup() as group:
            for number in range(sends):
                await sleep(self._random.uniform(0, 0.3))
                request = EffectRequest(
                    request_id=f"{key}/{number}",
                    service=SERVICE,
                    member="athens",
                    key=key,
                    issued_at=issued_at,
                    body="table 4",
                    time_left=timedelta(seconds=1),
                )
                task = await group.spawn(self._send, request)
                if self._random.random() < 0.2:
                    await sleep(self._random.uniform(0, 0.1))
                    await task.cancel(blocking=False)

    async def _send(self, request: EffectRequest) -> None:
        runner = self._random.choice(self._runners)
        result = await runner.run(request)
        self.replies.append(Reply(request, result))


def _announcement(number: int) -> Announcement:
    return Announcement(
        service=SERVICE,
        target=f"holds-{number}",
        incarnation=1,
        sequence=1,
        data_centre="athens-1",
        address=Address("127.0.0.1", 1),
        state=TargetState.READY,
        holdings=(),
        slots=4,
        connections=45,
        connect_cost=timedelta(milliseconds=1),
        load=Load(0, 0),
    )
