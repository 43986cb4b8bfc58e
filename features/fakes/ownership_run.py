"""Seeded run of several instances that share replicas, with random faults."""

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

# Slots and connections of the replicas.
_REPLICA_LIMITS = ((2, 25), (5, 40), (1, 10), (4, 45))
# Seconds. The longer times fill all slots at the rate of the workload.
_MEAN_WORK_TIMES = (0.01, 0.03, 0.1)
_FAULT_KINDS = (
    "freeze crash stop one_way both_ways isolate freeze_target "
    "restart_target drain_target shed cross silence"
)


class RunReport(NamedTuple):
    """Counts and problems of a run; `problems` is empty if every rule held."""

    seed: int
    problems: tuple[str, ...]
    counts: dict[str, int]


class _PendingRequest:
    """Request and its outcomes; serves as the outcome queue of the request."""

    def __init__(self, instance: FakeInstance, time_left: timedelta) -> None:
        self.instance = instance
        self.deadline = instance.clock.monotonic_time() + time_left
        self.cancelled = False
        self.outcomes: list[SubOutcome | ExecuteOutcome] = []
        self.outcomes_after_cancel = 0

    async def put(self, outcome: SubOutcome | ExecuteOutcome) -> None:
        self.outcomes_after_cancel += self.cancelled
        self.outcomes.append(outcome)


