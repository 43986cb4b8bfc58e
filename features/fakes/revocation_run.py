"""Runs of the replicated log with withdrawn keys, which all instances are asked for."""

import time
from datetime import datetime, timedelta
from json import dumps
from random import Random

from curio import TaskGroup, sleep
from fakes.agreement_cluster import Cluster, ClusterConfig, Instance
from fakes.agreement_faults import HostClock
from fakes.agreement_model import HashChainMachine, Model
from fakes.agreement_runs import ALL_FAULTS, AgreementRun, Plan, RunReport
from fakes.virtual_time import run_in_virtual_time
from msgspec.msgpack import decode, encode

from lovagetray._log_entries import Proposal
from lovagetray._routing_types import CallerRequest
from lovagetray.gateway import AccessControl, agreement_settings
from lovagetray.platform.formats import decode_document
from lovagetray.queries.access import access_limits
from lovagetray.state import RoutingState

_REVOCATION_LIMIT = timedelta(seconds=5)
_DOCUMENT_DELAY = timedelta(seconds=4)
# Seconds: the delay of a document on a clock that is 2% slow, and the check interval.
_MAX_UNKNOWN_TIME = 4.2
# Number of newest keys that are tried.
_TRIED_KEYS = 8


class RoutingMachine(HashChainMachine):
    """State machine with the routing document of an instance."""

    def __init__(self, model: Model) -> None:
        super().__init__(model)
        self.routing = RoutingState(decode_document)

    def apply(self, index: int, at: datetime, body: bytes) -> bytes:
        self.routing.apply(body)
        return super().apply(index, at, body)

    def snapshot(self) -> bytes:
        return encode((super().snapshot(), self.routing.snapshot()))

    def restore(self, state: bytes) -> None:
        chain, document = decode(state)
        super().restore(chain)
        self.routing.restore(document)


def revocation_config(passes_on: bool) -> ClusterConfig:
    """Return the settings of gateways with a limit for revocations."""
    small = ClusterConfig().settings
    settings = agreement_settings(1, _REVOCATION_LIMIT)._replace(
        entries_per_snapshot=small.entries_per_snapshot, chunk_bytes=small.chunk_bytes
    )
    return ClusterConfig(
        settings=settings, machine_type=RoutingMachine, passes_on=passes_on
    )


