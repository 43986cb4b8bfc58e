"""Randomised runs of the replicated log that can be repeated from their seed."""

import time
from datetime import timedelta
from random import Random
from typing import NamedTuple

from curio import ignore_after, sleep
from expression import Result
from fakes.agreement_cluster import Cluster, ClusterConfig, Instance
from fakes.agreement_faults import HostClock
from fakes.virtual_time import run_in_virtual_time

from lovagetray._errors import Failure
from lovagetray.commands.agreement import Proposal
from lovagetray.gateway import agreement_settings


class Plan(NamedTuple):
    """Faults, duration and size of a run.

    Parameters
    ----------
    faults
        Names of the faults to choose from; a repeated name is chosen more often.
    seconds
        Virtual time until all faults end.
    max_pause
        Longest virtual time between two faults, in seconds.
    voters, learners
        Numbers of instances to choose from.
    """

    faults: tuple[str, ...]
    seconds: float = 30.0
    max_pause: float = 1.5
    voters: tuple[int, ...] = (3, 3, 5)
    learners: tuple[int, ...] = (0, 1, 2)


ALL_FAULTS = Plan(
    ("crash", "crash_at_sync", "crash_at_sync", "freeze", "cut", "cut", "cut_one_way")
    + ("cut_at_append", "split", "damage")
    + (
        "heal",
        "heal",
        "noise",
        "lose_disk",
        "transfer_leadership",
        "join",
        "add",
        "remove",
    )
)


class RunReport(NamedTuple):
    """Problems that a run found, and counts of what it did."""

    seed: int
    problems: tuple[str, ...]
    counts: dict[str, int]


def run_agreement_seed(
    seed: int, plan: Plan = ALL_FAULTS, config: ClusterConfig = ClusterConfig()
) -> RunReport:
    """Return the report of a run in virtual time.

    The instances are checked against a model that has one copy of the state.
    """
    run = AgreementRun(seed, plan, config)
    run_in_virtual_time(run.all)
    cluster = run.cluster
    counts = dict(cluster.counts) | {
        "accepted": len(cluster.model.accepted),
        "terms": cluster.model.terms,
        "entries": cluster.model.highest_index,
    }
    return RunReport(seed, cluster.find_problems(), counts)


def run_gateway_cluster(
    seed: int,
    startup_time: timedelta | None = None,
    min_compressed_bytes: int = ClusterConfig().settings.min_compressed_bytes,
    passes_on: bool = False,
) -> RunReport:
    """Return the report of a run with the gateway's settings.

    With these settings the leader keeps the number of voters at three by itself.

    Parameters
    ----------
    startup_time
        Time from the start of a process until it opens its log.
    min_compressed_bytes
        Size from which entries and snapshots are compressed. Compression changes the
        number of messages, so seeds found without it run without it.
    passes_on
        Whether followers pass on the log to learners without a disk, of which there
        are more then.
    """
    default_settings = ClusterConfig().settings
    settings = agreement_settings(tolerated_failures=1)._replace(
        entries_per_snapshot=default_settings.entries_per_snapshot,
        batch_bytes=default_settings.batch_bytes,
        chunk_bytes=default_settings.chunk_bytes,
        retention=default_settings.retention,
        min_compressed_bytes=min_compressed_bytes,
    )
    learners = (3, 4) if passes_on else (1, 2)
    plan = ALL_FAULTS._replace(voters=(3,), learners=learners)
    config = ClusterConfig(
        settings=settings, startup_time=startup_time, passes_on=passes_on
    )
    return run_agreement_seed(seed, plan, config)


def time_to_leader(seed: int, startup_time: timedelta) -> timedelta:
    """Return the time from a simultaneous start of three voters until one leads.

    Parameters
    ----------
    startup_time
        Time from the start of a process until it opens its log.
    """
    config = ClusterConfig(
        settings=agreement_settings(tolerated_failures=1), startup_time=startup_time
    )
    cluster = Cluster(Random(seed), config)
    durations: list[float] = []

    async def restart() -> None:
        while cluster.leader() is None:
            await sleep(0.01)
        for instance in cluster.instances.values():
            await instance.stop()
        started_at = time.monotonic()
        for instance in cluster.instances.values():
            await instance.start()
        while cluster.leader() is None:
            await sleep(0.01)
        durations.append(time.monotonic() - started_at)

    async def run() -> None:
        await cluster.run(3, 0, restart)

    run_in_virtual_time(run)
    return timedelta(seconds=durations[0])


