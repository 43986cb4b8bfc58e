"""A seeded run of several instances that share replicas, with faults."""

from collections import Counter
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple

from curio import TaskGroup, sleep
from fakes.instances import LEADER, FakeInstance, FakeNetwork
from fakes.replica import SNAPSHOT, FakeReplica, make_announcement
from fakes.virtual_time import run_in_virtual_time

from lovagetray._types import ExecuteRequest, SubRequest, TargetState
from lovagetray.commands.membership import OwnershipTransfer
from lovagetray.targets import ExecuteOutcome, SubOutcome

_SHAPES = ((2, 25), (5, 40), (1, 10), (4, 45))
# The longer ones fill all slots at the rate of the workload.
_MEAN_WORK = (0.01, 0.03, 0.1)
_KINDS = (
    "freeze crash stop one_way both_ways isolate freeze_target "
    "restart_target drain_target shed cross silence"
)


class RunReport(NamedTuple):
    """What a run counted; `problems` is empty if every rule held."""

    seed: int
    problems: tuple[str, ...]
    counts: dict[str, int]


class _Asked:
    """One request and its outcomes; it is the inbox of the request."""

    def __init__(self, instance: FakeInstance, budget: timedelta) -> None:
        self.instance = instance
        self.until = instance.clock.monotonic_time() + budget
        self.cancelled = False
        self.outcomes: list[SubOutcome | ExecuteOutcome] = []
        self.after_cancel = 0

    async def put(self, outcome: SubOutcome | ExecuteOutcome) -> None:
        self.after_cancel += self.cancelled
        self.outcomes.append(outcome)


