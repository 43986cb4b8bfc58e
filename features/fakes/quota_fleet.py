"""Many instances that share the quotas of workspaces, in virtual time."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from math import ceil
from random import Random
from types import SimpleNamespace
from typing import Any, NamedTuple

from curio import sleep, spawn
from expression import Error, Ok, Result

from lovagetray import SystemClock
from lovagetray._gateway_settings import QuotaLimits
from lovagetray._peer_messages import Envelope, Heartbeat, PeerMessage, QuotaReport
from lovagetray._routing_errors import ForwardFailure, RequestNotRun
from lovagetray._routing_types import CallerRequest, Workspace
from lovagetray._types import InstanceId
from lovagetray.gateway._quotas import Quotas
from lovagetray.state import Relays
from lovagetray.wire import decode_envelope, encode_envelope

LIMITS = QuotaLimits(timedelta(seconds=5), 0.1, 20)
_QUOTA_OF_USE = 1.6
_VOTERS = 5
_DELAY_SECONDS = (0.0003, 0.003)
# The read lease and the election timeouts of a gateway.
_LEASE_SECONDS = 0.225
_ELECTION_SECONDS = (0.25, 0.5)
_TICK_SECONDS = 0.01
_CHANGE_SECONDS = 20
CUT_OFF = "i5"
TARGET_LATENCY = timedelta(milliseconds=140)
_ROUTE: Any = SimpleNamespace(
    target_latency=TARGET_LATENCY, time_limit=timedelta(seconds=1)
)


def zipf_workspaces(
    count: int, rate: float = 60.0
) -> dict[str, tuple[Workspace, float]]:
    """Return workspaces and their usual use in requests per second, by name.

    Parameters
    ----------
    rate
        Usual use of all workspaces together, in requests per second.
    """
    weights = [1 / (rank + 1) ** 1.2 for rank in range(count)]
    uses = [rate * weight / sum(weights) for weight in weights]
    return {
        f"w{rank}": (Workspace(f"w{rank}", (), _QUOTA_OF_USE * use, 5.0), use)
        for rank, use in enumerate(uses)
    }


@dataclass
class QuotaFleet:
    """A fleet whose first instances are listed and whose first five are voters.

    Parameters
    ----------
    factors
        Load of workspaces as a factor on their usual use. The others stay below their
        quota at any time.
    not_run
        Share of the admitted requests that no replica accepts.
    through_relays
        Whether only voters exchange messages with the leader.
    """

    size: int
    listed: int
    seed: int
    workspaces: dict[str, tuple[Workspace, float]]
    factors: dict[str, float] = field(default_factory=dict)
    loss: float = 0.0
    not_run: float = 0.0
    through_relays: bool = False
    earlier_version: bool = False
    voters_lack_document: bool = False
    # Parts of the debt limits that instances asked for in their first window.
    early_sharers: set[int] = field(default_factory=set)
    # Times and instances of the requests that were run, by workspace.
    runs: dict[str, list[tuple[float, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Durations, workspaces and results of the decisions on requests.
    outcomes: list[tuple[float, str, Any]] = field(default_factory=list)
    sent: Counter[str] = field(default_factory=Counter)
    calls: int = 0
    term: int = 0
    changed_at: float = 0.0
    cut_at: float = 0.0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.names = [f"i{number}" for number in range(self.size)]
        self.voters = self.names[:_VOTERS]
        self.group = dict.fromkeys(self.names, 0)
        self.alive = set(self.names)
        self.leases: dict[str, tuple[int, float]] = {}
        self.instances: dict[str, _Instance] = {}
        self.set_document(self.workspaces)

    def set_document(self, workspaces: dict[str, tuple[Workspace, float]]) -> None:
        """Put quotas in force at all instances."""
        quotas = tuple(workspace for workspace, _ in workspaces.values())
        document = SimpleNamespace(workspaces=quotas)
        self.table: Any = SimpleNamespace(document=document)

    def scale_quotas(self, factor: float) -> None:
        """Change the rates and bursts of all workspaces by a factor."""
        for name, (old, use) in self.workspaces.items():
            new = old._replace(rate=old.rate * factor, burst=old.burst * factor)
            self.workspaces[name] = new, use
        self.set_document(self.workspaces)

    def reaches(self, one: str, other: str) -> bool:
        """Return whether messages pass between two instances."""
        return self.group[one] == self.group[other] and {one, other} <= self.alive

    async def start(self, name: str) -> None:
        """Start a new run of an instance."""
        self.alive.add(name)
        self.instances[name] = instance = _Instance(self, name)
        await instance.start()

    async def stop_instance(self, name: str) -> None:
        """End an instance at once."""
        self.alive.discard(name)
        self.leases.pop(name, None)
        for task in self.instances[name].tasks:
            await task.cancel()

    async def run(self, seconds: float, *faults: Callable[..., Any]) -> None:
        """Let all instances serve callers, beside the faults."""
        for name in self.names:
            await self.start(name)
        tasks = [await spawn(self._elect)]
        await sleep(1)
        tasks += [await spawn(fault, self) for fault in faults]
        await self._serve_callers(seconds)
        await sleep(1)
        for task in tasks:
            await task.cancel()
        for instance in self.instances.values():
            for task in instance.tasks:
                await task.cancel()

    def leader(self) -> str | None:
        """Return the leader of the newest term whose lease holds, if any."""
        held = [(lease, name) for name, lease in self.leases.items()]
        return max(held)[1] if held else None

    async def _elect(self) -> None:
        """Renew leases, and elect a leader once a majority has heard none."""
        elect_at = now_seconds()
        while True:
            now = now_seconds()
            for name, (term, _) in list(self.leases.items()):
                if not self._has_majority(name):
                    continue
                if term == self.term:
                    self.leases[name] = term, now + _LEASE_SECONDS
                    elect_at = now + self.random.uniform(*_ELECTION_SECONDS)
                else:
                    del self.leases[name]
            able = list(filter(self._has_majority, self.voters))
            if able and now >= elect_at:
                self.term += 1
                self.leases[self.random.choice(able)] = self.term, now + _LEASE_SECONDS
            for instance in self.instances.values():
                instance.follow_leader()
            await sleep(_TICK_SECONDS)

    def _has_majority(self, name: str) -> bool:
        reached = sum(self.reaches(name, voter) for voter in self.voters)
        return 2 * reached > len(self.voters)

    async def _serve_callers(self, seconds: float) -> None:
        credit = dict.fromkeys(self.workspaces, (0.0, now_seconds()))
        end = now_seconds() + seconds
        while now_seconds() < end:
            names, weights = list(self.workspaces), [
                use * self.factors.get(name, 1.0)
                for name, (_, use) in self.workspaces.items()
            ]
            await sleep(self.random.expovariate(sum(weights)))
            [name] = self.random.choices(names, weights)
            alive = [name for name in self.names[: self.listed] if name in self.alive]
            if name not in self.factors and not self._within_quota(name, credit):
                continue
            if alive:
                await spawn(self._call, self.random.choice(alive), name, daemon=True)

    def _within_quota(self, name: str, credit: dict[str, tuple[float, float]]) -> bool:
        quota, now = self.workspaces[name][0], now_seconds()
        level, at = credit[name]
        level = min(quota.burst, level + quota.rate * (now - at))
        credit[name] = level - (level >= 1), now
        return level >= 1

    async def _call(self, instance: str, workspace: str) -> None:
        quotas = self.instances[instance].quotas
        request: Any = _Request(workspace)
        self.calls += 1
        at = now_seconds()
        admitted = await quotas.admit(request, _ROUTE)
        self.outcomes.append((now_seconds() - at, workspace, admitted))
        match admitted:
            case Result(tag="ok", ok=admission):
                ran_at, result = now_seconds(), self._run_request()
                if result.is_ok():
                    self.runs[workspace].append((ran_at, instance))
                await sleep(0.02)
                await quotas.settle(admission, result)

    def _run_request(self) -> Result[None, ForwardFailure]:
        if self.random.random() < self.not_run:
            return Error(RequestNotRun("no replica", timedelta(0)))
        return Ok(None)

    def violations(self, tolerance_share: float) -> list[str]:
        """Return the windows since the last change with too many requests run."""
        window = LIMITS.window.total_seconds()
        problems = []
        for name, (quota, _) in self.workspaces.items():
            bound = quota.rate * window + quota.burst
            bound += tolerance_share * (LIMITS.overshoot * bound + LIMITS.slack)
            times = sorted(at for at, _ in self.runs[name] if at >= self.changed_at)
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - window:
                    first += 1
                if last - first + 1 > bound:
                    problems.append(f"{name}: {last - first + 1} > {bound:.1f}")
                    break
        return problems


class _Request(NamedTuple):
    """The parts of a caller's request that quotas depend on."""

    workspace: str | None

    timeout_for = CallerRequest.timeout_for
    time_left = timedelta(seconds=1)


