"""Instances in virtual time: network, list of live instances, and their parts."""

from collections.abc import Awaitable
from datetime import datetime, timedelta
from typing import Any

from curio import Event, Queue, TaskGroup, sleep
from expression import Result
from fakes.replica import FakeDialer, FakeReplica

from lovagetray import Address, SystemClock
from lovagetray._peer_messages import (
    AgedAnnouncement,
    Announced,
    Envelope,
    Heartbeat,
    PeerMessage,
    Stopped,
)
from lovagetray._types import Announcement, InstanceId
from lovagetray._violations import Violations
from lovagetray.commands.membership import (
    OwnershipTransfer,
    accept_announcement,
    announcement_digest,
)
from lovagetray.state import InstanceRecord, InstanceState, Members, TargetDirectory
from lovagetray.targets import PoolDependencies, TargetAccess
from lovagetray.wire import decode_envelope, encode_envelope

LEADER = "leader"
_LEASE = timedelta(seconds=2)
_SUSPICION = timedelta(milliseconds=1500)
_LATENCY = 0.001


class GatedClock:
    """A clock whose timers wait while their instance is frozen."""

    def __init__(self, instance: "FakeInstance") -> None:
        self._clock = SystemClock()
        self._instance = instance

    def now(self) -> datetime:
        return self._clock.now()

    def monotonic_time(self) -> timedelta:
        return self._clock.monotonic_time()

    async def sleep(self, duration: timedelta) -> None:
        await self._clock.sleep(duration)
        await self._instance.running()

    async def with_timeout(
        self, limit: timedelta, work: Awaitable[Any]
    ) -> Result[Any, Any]:
        done = await self._clock.with_timeout(limit, work)
        await self._instance.running()
        return done


class ListLease:
    """A lease from lists that the fake leader sent, counted from when it sent them."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._clock = SystemClock()
        self._names: frozenset[str] | None = None
        self._ends = timedelta(0)

    def take(self, names: frozenset[str], sent_at: timedelta) -> None:
        self._names = names
        if self._name in names:
            self._ends = sent_at + _LEASE

    def live(self) -> frozenset[str] | None:
        return self._names

    def lease_valid(self) -> bool:
        listed = self._names is not None and self._name in self._names
        return listed and self._clock.monotonic_time() <= self._ends


class FakeNetwork:
    """Carries messages between instances; directed links can be cut."""

    def __init__(self) -> None:
        self.instances: dict[str, FakeInstance] = {}
        self.cuts: set[tuple[str, str]] = set()
        self._clock = SystemClock()
        self._heard: dict[str, timedelta] = {}

    async def deliver(self, sender: str, receiver: str, item: Any) -> bool:
        instance = self.instances.get(receiver)
        if instance is not None and (sender, receiver) not in self.cuts:
            await instance.arriving.put((self._clock.monotonic_time(), item))
        return receiver in self.instances

    async def publish_live_instances(self) -> None:
        """Send the list of live instances to each of them, four times a second."""
        while True:
            now = self._clock.monotonic_time()
            for name, instance in self.instances.items():
                reachable = (name, LEADER) not in self.cuts
                if instance.alive and not instance.frozen and reachable:
                    self._heard[name] = now
            live = frozenset(
                name for name, at in self._heard.items() if now - at <= _SUSPICION
            )
            for name in list(self.instances):
                await self.deliver(LEADER, name, live)
            await sleep(0.25)


class FakeInstance:
    """One run of an instance: real pools, ownership and routing over fakes."""

    def __init__(
        self,
        name: str,
        run: int,
        names: list[str],
        network: FakeNetwork,
        replicas: dict[str, FakeReplica],
        transfer: type[OwnershipTransfer] = OwnershipTransfer,
    ) -> None:
        self.name = name
        self.network = network
        self.alive = True
        self.frozen = False
        self.arriving: Queue = Queue()
        self.violations = Violations()
        self._thawed = Event()
        self._thawed_at = timedelta(0)
        self._end = Event()
        self._names = names
        self.clock = GatedClock(self)
        address = Address("127.0.0.1", 1)
        self.members = Members(
            InstanceRecord(
                InstanceId(name, str(run)),
                InstanceState.SERVING,
                "athens-1",
                address,
                address,
            ),
            _SUSPICION,
        )
        self.directory = TargetDirectory(timedelta(seconds=3))
        self.lease = ListLease(name)
        self._transfer = transfer
        self._dialer = FakeDialer(replicas, self.running, self._had_time_to_learn)

    async def running(self) -> None:
        """Wait while the instance is frozen."""
        while self.frozen:
            await self._thawed.wait()

    def freeze(self) -> None:
        self.frozen = True
        self._thawed.clear()

    async def thaw(self) -> None:
        self.frozen = False
        self._thawed_at = self.clock.monotonic_time()
        await self._thawed.set()

    async def crash(self) -> None:
        self.alive = False
        await self.thaw()
        await self._end.set()

    async def stop(self) -> None:
        """Leave in order, as a process does on SIGTERM."""
        self.members.change_own_state(InstanceState.LEAVING)
        await self._to_all(Heartbeat(self.members.own_record))
        await self.clock.sleep(timedelta(seconds=1))
        if await self.targets.release_all(timedelta(seconds=5)):
            await self._to_all(Stopped())
        await self.crash()

    async def run(self) -> None:
        """Serve until the instance crashes or stops."""
        async with TaskGroup(wait=None) as group:
            self.targets = TargetAccess(
                self.directory,
                self.members,
                self.lease,
                self,
                lambda: [other for other in self._names if other != self.name],
                PoolDependencies(self._dialer, self.clock, self.violations),
                group,
                lambda: timedelta(seconds=30),
                self._transfer,
            )
            await group.spawn(self._receive)
            await group.spawn(self._keep_house)
            await group.spawn(self.targets.run)
            await self._end.wait()

    async def send(self, name: str, message: PeerMessage) -> bool:
        """Send to a peer; also the `PeerSender` of this instance."""
        if not self.alive:
            return False
        frames = encode_envelope(Envelope(self.members.own_record.instance, message))
        return await self.network.deliver(self.name, name, frames)

    async def announce(self, announcement: Announcement) -> None:
        """Take an announcement from a target, unless frozen, and relay it."""
        if self.alive and not self.frozen:
            accept_announcement(self.directory, announcement, self.clock)
            item = AgedAnnouncement(announcement, timedelta(0))
            await self._to_all(Announced((item,)))

    def _had_time_to_learn(self) -> bool:
        return self.clock.monotonic_time() - self._thawed_at > timedelta(seconds=3)

    async def _to_all(self, message: PeerMessage) -> None:
        for name in self._names:
            if name != self.name:
                await self.send(name, message)

    async def _keep_house(self) -> None:
        while True:
            self.directory.record_tick(self.clock.monotonic_time())
            await self._to_all(Heartbeat(self.members.own_record))
            await self._to_all(announcement_digest(self.directory))
            await self.clock.sleep(timedelta(milliseconds=500))

    async def _receive(self) -> None:
        while True:
            sent_at, item = await self.arriving.get()
            late = self.clock.monotonic_time() - sent_at
            await sleep(max(0.0, _LATENCY - late.total_seconds()))
            await self.running()
            match item:
                case frozenset():
                    self.lease.take(item, sent_at)
                case frames:
                    await self._handle(decode_envelope(frames).ok)

    async def _handle(self, envelope: Envelope) -> None:
        now = self.clock.monotonic_time()
        self.members.record_message(envelope.sender, now)
        match envelope.message:
            case Heartbeat(record=record):
                self.members.update_record(record, now)
            case _:
                await self.targets.handle(envelope)