class OwnershipRun:
    """Run of a workload with random faults, followed by checks of the rules."""

    def __init__(
        self,
        seed: int,
        instances: int = 4,
        replicas: int = 4,
        fault_time: float = 60,
        fault_kinds: str = _FAULT_KINDS,
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
            slots, connections = _REPLICA_LIMITS[number % len(_REPLICA_LIMITS)]
            announcement = make_announcement(f"portal-{number}", slots, connections)
            self._replicas[announcement.target] = FakeReplica(
                announcement, self._random
            )
            self._replicas[announcement.target].mean_work_time = self._random.choice(
                _MEAN_WORK_TIMES
            )
        self._run_numbers = Counter[str]()
        self._requests: dict[str, _PendingRequest] = {}
        self._counts = Counter[str]()
        self._problems: list[str] = []
        self._ended_instances: list[FakeInstance] = []

    async def run(self) -> RunReport:
        """Return the report of a run with faults, then 11 s without."""
        async with TaskGroup(wait=None) as group:
            self._group = group
            for name in self._names:
                await self._start_instance(name)
            for replica in self._replicas.values():
                await group.spawn(self._announce, replica)
            await group.spawn(self._network.publish_live_instances)
            await sleep(4)
            end = self._network._clock.monotonic_time() + timedelta(
                seconds=self._fault_time
            )
            while self._network._clock.monotonic_time() < end:
                await sleep(self._random.uniform(0.2, 4))
                await group.spawn(self._inject_fault, daemon=True)
            await self._end_faults()
            await sleep(9)
            served = {name: replica.served for name, replica in self._replicas.items()}
            await sleep(2)
            for name, replica in self._replicas.items():
                if replica.served == served[name]:
                    self._problems.append(f"{name} is not served 9 s after the faults")
            self._check_results()
        return RunReport(self._seed, tuple(self._problems), dict(self._counts))

    async def _start_instance(self, name: str) -> None:
        self._run_numbers[name] += 1
        run = self._run_numbers[name]
        instance = FakeInstance(
            name, run, self._names, self._network, self._replicas, self._transfer
        )
        self._network.instances[name] = instance
        await self._group.spawn(instance.run, daemon=True)
        await self._group.spawn(self._send_requests, instance, daemon=True)

    async def _announce(self, replica: FakeReplica) -> None:
        """Announce a replica each second to the next instance, to two if it leaves."""
        position = self._random.randrange(len(self._names))
        while not replica.terminated:
            announcement = replica.announcement
            leaving = announcement.state is TargetState.LEAVING
            for _ in range(2 if leaving else 1):
                position += 1
                announcement = announcement._replace(sequence=announcement.sequence + 1)
                replica.announcement = announcement
                name = self._names[position % len(self._names)]
                await self._network.instances[name].announce(announcement)
            await sleep(1)

    async def _send_requests(self, instance: FakeInstance) -> None:
        """Send requests to random replicas and cancel some."""
        random = self._random
        while instance.alive:
            await instance.clock.sleep(timedelta(seconds=random.expovariate(60)))
            if not instance.alive:
                return
            time_left = timedelta(seconds=random.choice((0.02, 0.1, 0.33, 1.0)))
            request_id = f"{instance.name}-{len(self._requests)}"
            request = self._requests[request_id] = _PendingRequest(instance, time_left)
            target = random.choice(list(self._replicas))
            if random.random() < 0.1:
                execute = ExecuteRequest(
                    request_id, "venture/portal", target, request_id, b"{}", time_left
                )
                await instance.targets.router.execute(execute, request)
                continue
            search = SubRequest(
                request_id,
                "query",
                "venture/portal",
                target,
                0,
                SNAPSHOT,
                time_left,
                "bed",
                5,
            )
            await instance.targets.router.send([search], request)
            if random.random() < 0.1:
                await instance.clock.sleep(timedelta(milliseconds=random.random() * 20))
                if not request.outcomes:
                    request.cancelled = True
                    await instance.targets.router.cancel([request_id])

    async def _inject_fault(self) -> None:
        """Inject a random fault; a temporary one ends after 0.3 s to 6 s."""
        random = self._random
        kind = random.choice(self._fault_kinds)
        self._counts[kind] += 1
        instance = self._network.instances[random.choice(self._names)]
        replica = self._replicas[random.choice(list(self._replicas))]
        duration = random.uniform(0.3, 6)
        match kind:
            case "freeze":
                instance.freeze()
                await sleep(duration)
                await instance.thaw()
            case "crash" | "stop" if instance.alive:
                await (instance.crash() if kind == "crash" else instance.stop())
                await sleep(duration)
                if not self._network.instances[instance.name].alive:
                    self._ended_instances.append(instance)
                    await self._start_instance(instance.name)
            case "one_way" | "both_ways" | "isolate":
                await self._cut_links_for(kind, instance.name, duration)
            case "restart_target" | "drain_target":
                await self._restart_replica(replica, kind == "drain_target")
            case "freeze_target" | "shed" | "cross":
                flag = {"shed": "shedding", "cross": "sends_mismatched_replies"}.get(
                    kind, "frozen"
                )
                setattr(replica, flag, True)
                await sleep(duration)
                setattr(replica, flag, False)
            case "silence":
                for connection in instance._dialer.connections[-20:]:
                    connection.silent = random.random() < 0.5

    async def _cut_links_for(self, kind: str, name: str, duration: float) -> None:
        others = [other for other in [*self._names, LEADER] if other != name]
        if kind != "isolate":
            others = [self._random.choice(others)]
        links = {(name, other) for other in others}
        if kind != "one_way":
            links |= {(other, name) for other in others}
        elif self._random.random() < 0.5:
            links = {(other, sender) for sender, other in links}
        self._network.cut_links |= links
        await sleep(duration)
        self._network.cut_links -= links

    async def _restart_replica(self, old: FakeReplica, drain: bool) -> None:
        """Replace a replica by a new incarnation, which starts without connections.

        Parameters
        ----------
        drain
            Whether the old incarnation announces that it leaves, 5 s before its end.
        """
        if old.terminated or old.leaving_at is not None:
            return
        if drain:
            old.leaving_at = old.clock.monotonic_time()
            old.announcement = old.announcement._replace(state=TargetState.LEAVING)
            await sleep(5)
        old.terminated = True
        announcement = old.announcement
        announcement = announcement._replace(
            incarnation=announcement.incarnation + 1,
            sequence=0,
            state=TargetState.READY,
        )
        new = FakeReplica(announcement, self._random)
        new.mean_work_time = old.mean_work_time
        new.problems = old.problems
        new.executed = old.executed
        self._replicas[announcement.target] = new
        await self._group.spawn(self._announce, new, daemon=True)

    async def _end_faults(self) -> None:
        self._network.cut_links.clear()
        for replica in self._replicas.values():
            replica.frozen = replica.shedding = replica.sends_mismatched_replies = False
        for instance in list(self._network.instances.values()):
            await instance.thaw()

    def _check_results(self) -> None:
        now = self._network._clock.monotonic_time()
        for request_id, request in self._requests.items():
            outcome_count = len(request.outcomes)
            overdue = (
                now - request.deadline > timedelta(seconds=4) and request.instance.alive
            )
            if outcome_count > 1 or request.outcomes_after_cancel:
                self._problems.append(f"{request_id} has {outcome_count} outcomes")
            if overdue and not request.cancelled and not outcome_count:
                self._problems.append(f"{request_id} has no outcome")
            self._count_request(request)
        for replica in self._replicas.values():
            self._problems += replica.problems
        for instance in [*self._ended_instances, *self._network.instances.values()]:
            self._problems += [
                repr(violation) for violation in instance.violations.found
            ]

    def _count_request(self, request: _PendingRequest) -> None:
        self._counts["requests"] += 1
        self._counts["cancelled"] += request.cancelled
        for outcome in request.outcomes[:1]:
            ok = outcome.result.is_ok()
            self._counts["answered" if ok else outcome.result.error.code] += 1


def run_ownership_seed(seed: int, **options: Any) -> RunReport:
    """Return the report of the run with a seed, in virtual time."""
    return run_in_virtual_time(OwnershipRun(seed, **options).run)