class _Instance:
    """One run of an instance: the unchanged quotas between a fake log and network."""

    leader: str | None = None
    version = 1

    def __init__(self, fleet: QuotaFleet, name: str) -> None:
        self.name = name
        self._fleet = fleet
        self._started_at = now_seconds()
        self._id = InstanceId(name, f"{fleet.random.getrandbits(64):x}")
        relays = Relays(name)
        relays.update(fleet.voters if fleet.through_relays else fleet.names)
        if not relays.is_relay:
            relays.choose(fleet.random.choice(fleet.voters))
        self.quotas = Quotas(
            self._id, LIMITS, self, self, relays, self, SystemClock()  # type: ignore
        )
        self.quotas.attach(self)
        self._relays = relays
        self.tasks: list[Any] = []

    async def start(self) -> None:
        for work in self.quotas.tasks().values():
            self.tasks.append(await spawn(work))

    def follow_leader(self) -> None:
        heard = [
            (lease, name)
            for name, lease in self._fleet.leases.items()
            if self._fleet.reaches(self.name, name)
        ]
        self.leader = max(heard)[1] if heard else self.leader
        if self.leader is not None:
            heartbeat = Heartbeat(None, None, not self._fleet.earlier_version)
            self.quotas.note_version(self.leader, heartbeat)

    @property
    def table(self) -> Any:
        hidden = self._fleet.voters_lack_document and self.name in self._fleet.voters
        return None if hidden else self._fleet.table

    @property
    def term(self) -> int:
        return self._fleet.leases[self.name][0]

    def serves_linearizable_reads(self) -> bool:
        lease = self._fleet.leases.get(self.name)
        return lease is not None and now_seconds() < lease[1]

    @property
    def is_listed(self) -> bool:
        return self.name in self._fleet.names[: self._fleet.listed]

    def budget_sharers(self) -> int:
        """Return the sharers that this instance sees, as `Listing` does."""
        listed = self._fleet.names[: self._fleet.listed]
        seen = sum(self._fleet.reaches(self.name, name) for name in listed)
        return ceil(
            max(1, seen) / (0.9 if self._fleet.listed < self._fleet.size else 1)
        )

    async def send(self, name: str, message: PeerMessage) -> bool:
        """Deliver a message after a random delay, unless it is lost."""
        fleet = self._fleet
        if self._relays.chosen not in (None, name):
            return False
        fleet.sent[type(message).__name__] += 1
        match message:
            case QuotaReport(relayed=False, sharers=sharers):
                if now_seconds() < self._started_at + LIMITS.window.total_seconds():
                    fleet.early_sharers.add(sharers)
        if fleet.reaches(self.name, name) and fleet.random.random() >= fleet.loss:
            frames = encode_envelope(Envelope(self._id, message))
            await spawn(self._deliver, name, frames, daemon=True)
        return True

    async def _deliver(self, name: str, frames: list[bytes]) -> None:
        await sleep(self._fleet.random.uniform(*_DELAY_SECONDS))
        if self._fleet.reaches(self.name, name):
            message: Any = decode_envelope(frames).ok.message
            await self._fleet.instances[name].quotas.receive(self.name, message)