class KeyWatch:
    """The documents sent to a cluster, and a check of all that instances decide.

    Parameters
    ----------
    cluster
        Its problems are reported to the model of the cluster.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        # Each version that was proposed, with its keys and when it was acknowledged.
        self._keys: list[tuple[str, ...]] = []
        self._acknowledged_at: dict[int, float] = {}
        self._sent = 0

    async def put(self, instance: Instance, keys: tuple[str, ...]) -> None:
        """Send a document of the next version to an instance."""
        self._keys.append(keys)
        await self.resend(instance, len(self._keys) - 1)

    async def resend(self, instance: Instance, version: int) -> None:
        """Send a version, which is in force afterwards if it is the newest."""
        agreement = instance.running
        if agreement is None:
            return
        self._sent += 1
        route = {"Name": "r", "Host": "h", "PathPrefix": "/", "RouteType": "safe"}
        document = {
            "Version": version,
            "Routes": [route | {"TimeoutMs": 100, "Service": "s"}],
            "Services": [{"Name": "s"}],
            "Tenants": [{"Name": "acme", "ApiKeys": self._keys[version]}],
            # The model takes two equal bodies for a change that was applied twice.
            "Number": self._sent,
        }
        now = HostClock(instance.host).now()
        proposal = Proposal(f"document{self._sent}", now, dumps(document).encode())
        result = await agreement.propose(proposal)
        self._cluster.model.check_outcome(proposal, result)
        if result.is_ok():
            self._acknowledged_at.setdefault(version, time.monotonic())

    @property
    def newest_keys(self) -> tuple[str, ...]:
        """Keys of the newest version."""
        return self._keys[-1]

    @property
    def newest_acknowledged_at(self) -> float | None:
        """When the newest version was acknowledged, if it was."""
        return self._acknowledged_at.get(len(self._keys) - 1)

    def versions_sent(self) -> int:
        """Return the number of versions."""
        return len(self._keys)

    def ask(self, instance: Instance, key: str) -> str:
        """Return "accepted" or the code of the failure of a request with a key."""
        assert instance.agreement is not None
        clock = HostClock(instance.host)
        limits = access_limits(_REVOCATION_LIMIT, _DOCUMENT_DELAY)
        access = AccessControl(limits, instance.agreement.state_confirmed_at, clock)
        table = instance.machine.routing.table
        if table is None:
            return "not_started"
        request = CallerRequest(
            "r", b"GET", b"/", "h", (), b"", None, (b"Token " + key.encode(),)
        )
        match access.admit(table, table.document.routes[0], request):
            case CallerRequest():
                self._check_accepted(instance, key)
                return "accepted"
            case failure:
                if failure.code == "key_unknown":
                    self._check_unknown(instance, key)
                return failure.code

    def _check_accepted(self, instance: Instance, key: str) -> None:
        last = max(number for number, keys in enumerate(self._keys) if key in keys)
        limit = time.monotonic() - _REVOCATION_LIMIT.total_seconds()
        for version, at in self._acknowledged_at.items():
            if version > last and at <= limit:
                self._cluster.model.report(
                    f"{instance.name} accepts {key}, withdrawn by version {version}"
                )

    def _check_unknown(self, instance: Instance, key: str) -> None:
        at = self.newest_acknowledged_at
        if at is None or key not in self.newest_keys:
            return
        if time.monotonic() - at > _MAX_UNKNOWN_TIME:
            self._cluster.model.report(f"{instance.name} takes {key} for a wrong key")

    async def watch(self) -> None:
        """Ask every running instance for the newest keys, every 20 ms."""
        while True:
            await sleep(0.02)
            keys = list(dict.fromkeys(key for keys in self._keys for key in keys))
            for instance in self._cluster.instances.values():
                if instance.running is None:
                    continue
                for key in keys[-_TRIED_KEYS:]:
                    self._cluster.counts[f"key {self.ask(instance, key)}"] += 1


class _RevocationRun(AgreementRun):
    """Randomised run with an operator who withdraws keys and brings them back."""

    def __init__(self, seed: int, plan: Plan, config: ClusterConfig) -> None:
        super().__init__(seed, plan, config)
        self.watch = KeyWatch(self.cluster)

    async def all(self) -> None:
        async with TaskGroup(wait=any) as group:
            await group.spawn(self.watch.watch)
            await group.spawn(self._run)
        # Raises the exception of the task that ended first, if any.
        _ = group.result

    async def _run(self) -> None:
        voters = self._random.choice(self._plan.voters)
        learners = self._random.choice(self._plan.learners)
        await self.cluster.run(
            voters, learners, self._inject_faults, self._operate, self._propose
        )

    async def _operate(self) -> None:
        random = self._random
        while not self._ended:
            await sleep(random.choice((random.uniform(0.1, 1), random.uniform(4, 8))))
            instance = random.choice(list(self.cluster.instances.values()))
            count = self.watch.versions_sent()
            if count > 1 and random.random() < 0.3:
                await self.watch.resend(instance, random.randrange(count))
                continue
            keys = [f"key-{count}"]
            if count and random.random() < 0.3:
                keys.append(f"key-{random.randrange(count)}")
            await self.watch.put(instance, tuple(keys))
        await self._check_end()

    async def _check_end(self) -> None:
        """Check that all instances serve the newest key once the faults have ended."""
        leader = self.cluster.leader()
        assert leader is not None
        await self.watch.put(leader, ("last-key",))
        await sleep(_DOCUMENT_DELAY.total_seconds())
        for instance in self.cluster.instances.values():
            answer = self.watch.ask(instance, "last-key")
            if answer != "accepted":
                self.cluster.model.report(f"{instance.name} ends with {answer}")


def run_revocations(seed: int, passes_on: bool) -> RunReport:
    """Return the report of a randomised run with withdrawn keys."""
    plan = ALL_FAULTS._replace(voters=(3,), learners=(2, 3))
    run = _RevocationRun(seed, plan, revocation_config(passes_on))
    run_in_virtual_time(run.all)
    return RunReport(seed, run.cluster.find_problems(), dict(run.cluster.counts))


class _FixedRelays(Cluster):
    async def _change_feeders(self) -> None:
        pass


class Situation:
    """An instance that does not learn that a key was withdrawn.

    Parameters
    ----------
    name
        What happens to the instance.
    seed
        Seed of the clocks and of the time at which it happens.
    """

    _SECONDS = 8.0

    def __init__(self, name: str, seed: int) -> None:
        self._name = name
        self._random = Random(seed)
        self.cluster = _FixedRelays(Random(seed), revocation_config(passes_on=True))
        self.watch = KeyWatch(self.cluster)
        # Answers to the withdrawn key, by the time since the situation began.
        self.answers: list[tuple[float, str]] = []
        # Answers to both keys after the end.
        self.final_answers: tuple[str, str] = "", ""

    def run(self) -> None:
        """Run the situation to its end."""
        run_in_virtual_time(self._run)

    async def _run(self) -> None:
        cluster = self.cluster
        await cluster.start(3, 2)
        await sleep(3)
        leader = cluster.leader()
        assert leader is not None
        follower = next(
            cluster.instances[name]
            for name in cluster.initial_voters
            if name != leader.name
        )
        for learner, feeder in ("l0", leader), ("l1", follower):
            cluster.feed_from(learner, feeder.name)
            await feeder.agreement.feed(learner)
        # So many versions that the newest ones are in a snapshot, which a process that
        # starts again has at once.
        for _ in range(2 * self.cluster.config.settings.entries_per_snapshot):
            await self.watch.put(leader, ("key-old", "key"))
        await sleep(3 + self._random.random())
        victim = {"leader": leader, "learner": cluster.instances["l0"]}.get(
            self._name.split(" ", 2)[1], follower
        )
        watched = cluster.instances["l1"] if "relay" in self._name else victim
        await self._begin(victim)
        async with TaskGroup(wait=any) as group:
            await group.spawn(self.watch.watch)
            await group.spawn(self._follow, victim, watched)
        # Raises the exception of the task that ended first, if any.
        _ = group.result
        for instance in cluster.instances.values():
            await instance.stop()

    async def _begin(self, victim: Instance) -> None:
        network, others = self.cluster.network, set(self.cluster.instances)
        others -= {victim.name}
        match self._name.split(" ", 2)[2]:
            case "is cut off":
                network.isolate_instance(victim.name, others)
            case "is cut off from the voters":
                network.isolate_instance(victim.name, others - {"l1"})
            case "hears nobody":
                network.cut_links |= {(other, victim.name) for other in others}
            case "is not heard":
                network.cut_links |= {(victim.name, other) for other in others}
            case "is suspended":
                victim.host.frozen_until = time.monotonic() + self._SECONDS
            case "restarts while it is cut off":
                await victim.stop()
                network.isolate_instance(victim.name, others)
                await victim.start()

    async def _follow(self, victim: Instance, watched: Instance) -> None:
        """Withdraw the key, record the answers, and end the situation."""
        began_at = time.monotonic()
        other = next(
            one
            for name, one in self.cluster.instances.items()
            if name in self.cluster.initial_voters and one is not victim
        )
        async with TaskGroup() as group:
            await group.spawn(self.watch.put, other, ("key",))
            await group.spawn(self._record, watched, began_at)
        self.cluster.network.cut_links.clear()
        await sleep(2)
        self.final_answers = (
            self.watch.ask(watched, "key-old"),
            self.watch.ask(watched, "key"),
        )

    async def _record(self, watched: Instance, began_at: float) -> None:
        while (since := time.monotonic() - began_at) < self._SECONDS + 0.1:
            if watched.running is not None:
                self.answers.append((since, self.watch.ask(watched, "key-old")))
            await sleep(0.02)