class OwnershipRun:
    """Runs a workload and random faults, then checks the rules."""

    def __init__(
        self,
        seed: int,
        instances: int = 4,
        replicas: int = 4,
        fault_time: float = 60,
        fault_kinds: str = _KINDS,
        transfer: type[OwnershipTransfer] = OwnershipTransfer,
    ) -> None:
        self._seed = seed
        self._fault_time = fault_time
        self._fault_kinds = fault_kinds.split()
        self._transfer = transfer
        self._random = Random(seed)
        self._names = [f"entry-{number}" for number in range(instances)]
        self._network = FakeNetwork()
        self._replicas: dict[str, FakeReplica] = {}
        for number in range(replicas):
            slots, connections = _SHAPES[number % len(_SHAPES)]
            one = make_announcement(f"portal-{number}", slots, connections)
            self._replicas[one.target] = FakeReplica(one, self._random)
            self._replicas[one.target].mean_work_time = self._random.choice(_MEAN_WORK)
        self._runs = Counter[str]()
        self._asked: dict[str, _Asked] = {}
        self._counts = Counter[str]()
        self._problems: list[str] = []
        self._ended: list[FakeInstance] = []

    async def run(self) -> RunReport:
        """Return what the run found after a time with faults and 11 s without."""
        async with TaskGroup(wait=None) as group:
            self._group = group
            for name in self._names:
                await self._start(name)
            for replica in self._replicas.values():
                await group.spawn(self._announce, replica)
            await group.spawn(self._network.publish_live_instances)
            await sleep(4)
            end = self._network._clock.monotonic_time() + timedelta(
                seconds=self._fault_time
            )
            while self._network._clock.monotonic_time() < end:
                await sleep(self._random.uniform(0.2, 4))
                await group.spawn(self._fault, daemon=True)
            await self._mend()
            await sleep(9)
            served = {name: one.served for name, one in self._replicas.items()}
            await sleep(2)
            for name, replica in self._replicas.items():
                if replica.served == served[name]:
                    self._problems.append(f"{name} is not served 9 s after the faults")
            self._check()
        return RunReport(self._seed, tuple(self._problems), dict(self._counts))

    async def _start(self, name: str) -> None:
        self._runs[name] += 1
        run = self._runs[name]
        instance = FakeInstance(
            name, run, self._names, self._network, self._replicas, self._transfer
        )
        self._network.instances[name] = instance
        await self._group.spawn(instance.run, daemon=True)
        await self._group.spawn(self._ask, instance, daemon=True)

    async def _announce(self, replica: FakeReplica) -> None:
        """Post once a second, twice while leaving, and rotate over the instances."""
        turn = self._random.randrange(len(self._names))
        while not replica.gone:
            one = replica.announcement
            leaving = one.state is TargetState.LEAVING
            for _ in range(2 if leaving else 1):
                turn += 1
                one = one._replace(sequence=one.sequence + 1)
                replica.announcement = one
                name = self._names[turn % len(self._names)]
                await self._network.instances[name].announce(one)
            await sleep(1)

    async def _ask(self, instance: FakeInstance) -> None:
        """Send requests to random replicas and cancel some."""
        random = self._random
        while instance.alive:
            await instance.clock.sleep(timedelta(seconds=random.expovariate(60)))
            if not instance.alive:
                return
            budget = timedelta(seconds=random.choice((0.02, 0.1, 0.33, 1.0)))
            request_id = f"{instance.name}-{len(self._asked)}"
            asked = self._asked[request_id] = _Asked(instance, budget)
            target = random.choice(list(self._replicas))
            if random.random() < 0.1:
                execute = ExecuteRequest(
                    request_id, "venture/portal", target, request_id, b"{}", budget
                )
                await instance.targets.router.execute(execute, asked)
                continue
            search = SubRequest(
                request_id,
                "query",
                "venture/portal",
                target,
                0,
                SNAPSHOT,
                budget,
                "bed",
                5,
            )
            await instance.targets.router.send([search], asked)
            if random.random() < 0.1:
                await instance.clock.sleep(timedelta(milliseconds=random.random() * 20))
                if not asked.outcomes:
                    asked.cancelled = True
                    await instance.targets.router.cancel([request_id])

    async def _fault(self) -> None:
        """Cause one fault for some seconds."""
        random = self._random
        kind = random.choice(self._fault_kinds)
        self._counts[kind] += 1
        instance = self._network.instances[random.choice(self._names)]
        replica = self._replicas[random.choice(list(self._replicas))]
        lasts = random.uniform(0.3, 6)
        match kind:
            case "freeze":
                instance.freeze()
                await sleep(lasts)
                await instance.thaw()
            case "crash" | "stop" if instance.alive:
                await (instance.crash() if kind == "crash" else instance.stop())
                await sleep(lasts)
                if not self._network.instances[instance.name].alive:
                    self._ended.append(instance)
                    await self._start(instance.name)
            case "one_way" | "both_ways" | "isolate":
                await self._cut(kind, instance.name, lasts)
            case "restart_target" | "drain_target":
                await self._restart(replica, kind == "drain_target")
            case "freeze_target" | "shed" | "cross":
                flag = {"shed": "shedding", "cross": "crossing"}.get(kind, "frozen")
                setattr(replica, flag, True)
                await sleep(lasts)
                setattr(replica, flag, False)
            case "silence":
                for connection in instance._dialer.connections[-20:]:
                    connection.silent = random.random() < 0.5

    async def _cut(self, kind: str, name: str, lasts: float) -> None:
        others = [other for other in [*self._names, LEADER] if other != name]
        if kind != "isolate":
            others = [self._random.choice(others)]
        cuts = {(name, other) for other in others}
        if kind != "one_way":
            cuts |= {(other, name) for other in others}
        elif self._random.random() < 0.5:
            cuts = {(other, sender) for sender, other in cuts}
        self._network.cuts |= cuts
        await sleep(lasts)
        self._network.cuts -= cuts

    async def _restart(self, old: FakeReplica, drains: bool) -> None:
        """Replace a replica by a new incarnation, which starts cold."""
        if old.gone or old.leaving_at is not None:
            return
        if drains:
            old.leaving_at = old.clock.monotonic_time()
            old.announcement = old.announcement._replace(state=TargetState.LEAVING)
            await sleep(5)
        old.gone = True
        one = old.announcement
        one = one._replace(
            incarnation=one.incarnation + 1, sequence=0, state=TargetState.READY
        )
        new = FakeReplica(one, self._random)
        new.mean_work_time = old.mean_work_time
        new.problems = old.problems
        new.executed = old.executed
        self._replicas[one.target] = new
        await self._group.spawn(self._announce, new, daemon=True)

    async def _mend(self) -> None:
        self._network.cuts.clear()
        for replica in self._replicas.values():
            replica.frozen = replica.shedding = replica.crossing = False
        for instance in list(self._network.instances.values()):
            await instance.thaw()

    def _check(self) -> None:
        now = self._network._clock.monotonic_time()
        for request_id, asked in self._asked.items():
            found = len(asked.outcomes)
            due = now - asked.until > timedelta(seconds=4) and asked.instance.alive
            if found > 1 or asked.after_cancel:
                self._problems.append(f"{request_id} has {found} outcomes")
            if due and not asked.cancelled and not found:
                self._problems.append(f"{request_id} has no outcome")
            self._count(asked)
        for replica in self._replicas.values():
            self._problems += replica.problems
        for instance in [*self._ended, *self._network.instances.values()]:
            self._problems += [repr(one) for one in instance.violations.found]

    def _count(self, asked: _Asked) -> None:
        self._counts["requests"] += 1
        self._counts["cancelled"] += asked.cancelled
        for outcome in asked.outcomes[:1]:
            ok = outcome.result.is_ok()
            self._counts["answered" if ok else outcome.result.error.code] += 1


def run_seed(seed: int, **options: Any) -> RunReport:
    """Return the report of one seed, run in virtual time."""
    return run_in_virtual_time(OwnershipRun(seed, **options).run)
