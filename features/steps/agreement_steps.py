"""Steps for the replicated log, in virtual time and on files."""

from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta, timezone
from random import Random
from statistics import median
from time import CLOCK_BOOTTIME, CLOCK_MONOTONIC
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from curio import Kernel, sleep
from expression import Result
from fakes.agreement_cluster import Cluster, ClusterConfig, Instance
from fakes.agreement_faults import DiskContent, HostClock
from fakes.agreement_mutants import MUTANTS
from fakes.agreement_runs import run_agreement_seed, run_gateway_cluster, time_to_leader
from fakes.virtual_time import VirtualKernel
from msgspec import structs

from lovagetray import SystemClock
from lovagetray._errors import (
    LogCorrupted,
    NoLeader,
    NotLeader,
    QuorumLost,
    RequestIdConflict,
    proves_not_run,
)
from lovagetray._log_entries import Entry, EntryKind, Proposal
from lovagetray._peer_messages import AppendReply, Envelope
from lovagetray._types import InstanceId
from lovagetray.commands.agreement import DurableLog, FolderDisk
from lovagetray.gateway import agreement_settings
from lovagetray.queries.agreement import status_of
from lovagetray.wire import (
    compress_bytes,
    compress_entries,
    decompress_entries,
    encode_envelope,
)

_PROPOSED_AT = datetime(2026, 1, 1, tzinfo=timezone.utc)
# The rarest defect, a commit by counting, is found by 13 of 87 seeds.
_DEFECT_SEEDS = range(1, 60)


@when("the replicated log runs with seed {seed:d} and all kinds of faults")
def run_all_faults(context: Context, seed: int) -> None:
    context.report = run_agreement_seed(seed)


@when("the replicated log runs with seed {seed:d} and the gateway's settings")
def run_gateway_settings(context: Context, seed: int) -> None:
    context.report = run_gateway_cluster(seed)


@when(
    "the replicated log runs with seed {seed:d}, the gateway's settings and compression"
)
def run_compressed(context: Context, seed: int) -> None:
    context.report = run_gateway_cluster(seed, min_compressed_bytes=100)


@when("the replicated log runs with seed {seed:d} and followers that pass it on")
def run_passed_on(context: Context, seed: int) -> None:
    # As tools/agreement_runs.py --passed-on does, so that its seeds can be used here.
    context.report = run_gateway_cluster(seed, min_compressed_bytes=100, passes_on=True)


@when(
    "the replicated log runs with seed {seed:d} "
    "and process starts of {milliseconds:d} ms"
)
def run_slow_starts(context: Context, seed: int, milliseconds: int) -> None:
    context.report = run_gateway_cluster(seed, timedelta(milliseconds=milliseconds))


@when(
    "three voters start together {count:d} times "
    "and each takes {milliseconds:d} ms to start"
)
def start_together(context: Context, count: int, milliseconds: int) -> None:
    start_time = timedelta(milliseconds=milliseconds)
    context.election_times = sorted(
        time_to_leader(seed, start_time) for seed in range(count)
    )


@then("the median time to elect a leader is at most the maximum election timeout")
def check_time_to_leader(context: Context) -> None:
    maximum = agreement_settings(tolerated_failures=1).max_election_timeout
    assert median(context.election_times) <= maximum, context.election_times


@then("the run finds no problem")
def check_no_problem(context: Context) -> None:
    assert not context.report.problems, context.report
    assert context.report.counts["accepted"] > 0, context.report


@given("three voters with the gateway's settings, one of which leads")
def start_gateway_voters(context: Context) -> None:
    context.kernel = VirtualKernel()
    context.add_cleanup(context.kernel.close)
    config = ClusterConfig(settings=agreement_settings(tolerated_failures=1))
    context.cluster = Cluster(Random(1), config)

    async def run() -> None:
        await context.cluster.start(3, 0)
        while context.cluster.leader() is None:
            await sleep(0.01)
        context.first = context.cluster.leader()

    context.kernel.run(run)


@when(
    "the leader is cut off {seconds:g} s after its election, before its first live list"
)
def cut_leader_off(context: Context, seconds: float) -> None:
    async def run() -> None:
        await sleep(seconds)
        assert not context.first.agreement.live
        cluster = context.cluster
        cluster.network.isolate_instance(context.first.name, cluster.instances)

    context.kernel.run(run)