class AgreementRun:
    """A run of a cluster with proposals and faults."""

    def __init__(self, seed: int, plan: Plan, config: ClusterConfig) -> None:
        self._random = Random(seed)
        self._plan = plan
        self.cluster = Cluster(Random(seed + 1_000_000), config)
        self._proposals: list[Proposal] = []
        self._ended = False

    async def all(self) -> None:
        voters = self._random.choice(self._plan.voters)
        learners = self._random.choice(self._plan.learners)
        clients = [self._propose] * 3
        await self.cluster.run(voters, learners, self._inject_faults, *clients)

    async def _propose(self) -> None:
        """Propose new changes and resend old ones through random instances."""
        while not self._ended:
            await sleep(self._random.uniform(0.01, 0.4))
            instance = self._random.choice(list(self.cluster.instances.values()))
            agreement = instance.running
            if agreement is None:
                continue
            proposal = self._next_proposal(instance)
            result = await agreement.propose(proposal)
            self.cluster.model.check_outcome(proposal, result)
            self._count(result)

    def _next_proposal(self, instance: Instance) -> Proposal:
        chance = self._random.random()
        if self._proposals and chance < 0.3:
            return self._random.choice(self._proposals[-40:])
        number = len(self._proposals)
        request_id, at = f"r{number}", HostClock(instance.host).now()
        if self._proposals and chance < 0.35:
            request_id, at, *_ = self._random.choice(self._proposals[-40:])
        proposal = Proposal(request_id, at, b"body %d" % number)
        self._proposals.append(proposal)
        return proposal

    def _count(self, result: Result[bytes, Failure]) -> None:
        match result:
            case Result(tag="ok"):
                self.cluster.counts["outcome ok"] += 1
            case Result(error=failure):
                self.cluster.counts[f"outcome {failure.code}"] += 1

    async def _inject_faults(self) -> None:
        cluster, random = self.cluster, self._random
        remaining = self._plan.seconds
        while remaining > 0 and not cluster.find_problems():
            pause = random.uniform(0.05, self._plan.max_pause)
            remaining -= pause
            await sleep(pause)
            fault = random.choice(self._plan.faults)
            cluster.counts[f"fault {fault}"] += 1
            await self._inject_fault(
                fault, random.choice(list(cluster.instances.values()))
            )
            for instance in cluster.instances.values():
                if instance.process is None and random.random() < 0.5:
                    await instance.start()
        await cluster.end_faults_and_converge()
        self._ended = True

    async def _inject_fault(self, fault: str, victim: Instance) -> None:
        cluster, network, random = self.cluster, self.cluster.network, self._random
        others = [name for name in cluster.instances if name != victim.name]
        leader = cluster.leader()
        match fault:
            case "crash":
                await victim.stop()
                if random.random() < 0.5:
                    victim.host.restart_clock()
            case "crash_leader" if leader is not None:
                await leader.stop()
            case "crash_at_sync" if victim.process is not None:
                victim.process.syncs_until_crash = random.randint(1, 20)
            case "freeze":
                await self._freeze(victim)
            case "cut":
                network.isolate_instance(victim.name, others)
            case "cut_leader" if leader is not None:
                network.isolate_instance(leader.name, cluster.instances)
            case "split" if leader is not None:
                group = {leader.name, random.choice(others)}
                for name in group:
                    network.isolate_instance(name, set(cluster.instances) - group)
            case "cut_at_append":
                for name in cluster.instances:
                    network.appends_until_cut[name] = random.randint(1, 8)
            case "cut_one_way":
                network.cut_links.add((victim.name, random.choice(others)))
            case "heal":
                network.cut_links.clear()
                network.appends_until_cut.clear()
            case "one_link":
                network.cut_links.clear()
                linked = victim.name, random.choice(others)
                for name in cluster.instances:
                    network.appends_until_cut[name] = random.randint(1, 5)
                    if name not in linked:
                        network.isolate_instance(name, cluster.instances)
            case "noise":
                network.loss = random.choice((0.0, 0.02, 0.2))
                network.duplication = random.choice((0.0, 0.1))
                network.max_delay = random.choice((0.003, 0.03, 0.3))
            case "lose_disk" if victim.durable and cluster.can_lose_disk(victim.name):
                cluster.counts["lost disks"] += 1
                await victim.stop()
                victim.disk_content.erase()
                victim.damaged = victim.damage_found = False
            case "damage" if victim.durable and cluster.can_lose_disk(victim.name):
                await victim.stop()
                if not victim.damaged:
                    victim.damaged = victim.disk_content.damage()
            case _:
                # A call does not return if the instance crashes during it.
                await ignore_after(20, self._run_operator_action, fault, leader)

    async def _freeze(self, victim: Instance) -> None:
        victim.host.frozen_until = time.monotonic() + self._random.uniform(0.2, 5)

    async def _run_operator_action(self, fault: str, leader: Instance | None) -> None:
        """Run an operator's action on the instances, the voters or the leader."""
        cluster, random = self.cluster, self._random
        match fault:
            case "join" if len(cluster.instances) < 7:
                name = f"j{len(cluster.instances)}"
                await cluster.join(name, durable=random.random() < 0.7)
            case "transfer_leadership" if leader is not None and leader.running:
                done = await leader.running.transfer_leadership()
                cluster.counts[f"transfer leadership {done.tag}"] += 1
            case "add" if leader is not None and leader.running:
                voting = leader.running.voters.names
                names = [name for name in cluster.instances if name not in voting]
                done = await leader.running.add_voter(random.choice(names or ["none"]))
                cluster.counts[f"add voter {done.tag}"] += 1
            case "remove" if leader is not None and leader.running:
                names = leader.running.voters.names
                if len(names) > 3:
                    done = await leader.running.remove_voter(random.choice(names))
                    cluster.counts[f"remove voter {done.tag}"] += 1