def now_seconds() -> float:
    """Return the virtual time in seconds."""
    return SystemClock().monotonic_time().total_seconds()


async def lose_leaders(fleet: QuotaFleet) -> None:
    """End the leader every 6 s; it starts again 1 s later."""
    while True:
        await sleep(6)
        leader = fleet.leader()
        if leader is not None:
            await fleet.stop_instance(leader)
            await sleep(1)
            await fleet.start(leader)


async def isolate(fleet: QuotaFleet) -> None:
    """Cut off two listed instances, each by itself, for 8 s at a time."""
    while True:
        await sleep(3)
        victims = fleet.random.sample(fleet.names[: fleet.listed], 2)
        for number, name in enumerate(victims):
            fleet.group[name] = number + 1
        await sleep(8)
        fleet.group = dict.fromkeys(fleet.names, 0)


async def cut_off_leader(fleet: QuotaFleet) -> None:
    """Split the fleet; the leader is on the side without a majority."""
    while True:
        await sleep(5)
        leader = fleet.leader()
        if leader is None:
            continue
        other = [name for name in fleet.names[:_VOTERS] if name != leader]
        minority = {leader, fleet.random.choice(other)}
        minority.update(fleet.names[_VOTERS::2])
        fleet.group = {name: int(name in minority) for name in fleet.names}
        await sleep(7)
        fleet.group = dict.fromkeys(fleet.names, 0)


async def restart_listed(fleet: QuotaFleet) -> None:
    """Restart the listed instances in turn, one each second."""
    while True:
        for name in fleet.names[: fleet.listed]:
            await sleep(0.7)
            await fleet.stop_instance(name)
            await sleep(0.3)
            await fleet.start(name)


async def cut_off_one(fleet: QuotaFleet) -> None:
    """Cut off a listed instance that is no voter, for good."""
    await sleep(_CHANGE_SECONDS)
    fleet.cut_at = now_seconds()
    fleet.group[CUT_OFF] = 1


async def lower_quotas(fleet: QuotaFleet) -> None:
    """Lower all quotas to a fifth."""
    await sleep(_CHANGE_SECONDS)
    fleet.scale_quotas(0.2)
    fleet.changed_at = now_seconds()


async def remove_quotas(fleet: QuotaFleet) -> None:
    """Put a document without workspaces in force for 1 s; w0 gets hot 14 s later."""
    await sleep(_CHANGE_SECONDS)
    fleet.set_document({})
    await sleep(1)
    fleet.set_document(fleet.workspaces)
    fleet.changed_at = now_seconds()
    await sleep(14)
    fleet.factors["w0"] = 5.0


FAULTS: dict[str, Callable[[QuotaFleet], Any]] = {
    "the leader is lost every 7 s": lose_leaders,
    "pairs of instances are cut off for 8 s each": isolate,
    "the leader is cut off with a minority for 7 s at a time": cut_off_leader,
    "a listed instance restarts each second": restart_listed,
}
CHANGES: dict[str, Callable[[QuotaFleet], Any]] = {
    "one listed instance is cut off after 20 s": cut_off_one,
    "the quotas are lowered after 20 s": lower_quotas,
    "the workspaces leave for 1 s after 20 s": remove_quotas,
}