@when("another leader is elected")
def wait_for_other_leader(context: Context) -> None:
    async def run() -> None:
        for _ in range(200):
            leader = context.cluster.leader()
            if leader is not None and leader.name != context.first.name:
                return
            await sleep(0.01)
        raise AssertionError("no other leader")

    context.kernel.run(run)


@then("the first leader holds no lease when it has listed itself")
def check_no_lease(context: Context) -> None:
    async def run() -> None:
        agreement = context.first.agreement
        for _ in range(100):
            assert not agreement.lease_valid()
            if context.first.name in agreement.live:
                return
            await sleep(0.02)
        raise AssertionError("the leader stepped down before it listed itself")

    context.kernel.run(run)


@when("the replicated log runs with {defect}")
def choose_defect(context: Context, defect: str) -> None:
    context.defect = defect


@then('a run reports "{problem}"')
def check_problem(context: Context, problem: str) -> None:
    """Run seeds until one has the expected problem; others may be reported before."""
    plan, config = MUTANTS[context.defect]
    expected = problem.split(" or ")
    found: set[str] = set()
    for seed in _DEFECT_SEEDS:
        problems = "; ".join(run_agreement_seed(seed, plan, config).problems)
        if any(text in problems for text in expected):
            print(f"found {context.defect} with seed {seed}")
            return
        found.add(problems)
    raise AssertionError(found)


class InMemoryDisk:
    """A disk in memory, without delays or crashes."""

    def __init__(self) -> None:
        self.content = DiskContent(Random(1))

    async def read(self, file: str) -> bytes | None:
        return self.content.current.get(file)

    async def append(self, file: str, data: bytes) -> None:
        self.content.append(file, data)

    async def sync(self, file: str) -> None:
        self.content.sync(file)

    async def replace(self, file: str, data: bytes) -> None:
        self.content.replace(file, data)

    async def sync_folder(self) -> None:
        self.content.sync_folder()


async def _append_entries(disk: Any, count: int) -> None:
    log = (await DurableLog.open(disk, lambda: "first")).ok
    for index in range(1, count + 1):
        proposal = Proposal(f"r{index}", _PROPOSED_AT, b"body")
        await log.append([Entry(index, 1, EntryKind.PROPOSAL, proposal)])


