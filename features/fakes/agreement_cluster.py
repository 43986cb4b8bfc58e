"""Instances of the replicated log on fake hosts, and the runs that disturb them."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple

from curio import TaskGroup, sleep, spawn
from expression import Result
from fakes.agreement_faults import (
    Host,
    HostClock,
    Network,
    Session,
    SessionDisk,
    SessionLink,
    Store,
)
from fakes.agreement_model import ChainMachine, Model

from lovagetray._log_entries import Voter, VoterSet
from lovagetray._peer_messages import AgreementMessage
from lovagetray._violations import Violations
from lovagetray.commands.agreement import (
    Agreement,
    AgreementContext,
    AgreementSettings,
    AgreementState,
    DurableLog,
)
from lovagetray.wire import decode_log, decode_snapshot, decode_vote


class ClusterConfig(NamedTuple):
    """What a run is built from; a test replaces one part by a broken one."""

    state_type: type[AgreementState] = AgreementState
    store_type: type[Store] = Store
    settings: AgreementSettings = AgreementSettings(
        snapshot_every=15,
        batch_bytes=400,
        chunk_bytes=150,
        retention=timedelta(seconds=20),
    )
    # How long a process takes from its begin until it opens its log.
    start: timedelta | None = None
    # How much earlier than in truth a process believes to have begun.
    misjudged_start: timedelta = timedelta(0)


class Instance:
    """One instance, across its restarts."""

    def __init__(self, cluster: "Cluster", name: str, durable: bool) -> None:
        self.name = name
        self.durable = durable
        self.host = Host(Random(cluster.random.random()))
        self.store = cluster.config.store_type(self.host.random)
        self.violations = Violations()
        self.agreement: Agreement | None = None
        # The highest index that was applied anywhere when this process started.
        self.accepted_before = 0
        self.session: Session | None = None
        self.damaged = self.damage_found = False
        self._cluster = cluster
        self._task: Any = None

    @property
    def running(self) -> Agreement | None:
        """The agreement, unless the instance is down, starting or frozen."""
        return None if self.host.frozen else self.agreement

    @property
    def identity(self) -> Voter | None:
        """The identity on the disk, unless its log is damaged."""
        vote = self.store.durable.get("vote")
        if vote is None or self.damaged:
            return None
        return Voter(self.name, decode_vote(vote).ok.incarnation)

    @property
    def stored_sets(self) -> list[VoterSet]:
        """The last voter set on the disk and any that is not committed yet."""
        files = self.store.current
        if "vote" not in files or self.damaged:
            return []
        sets = [decode_snapshot(files["snapshot"]).ok.voters]
        for entry in decode_log(files["log"]).ok.entries:
            if entry.voters is not None:
                sets.append(entry.voters)
        return [found for found in sets[-2:] if found.voters]

    async def start(self) -> None:
        """Start the process."""
        self.accepted_before = self._cluster.model.highest
        self.session = Session(self.host, self.stop)
        self._task = await spawn(self._live, self.session, daemon=True)

    async def stop(self) -> None:
        """Kill the process and lose what was not synced."""
        if self.session is None:
            return
        self.session.alive = False
        self.session = self.agreement = None
        self._cluster.counts["crashes"] += 1
        self.store.crash()
        await spawn(self._cancel, self._task, daemon=True)

    async def _cancel(self, task: Any) -> None:
        await task.cancel()

    async def _live(self, session: Session) -> None:
        cluster = self._cluster
        clock = HostClock(self.host)
        process_started_at = None
        if cluster.config.start is not None:
            process_started_at = clock.monotonic_time() - cluster.config.misjudged_start
            await clock.sleep(cluster.config.start)
        context = AgreementContext(
            self.name,
            cluster.initial_voters,
            clock,
            SessionLink(cluster.network, self.name, session),
            cluster.config.settings,
            self.violations,
            Random(self.host.random.random()),
            process_started_at,
        )
        disk = SessionDisk(self.store, session) if self.durable else None
        if disk is not None and self.damaged:
            await self._start_over(disk)
        machine = ChainMachine(cluster.model)
        opened = await Agreement.open(context, disk, machine, cluster.config.state_type)
        match opened:
            case Result(tag="ok", ok=agreement):
                for name in cluster.instances:
                    await agreement.add_peer(name)
                if session.alive:
                    self.agreement = agreement
                    self.machine = machine
                await agreement.run()
            case Result(error=failure):
                cluster.model.report(f"{self.name}: {failure}")

    async def _start_over(self, disk: SessionDisk) -> None:
        """Check that the damage is found and come back as a new member."""
        if not self.damage_found:
            opened = await DurableLog.open(disk, lambda: "unused")
            if opened.is_ok():
                self._cluster.model.report(f"{self.name} opened a damaged log")
            self._cluster.counts["damaged logs"] += 1
            self.damage_found = True
        incarnation = f"{self.host.random.getrandbits(64):016x}"
        await DurableLog.reset(disk, incarnation)
        self.damaged = self.damage_found = False


class Cluster:
    """Instances that share a network and are compared with one model."""

    def __init__(self, random: Random, config: ClusterConfig) -> None:
        self.random = random
        self.config = config
        self.model = Model()
        self.counts: Counter[str] = Counter()
        self.initial_voters: tuple[str, ...] = ()
        self.instances: dict[str, Instance] = {}
        self.network = Network(
            Random(random.random()), self._deliver, self.model.saw_message
        )

    async def run(self, voters: int, learners: int, *work: Callable[..., Any]) -> None:
        """Start the instances and do `work` until all of it has ended."""
        await self.start(voters, learners)
        async with TaskGroup() as group:
            for one in work:
                await group.spawn(one)
        self.model.finish()
        for instance in self.instances.values():
            await instance.stop()
        if group.exception is not None:
            raise group.exception

    async def start(self, voters: int, learners: int) -> None:
        """Start the instances with empty disks."""
        self.initial_voters = tuple(f"v{number}" for number in range(voters))
        for name in self.initial_voters:
            self.instances[name] = Instance(self, name, durable=True)
        for number in range(learners):
            self.instances[f"l{number}"] = Instance(self, f"l{number}", False)
        await spawn(self.network.run, daemon=True)
        await spawn(self._watch, daemon=True)
        for instance in list(self.instances.values()):
            await instance.start()

    async def join(self, name: str, durable: bool) -> None:
        """Add an instance while the others run."""
        self.instances[name] = Instance(self, name, durable)
        for instance in self.instances.values():
            if instance.agreement is not None:
                await instance.agreement.add_peer(name)
        await self.instances[name].start()

    def leader(self) -> Instance | None:
        """Return the running instance that leads the newest term."""
        leading = [
            (instance.agreement.term, instance.name)
            for instance in self.instances.values()
            if instance.running and instance.running.leader == instance.name
        ]
        return self.instances[max(leading)[1]] if leading else None

    def spare_disk(self, name: str) -> bool:
        """Tell whether every known voter set keeps a majority without this disk."""
        intact = {one.identity for one in self.instances.values() if one.name != name}
        sets = [found for one in self.instances.values() for found in one.stored_sets]
        return bool(sets) and all(one.is_quorum(intact) for one in sets)

    def find_problems(self) -> tuple[str, ...]:
        """Return every contradiction with the model and every reported violation."""
        reported = {
            f"{instance.name}: {violation}"
            for instance in self.instances.values()
            for violation in instance.violations.found
        }
        return (*self.model.problems, *sorted(reported))

    async def settle(self) -> None:
        """End all faults and wait until every instance holds the same state."""
        self.network.cuts.clear()
        self.network.appends_to_cut.clear()
        self.network.loss = self.network.doubling = 0.0
        self.network.longest_delay = 0.005
        for instance in list(self.instances.values()):
            instance.host.frozen_until = 0.0
            if instance.session is not None:
                instance.session.syncs_to_crash = None
            else:
                await instance.start()
        for _ in range(300):
            await sleep(0.1)
            if self._settled() or self.find_problems():
                break
        else:
            self.model.report(f"no agreement 30 s after the last fault: {self._view()}")

    def _settled(self) -> bool:
        agreements = [instance.agreement for instance in self.instances.values()]
        leader = self.leader()
        if leader is None or None in agreements:
            return False
        states = {instance.machine.state for instance in self.instances.values()}
        applied = {agreement.applied_index for agreement in agreements if agreement}
        voters = leader.agreement.voters
        return len(states) == len(applied) == 1 and not voters.rejoining

    def _view(self) -> list[Any]:
        return [
            (one.name, one.agreement.term, one.agreement.leader, one.agreement.voters)
            for one in self.instances.values()
            if one.agreement is not None
        ]

    async def _deliver(self, sender: str, name: str, message: AgreementMessage) -> bool:
        instance = self.instances.get(name)
        if instance is None or instance.agreement is None:
            return True
        if instance.host.frozen:
            return False
        await instance.agreement.handle(sender, message)
        return True

    async def _watch(self) -> None:
        """Read on every instance that claims to be current, and check leases."""
        while True:
            await sleep(0.02)
            for instance in self.instances.values():
                agreement = instance.running
                if agreement is None:
                    continue
                if agreement.serves_linearizable_reads():
                    self.counts["reads"] += 1
                    self.model.read(instance.name, agreement.applied_index)
                if agreement.caught_up_since_start():
                    self.counts["starts proved"] += 1
                    self.model.started(
                        instance.name, agreement.applied_index, instance.accepted_before
                    )
                if agreement.leader == instance.name:
                    self.model.listed(agreement.term, agreement.live)
                if agreement.lease_valid():
                    self.model.leased(instance.name)
