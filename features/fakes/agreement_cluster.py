"""Instances of the replicated log on fake hosts, disks and a fake network."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from random import Random
from typing import Any, NamedTuple

from curio import TaskGroup, sleep, spawn
from expression import Result
from fakes.agreement_faults import (
    DiskContent,
    Host,
    HostClock,
    Network,
    Process,
    ProcessDisk,
    ProcessTransport,
)
from fakes.agreement_model import HashChainMachine, Model

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
    """Parts and settings of a run; a mutant replaces one part by a faulty one.

    Parameters
    ----------
    startup_time
        Time from the start of a process until it opens its log; None opens the log at
        once and passes no start time of the process to the log.
    start_time_error
        How much too early the start time is that a process passes to its log.
    passes_on
        Whether each instance without a disk gets the log from one with a disk, which
        may be a follower, and from another one every few seconds.
    """

    state_type: type[AgreementState] = AgreementState
    disk_type: type[DiskContent] = DiskContent
    machine_type: type[HashChainMachine] = HashChainMachine
    settings: AgreementSettings = AgreementSettings(
        entries_per_snapshot=15,
        batch_bytes=400,
        chunk_bytes=150,
        retention=timedelta(seconds=20),
        min_compressed_bytes=1 << 30,
    )
    startup_time: timedelta | None = None
    start_time_error: timedelta = timedelta(0)
    passes_on: bool = False


class Instance:
    """Instance of the replicated log with its host and disk, across restarts."""

    def __init__(self, cluster: "Cluster", name: str, durable: bool) -> None:
        self.name = name
        self.durable = durable
        self.host = Host(Random(cluster.random.random()))
        self.disk_content = cluster.config.disk_type(self.host.random)
        self.violations = Violations()
        self.agreement: Agreement | None = None
        # Highest index that any instance had applied when this process started.
        self.applied_before_start = 0
        self.process: Process | None = None
        self.damaged = self.damage_found = False
        self._cluster = cluster
        self._task: Any = None

    @property
    def running(self) -> Agreement | None:
        """The replicated log; None while the instance is down, starting or frozen."""
        return None if self.host.frozen else self.agreement

    @property
    def identity(self) -> Voter | None:
        """Identity stored on the disk; None if there is none or the log is damaged."""
        vote = self.disk_content.durable.get("vote")
        if vote is None or self.damaged:
            return None
        return Voter(self.name, decode_vote(vote).ok.incarnation)

    @property
    def stored_voter_sets(self) -> list[VoterSet]:
        """The last two voter sets on the disk except empty ones, the older one first.

        The newer one may not be committed yet.
        """
        files = self.disk_content.current
        if "vote" not in files or self.damaged:
            return []
        sets = [decode_snapshot(files["snapshot"]).ok.voters]
        for entry in decode_log(files["log"]).ok.entries:
            if entry.voters is not None:
                sets.append(entry.voters)
        return [voter_set for voter_set in sets[-2:] if voter_set.voters]

    async def start(self) -> None:
        """Start the process."""
        self.applied_before_start = self._cluster.model.highest_index
        self.process = Process(self.host, self.stop)
        self._task = await spawn(self._run_process, self.process, daemon=True)

    async def stop(self) -> None:
        """Kill the process; content that was not synced may be lost or damaged."""
        if self.process is None:
            return
        self.process.alive = False
        self.process = self.agreement = None
        self._cluster.counts["crashes"] += 1
        self.disk_content.crash()
        await spawn(self._cancel, self._task, daemon=True)

    async def _cancel(self, task: Any) -> None:
        await task.cancel()

    async def _run_process(self, process: Process) -> None:
        cluster = self._cluster
        clock = HostClock(self.host)
        process_started_at = None
        if cluster.config.startup_time is not None:
            process_started_at = (
                clock.monotonic_time() - cluster.config.start_time_error
            )
            await clock.sleep(cluster.config.startup_time)
        context = AgreementContext(
            self.name,
            cluster.initial_voters,
            clock,
            ProcessTransport(cluster.network, self.name, process),
            cluster.config.settings,
            self.violations,
            Random(self.host.random.random()),
            process_started_at,
            feeds=partial(cluster.feeds, self.name),
        )
        disk = ProcessDisk(self.disk_content, process) if self.durable else None
        if disk is not None and self.damaged:
            await self._reset_damaged_disk(disk)
        machine = cluster.config.machine_type(cluster.model)
        opened = await Agreement.open(context, disk, machine, cluster.config.state_type)
        match opened:
            case Result(tag="ok", ok=agreement):
                for name in cluster.instances:
                    await agreement.add_peer(name)
                if process.alive:
                    self.agreement = agreement
                    self.machine = machine
                await agreement.run()
            case Result(error=failure):
                cluster.model.report(f"{self.name}: {failure}")

    async def _reset_damaged_disk(self, disk: ProcessDisk) -> None:
        """Check that the damage is detected, and reset the disk to a new identity."""
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
    """Instances that share a network and are checked against one model."""

    def __init__(self, random: Random, config: ClusterConfig) -> None:
        self.random = random
        self.config = config
        self.model = Model()
        self.counts: Counter[str] = Counter()
        self.initial_voters: tuple[str, ...] = ()
        # The instance that feeds each learner without a disk.
        self._feeder_of: dict[str, str] = {}
        self.instances: dict[str, Instance] = {}
        self.network = Network(
            Random(random.random()), self._deliver, self.model.check_message
        )

    async def run(self, voters: int, learners: int, *work: Callable[..., Any]) -> None:
        """Run `work` on newly started instances until all of it has ended."""
        await self.start(voters, learners)
        async with TaskGroup() as group:
            for task in work:
                await group.spawn(task)
        self.model.check_end()
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
        await spawn(self._check_continuously, daemon=True)
        if self.config.passes_on:
            await spawn(self._change_feeders, daemon=True)
        for instance in list(self.instances.values()):
            await instance.start()

    async def join(self, name: str, durable: bool) -> None:
        """Add an instance while the others run."""
        self.instances[name] = Instance(self, name, durable)
        for instance in self.instances.values():
            if instance.agreement is not None:
                await instance.agreement.add_peer(name)
        await self.instances[name].start()

    def feed_from(self, name: str, feeder: str) -> None:
        """Let a learner without a disk get the log from an instance from now on."""
        self._feeder_of[name] = feeder

    def feeds(self, own_name: str, name: str, leads: bool) -> bool:
        """Return whether an instance sends the log to another one."""
        peer = self.instances.get(name)
        if not self.config.passes_on or peer is None or peer.durable:
            return leads
        return self._feeder_of.get(name) == own_name

    async def _change_feeders(self) -> None:
        """Let learners turn to other instances, and those start to feed them."""
        random = Random(self.random.random())
        while True:
            await sleep(0.2)
            durable = [name for name, one in self.instances.items() if one.durable]
            for name, instance in list(self.instances.items()):
                if instance.durable:
                    continue
                if name not in self._feeder_of or random.random() < 0.1:
                    self._feeder_of[name] = random.choice(durable)
                feeder = self.instances[self._feeder_of[name]].running
                if feeder is not None:
                    await feeder.feed(name)

    def leader(self) -> Instance | None:
        """Return the running leader of the newest term, None if there is none."""
        leading = [
            (instance.agreement.term, instance.name)
            for instance in self.instances.values()
            if instance.running and instance.running.leader == instance.name
        ]
        return self.instances[max(leading)[1]] if leading else None

    def can_lose_disk(self, name: str) -> bool:
        """Return whether every stored voter set has a majority without this disk."""
        intact = {
            instance.identity
            for instance in self.instances.values()
            if instance.name != name
        }
        sets = [
            voter_set
            for instance in self.instances.values()
            for voter_set in instance.stored_voter_sets
        ]
        return bool(sets) and all(voter_set.is_quorum(intact) for voter_set in sets)

    def find_problems(self) -> tuple[str, ...]:
        """Return all contradictions with the model and all reported violations."""
        reported = {
            f"{instance.name}: {violation}"
            for instance in self.instances.values()
            for violation in instance.violations.found
        }
        return (*self.model.problems, *sorted(reported))

    async def end_faults_and_converge(self) -> None:
        """End all faults and wait up to 30 s until all instances agree on the state."""
        self.network.cut_links.clear()
        self.network.appends_until_cut.clear()
        self.network.loss = self.network.duplication = 0.0
        self.network.max_delay = 0.005
        for instance in list(self.instances.values()):
            instance.host.frozen_until = 0.0
            if instance.process is not None:
                instance.process.syncs_until_crash = None
            else:
                await instance.start()
        for _ in range(300):
            await sleep(0.1)
            if self._converged() or self.find_problems():
                break
        else:
            self.model.report(
                f"no agreement 30 s after the last fault: {self._describe_instances()}"
            )

    def _converged(self) -> bool:
        agreements = [instance.agreement for instance in self.instances.values()]
        leader = self.leader()
        if leader is None or None in agreements:
            return False
        states = {instance.machine.state for instance in self.instances.values()}
        applied = {agreement.applied_index for agreement in agreements if agreement}
        voters = leader.agreement.voters
        return len(states) == len(applied) == 1 and not voters.rejoining

    def _describe_instances(self) -> list[Any]:
        return [
            (
                instance.name,
                instance.agreement.term,
                instance.agreement.leader,
                instance.agreement.voters,
            )
            for instance in self.instances.values()
            if instance.agreement is not None
        ]

    async def _deliver(self, sender: str, name: str, message: AgreementMessage) -> bool:
        instance = self.instances.get(name)
        if instance is None or instance.agreement is None:
            return True
        if instance.host.frozen:
            return False
        await instance.agreement.handle(sender, message)
        return True

    async def _check_continuously(self) -> None:
        """Check every running instance every 20 ms, until cancelled.

        Checked are reads that the instance claims to be linearizable, its lease, and
        its claims to have caught up since its start and to know all changes until a
        time. A leader's live list is recorded.
        """
        while True:
            await sleep(0.02)
            for instance in self.instances.values():
                agreement = instance.running
                if agreement is None:
                    continue
                if agreement.serves_linearizable_reads():
                    self.counts["reads"] += 1
                    self.model.check_read(instance.name, agreement.applied_index)
                if agreement.caught_up_since_start():
                    self.counts["starts proved"] += 1
                    self.model.check_caught_up(
                        instance.name,
                        agreement.applied_index,
                        instance.applied_before_start,
                    )
                confirmed_at = agreement.state_confirmed_at()
                if confirmed_at is not None:
                    age = HostClock(instance.host).monotonic_time() - confirmed_at
                    self.counts["states confirmed"] += 1
                    self.model.check_confirmed(
                        instance.name, agreement.applied_index, age
                    )
                if agreement.leader == instance.name:
                    self.model.record_list(agreement.term, agreement.live)
                if agreement.lease_valid():
                    self.model.check_lease(instance.name)