def _run_in_kernel(work: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    with Kernel() as kernel:
        return kernel.run(work, *arguments)


@given("a log with {count:d} synced entries")
def fill_log(context: Context, count: int) -> None:
    context.disk = InMemoryDisk()
    _run_in_kernel(_append_entries, context.disk, count)


@given("a log in a folder with {count:d} synced entries")
def fill_folder(context: Context, count: int) -> None:
    context.disk = FolderDisk(context.folder / "log")
    _run_in_kernel(_append_entries, context.disk, count)


@when("the log is opened again")
def reopen(context: Context) -> None:
    context.disk = FolderDisk(context.folder / "log")


@when("the last {count:d} bytes of the log file are lost")
def truncate_log_file(context: Context, count: int) -> None:
    files = context.disk.content.current
    files["log"] = files["log"][:-count]


@when("a byte of the first record is changed")
def corrupt_record(context: Context) -> None:
    files = context.disk.content.current
    corrupted = bytearray(files["log"])
    corrupted[30] ^= 1
    files["log"] = bytes(corrupted)


@when("the {file} file is removed")
def remove_file(context: Context, file: str) -> None:
    del context.disk.content.current[file]


@then("the log opens with {count:d} entries")
def check_entries(context: Context, count: int) -> None:
    log = _run_in_kernel(DurableLog.open, context.disk, lambda: "second").ok
    assert (log.last_index, log.incarnation) == (count, "first")


@then("the log is refused as corrupt")
def check_corrupt(context: Context) -> None:
    match _run_in_kernel(DurableLog.open, context.disk, lambda: "second"):
        case Result(tag="error", error=LogCorrupted(file="log" | "snapshot")):
            return
    raise AssertionError("a corrupt log was opened")


@then("a reset log is empty and has a new identity")
def check_reset(context: Context) -> None:
    _run_in_kernel(DurableLog.reset, context.disk, "second")
    log = _run_in_kernel(DurableLog.open, context.disk, lambda: "third").ok
    assert (log.last_index, log.incarnation) == (0, "second")


class ClusterRun:
    """A cluster in virtual time that the steps of a scenario advance."""

    def __init__(self, voters: int) -> None:
        self.kernel = VirtualKernel()
        self.cluster = Cluster(Random(7), ClusterConfig())
        self.kernel.run(self.cluster.start, voters, 1)
        self.wait(5)
        self.leader = self.find_leader()
        self.others = [
            self.cluster.instances[name]
            for name in self.cluster.initial_voters
            if name != self.leader.name
        ]
        self.follower = self.others[0]

    def wait(self, seconds: float) -> None:
        self.kernel.run(sleep, seconds)

    def propose(self, instance: Instance, proposal: Proposal) -> Any:
        return self.kernel.run(instance.agreement.propose, proposal)

    def has_lease(self, instance: Instance) -> bool:
        async def check() -> bool:
            return instance.agreement.lease_valid()

        return self.kernel.run(check)

    def find_leader(self) -> Instance:
        leader = self.kernel.run(self._current_leader)
        assert leader is not None, "the cluster has no leader"
        return leader

    async def _current_leader(self) -> Instance | None:
        return self.cluster.leader()

    def isolate(self, instance: Instance) -> None:
        self.cluster.network.isolate_instance(instance.name, self.cluster.instances)

    def finish(self) -> None:
        self.kernel.close()
        assert not self.cluster.find_problems(), self.cluster.find_problems()


@given("{count:d} instances of the replicated log")
def start_cluster(context: Context, count: int) -> None:
    context.run = ClusterRun(count)
    context.add_cleanup(context.run.finish)


def _change(request_id: str, body: bytes = b"body") -> Proposal:
    return Proposal(request_id, _PROPOSED_AT + timedelta(seconds=1000), body)


@when("the leader is isolated for {seconds:g} seconds")
def isolate_leader(context: Context, seconds: float) -> None:
    context.run.isolate(context.run.leader)
    context.run.wait(seconds)


@when("a follower is isolated for {seconds:g} seconds")
def isolate_follower(context: Context, seconds: float) -> None:
    assert context.run.has_lease(context.run.follower)
    context.run.isolate(context.run.follower)
    context.run.wait(seconds)


@when("{seconds:g} more seconds pass")
def wait(context: Context, seconds: float) -> None:
    context.run.wait(seconds)


@then("a change proposed to the old leader is refused as not run")
def check_refused(context: Context) -> None:
    result = context.run.propose(context.run.leader, _change("a"))
    match result:
        case Result(tag="error", error=NoLeader() | NotLeader() | QuorumLost()):
            assert proves_not_run(result.error)
            return
    raise AssertionError(result)


@then("another instance leads and accepts a change")
def check_new_leader(context: Context) -> None:
    leader = context.run.find_leader()
    assert leader in context.run.others
    result = context.run.propose(leader, _change("b"))
    assert result.is_ok(), result


@then("the leader still lists the follower")
def check_listed(context: Context) -> None:
    run = context.run
    assert run.follower.name in run.leader.agreement.live


@then("the leader no longer lists the follower")
def check_not_listed(context: Context) -> None:
    run = context.run
    assert run.follower.name not in run.leader.agreement.live


@then("the follower's lease has expired")
def check_lease_expired(context: Context) -> None:
    assert not context.run.has_lease(context.run.follower)


@when("the leader is stopped")
def stop_leader(context: Context) -> None:
    context.run.kernel.run(context.run.leader.stop)


@then("the new leader lists the old one until one lease has passed")
def check_still_listed(context: Context) -> None:
    run = context.run
    for _ in range(200):
        if run.kernel.run(run._current_leader) is not None:
            break
        run.wait(0.05)
    run.wait(1.8)
    assert run.leader.name in run.find_leader().agreement.live
    run.wait(1.5)
    assert run.leader.name not in run.find_leader().agreement.live


@given("a change that was accepted before {count:d} others")
def accept_changes(context: Context, count: int) -> None:
    run = context.run
    run.first = run.propose(run.follower, _change("first"))
    assert run.first.is_ok(), run.first
    for number in range(count):
        body = b"body %d" % number
        assert run.propose(run.leader, _change(f"other {number}", body)).is_ok()


@when("every instance restarts and leadership is transferred")
def restart_all(context: Context) -> None:
    run = context.run
    for instance in run.cluster.instances.values():
        run.kernel.run(instance.stop)
    for instance in run.cluster.instances.values():
        run.kernel.run(instance.start)
    run.wait(5)
    old_leader = run.find_leader()
    result = run.kernel.run(old_leader.agreement.transfer_leadership)
    assert result.is_ok(), result
    run.wait(1)
    assert run.find_leader() is not old_leader


@then("a resend of the change gets the first outcome")
def check_resend(context: Context) -> None:
    run = context.run
    for instance in run.cluster.instances.values():
        result = run.propose(instance, _change("first"))
        assert result == run.first, (instance.name, result)


@then("the same request id with another body is a conflict")
def check_conflict(context: Context) -> None:
    run = context.run
    result = run.propose(run.find_leader(), _change("first", b"another body"))
    assert result.error == RequestIdConflict("first"), result


@then("the leader's status shows every instance without lag")
def check_status(context: Context) -> None:
    run = context.run

    async def read_status() -> Any:
        return status_of(run.leader.agreement)

    status = run.kernel.run(read_status)
    assert status.leader == run.leader.name
    assert status.lag == {name: 0 for name in run.cluster.instances}, status
    assert status.lease and status.term == run.leader.agreement.term


class _TrafficOf:
    """Records the messages to one instance, as its version would receive them.

    An instance of an earlier version does not say that it accepts compressed entries,
    and does not know their field.
    """

    def __init__(self, cluster: Cluster, name: str, earlier_version: bool) -> None:
        self._earlier_version = earlier_version
        self._name = name
        self._send = cluster.network.send
        cluster.network.send = self._record  # type: ignore
        self.size = 0
        self.compressed = 0

    async def _record(self, sender: str, receiver: str, message: Any) -> None:
        if receiver == self._name:
            envelope = Envelope(InstanceId(sender, "1"), message)
            self.size += sum(map(len, encode_envelope(envelope)))
            self.compressed += bool(getattr(message, "compressed", False))
        if sender == self._name and isinstance(message, AppendReply):
            message = structs.replace(
                message, accepts_compressed=not self._earlier_version
            )
        await self._send(sender, receiver, message)


def _change_document(
    context: Context, changes: int, kilobytes: int, earlier_version: bool
) -> None:
    random = Random(1)
    lines = [f'{{"Name":"{random.randbytes(4).hex()}"}}' for _ in range(kilobytes * 50)]

    async def run() -> None:
        cluster = context.cluster
        context.traffic = _TrafficOf(cluster, "l0", earlier_version)
        leader = cluster.leader()
        clock = HostClock(leader.host)
        for number in range(changes):
            lines[number] = f'{{"Name":"changed-{number}"}}'
            body = "".join(lines).encode()
            proposal = Proposal(f"change-{number}", clock.now(), body)
            result = await leader.agreement.propose(proposal)
            assert result.is_ok(), result
        await cluster.join("l0", durable=False)
        learner = cluster.instances["l0"]
        for _ in range(300):
            await sleep(0.01)
            if (
                learner.agreement is not None
                and learner.agreement.applied_index == leader.agreement.applied_index
            ):
                break
        context.learner, context.leader_log = learner.agreement, leader.agreement

    context.kernel.run(run)


@when(
    "{changes:d} changes of a document of {kilobytes:d} KB are accepted "
    "and a learner joins"
)
def join_learner(context: Context, changes: int, kilobytes: int) -> None:
    _change_document(context, changes, kilobytes, earlier_version=False)


@when(
    "{changes:d} changes of a document of {kilobytes:d} KB are accepted "
    "and an older learner joins"
)
def join_older_learner(context: Context, changes: int, kilobytes: int) -> None:
    _change_document(context, changes, kilobytes, earlier_version=True)


@then("the learner has the last change and got at most {kilobytes:d} KB")
def check_learner_traffic(context: Context, kilobytes: int) -> None:
    assert context.learner.applied_index == context.leader_log.applied_index
    assert context.traffic.size <= kilobytes * 1024, context.traffic.size


@then("the learner has the last change and got no compressed entries")
def check_older_learner(context: Context) -> None:
    assert context.learner.applied_index == context.leader_log.applied_index
    assert context.traffic.compressed == 0


@given("entries in compressed form")
def compress_some_entries(context: Context) -> None:
    entries = [Entry(number, 1, EntryKind.TERM_START) for number in range(20)]
    context.compressed = compress_entries(entries)
    assert decompress_entries(context.compressed).ok == tuple(entries)


@when("their compressed form is {damage}")
def damage_compressed(context: Context, damage: str) -> None:
    match damage:
        case "cut off":
            context.compressed = context.compressed[:-5]
        case "no compression":
            context.compressed = b"entries"
        case "100 MB of zeros":
            context.compressed = compress_bytes(bytes(100 * 1024 * 1024))


@then("they are refused as malformed")
def check_malformed(context: Context) -> None:
    match decompress_entries(context.compressed):
        case Result(tag="error", error=failure):
            assert failure.code == "malformed_request", failure
        case accepted:
            raise AssertionError(accepted)


@given("a learner that gets the log from a follower")
def add_fed_learner(context: Context) -> None:
    cluster = context.cluster
    cluster.config = cluster.config._replace(passes_on=True)
    follower = next(name for name in cluster.instances if name != cluster.leader().name)
    cluster.feed_from("l0", follower)
    context.senders = Counter()
    send = cluster.network.send

    async def record(sender: str, receiver: str, message: Any) -> None:
        if receiver == "l0":
            context.senders[sender] += 1
        await send(sender, receiver, message)

    cluster.network.send = record

    async def run() -> None:
        await cluster.join("l0", durable=False)
        await sleep(0.1)
        await cluster.instances[follower].agreement.feed("l0")
        await sleep(1)

    context.kernel.run(run)


@when("{changes:d} changes of a document of {kilobytes:d} KB are accepted")
def change_document(context: Context, changes: int, kilobytes: int) -> None:
    context.delays = []

    async def run() -> None:
        cluster = context.cluster
        leader = cluster.leader()
        clock = HostClock(leader.host)
        learner = cluster.instances["l0"]
        for number in range(changes):
            body = f"document {number}".encode() + bytes(kilobytes * 1024)
            proposal = Proposal(f"change-{number}", clock.now(), body)
            assert (await leader.agreement.propose(proposal)).is_ok()
            accepted_at = clock.monotonic_time()
            while learner.agreement.applied_index < leader.agreement.applied_index:
                await sleep(0.005)
                assert clock.monotonic_time() - accepted_at < timedelta(seconds=5)
            context.delays.append(clock.monotonic_time() - accepted_at)
            await sleep(0.2)

    context.kernel.run(run)


@then(
    "the learner has each change within {milliseconds:d} ms "
    "and takes itself for caught up"
)
def check_delays(context: Context, milliseconds: int) -> None:
    limit = timedelta(milliseconds=milliseconds)
    assert max(context.delays) <= limit, context.delays
    assert context.cluster.instances["l0"].agreement.caught_up_since_start()


@then("the leader has sent the learner nothing")
def check_leader_silent(context: Context) -> None:
    leader = context.cluster.leader().name
    assert context.senders and leader not in context.senders, context.senders


@when("the machine is suspended for {seconds:d} seconds")
def suspend(context: Context, seconds: int) -> None:
    suspended = 0.0

    def read_clock(clock: int) -> float:
        """Return what the operating system says; only one clock counts suspensions."""
        return {CLOCK_MONOTONIC: 100.0, CLOCK_BOOTTIME: 100.0 + suspended}[clock]

    with patch("lovagetray._clock.clock_gettime", read_clock):
        before = SystemClock().monotonic_time()
        suspended = float(seconds)
        context.advanced = SystemClock().monotonic_time() - before


@then("the clock of the process has advanced by {seconds:d} seconds")
def check_advanced(context: Context, seconds: int) -> None:
    assert context.advanced == timedelta(seconds=seconds), context.advanced
