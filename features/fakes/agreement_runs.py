"""Randomised runs of the replicated log, each reproducible from its seed."""

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
    """How a run is disturbed.

    Parameters
    ----------
    faults
        Names of the faults to choose from, repeated for a higher share.
    seconds
        Virtual time until all faults end.
    pause
        Longest virtual time between two faults, in seconds.
    voters, learners
        How many instances to choose from.
    """

    faults: tuple[str, ...]
    seconds: float = 30.0
    pause: float = 1.5
    voters: tuple[int, ...] = (3, 3, 5)
    learners: tuple[int, ...] = (0, 1, 2)


EVERYTHING = Plan(
    ("crash", "crash_at_sync", "crash_at_sync", "freeze", "cut", "cut", "cut_one_way")
    + ("cut_at_append", "split", "damage")
    + ("heal", "heal", "noise", "lose_disk", "hand_over", "join", "add", "remove")
)


class RunReport(NamedTuple):
    """What a run did and found."""

    seed: int
    problems: tuple[str, ...]
    counts: dict[str, int]


def run_seed(
    seed: int, plan: Plan = EVERYTHING, config: ClusterConfig = ClusterConfig()
) -> RunReport:
    """Run a cluster in virtual time and compare it with a single copy."""
    run = _Run(seed, plan, config)
    run_in_virtual_time(run.all)
    cluster = run.cluster
    counts = dict(cluster.counts) | {
        "accepted": len(cluster.model.accepted),
        "terms": cluster.model.terms,
        "entries": cluster.model.highest,
    }
    return RunReport(seed, cluster.find_problems(), counts)


def run_gateway_cluster(seed: int, start: timedelta | None = None) -> RunReport:
    """Run a cluster whose leader keeps three voters by itself.

    Parameters
    ----------
    start
        How long a process takes until it opens its log.
    """
    small = ClusterConfig().settings
    settings = agreement_settings(tolerated_failures=1)._replace(
        snapshot_every=small.snapshot_every,
        batch_bytes=small.batch_bytes,
        chunk_bytes=small.chunk_bytes,
        retention=small.retention,
    )
    plan = EVERYTHING._replace(voters=(3,), learners=(1, 2))
    return run_seed(seed, plan, ClusterConfig(settings=settings, start=start))


def time_to_leader(seed: int, start: timedelta) -> timedelta:
    """Return the time from a common begin of three voters until one leads.

    Parameters
    ----------
    start
        How long a process takes until it opens its log.
    """
    config = ClusterConfig(
        settings=agreement_settings(tolerated_failures=1), start=start
    )
    cluster = Cluster(Random(seed), config)
    taken: list[float] = []

    async def restart() -> None:
        while cluster.leader() is None:
            await sleep(0.01)
        for instance in cluster.instances.values():
            await instance.stop()
        began_at = time.monotonic()
        for instance in cluster.instances.values():
            await instance.start()
        while cluster.leader() is None:
            await sleep(0.01)
        taken.append(time.monotonic() - began_at)

    async def run() -> None:
        await cluster.run(3, 0, restart)

    run_in_virtual_time(run)
    return timedelta(seconds=taken[0])


class _Run:
    def __init__(self, seed: int, plan: Plan, config: ClusterConfig) -> None:
        self._random = Random(seed)
        self._plan = plan
        self.cluster = Cluster(Random(seed + 1_000_000), config)
        self._proposals: list[Proposal] = []
        self._over = False

    async def all(self) -> None:
        voters = self._random.choice(self._plan.voters)
        learners = self._random.choice(self._plan.learners)
        clients = [self._propose] * 3
        await self.cluster.run(voters, learners, self._disturb, *clients)

    async def _propose(self) -> None:
        """Propose new changes and resend old ones, through any instance."""
        while not self._over:
            await sleep(self._random.uniform(0.01, 0.4))
            instance = self._random.choice(list(self.cluster.instances.values()))
            agreement = instance.running
            if agreement is None:
                continue
            proposal = self._next_proposal(instance)
            result = await agreement.propose(proposal)
            self.cluster.model.outcome(proposal, result)
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

    async def _disturb(self) -> None:
        cluster, random = self.cluster, self._random
        left = self._plan.seconds
        while left > 0 and not cluster.find_problems():
            pause = random.uniform(0.05, self._plan.pause)
            left -= pause
            await sleep(pause)
            fault = random.choice(self._plan.faults)
            cluster.counts[f"fault {fault}"] += 1
            await self._do(fault, random.choice(list(cluster.instances.values())))
            for instance in cluster.instances.values():
                if instance.session is None and random.random() < 0.5:
                    await instance.start()
        await cluster.settle()
        self._over = True

    async def _do(self, fault: str, victim: Instance) -> None:
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
            case "crash_at_sync" if victim.session is not None:
                victim.session.syncs_to_crash = random.randint(1, 20)
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
                    network.appends_to_cut[name] = random.randint(1, 8)
            case "cut_one_way":
                network.cuts.add((victim.name, random.choice(others)))
            case "heal":
                network.cuts.clear()
                network.appends_to_cut.clear()
            case "one_link":
                network.cuts.clear()
                linked = victim.name, random.choice(others)
                for name in cluster.instances:
                    network.appends_to_cut[name] = random.randint(1, 5)
                    if name not in linked:
                        network.isolate_instance(name, cluster.instances)
            case "noise":
                network.loss = random.choice((0.0, 0.02, 0.2))
                network.doubling = random.choice((0.0, 0.1))
                network.longest_delay = random.choice((0.003, 0.03, 0.3))
            case "lose_disk" if victim.durable and cluster.spare_disk(victim.name):
                cluster.counts["lost disks"] += 1
                await victim.stop()
                victim.store.lose()
                victim.damaged = victim.damage_found = False
            case "damage" if victim.durable and cluster.spare_disk(victim.name):
                await victim.stop()
                if not victim.damaged:
                    victim.damaged = victim.store.damage()
            case _:
                # A call never returns if the instance crashes during it.
                await ignore_after(20, self._operate, fault, leader)

    async def _freeze(self, victim: Instance) -> None:
        victim.host.frozen_until = time.monotonic() + self._random.uniform(0.2, 5)

    async def _operate(self, fault: str, leader: Instance | None) -> None:
        """Do what an operator does."""
        cluster, random = self.cluster, self._random
        match fault:
            case "join" if len(cluster.instances) < 7:
                name = f"j{len(cluster.instances)}"
                await cluster.join(name, durable=random.random() < 0.7)
            case "hand_over" if leader is not None and leader.running:
                done = await leader.running.transfer_leadership()
                cluster.counts[f"hand over {done.tag}"] += 1
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
