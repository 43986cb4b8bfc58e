"""Fake network and instances that share replicas, in virtual time."""

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
_FAILURE_TIMEOUT = timedelta(milliseconds=1500)
_DELIVERY_SECONDS = 0.001


class FreezableClock:
    """Clock whose sleeps and timeouts do not end while its instance is frozen."""

    def __init__(self, instance: "FakeInstance") -> None:
        self._clock = SystemClock()
        self._instance = instance

    def now(self) -> datetime:
        return self._clock.now()

    def monotonic_time(self) -> timedelta:
        return self._clock.monotonic_time()

    async def sleep(self, duration: timedelta) -> None:
        await self._clock.sleep(duration)
        await self._instance.wait_while_frozen()

    async def with_timeout(
        self, timeout: timedelta, work: Awaitable[Any]
    ) -> Result[Any, Any]:
        result = await self._clock.with_timeout(timeout, work)
        await self._instance.wait_while_frozen()
        return result


class LiveListLease:
    """Lease from the live lists of the fake leader, which runs from their send time."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._clock = SystemClock()
        self._names: frozenset[str] | None = None
        self._expires_at = timedelta(0)

    def update(self, names: frozenset[str], sent_at: timedelta) -> None:
        self._names = names
        if self._name in names:
            self._expires_at = sent_at + _LEASE

    def live(self) -> frozenset[str] | None:
        return self._names

    def lease_valid(self) -> bool:
        listed = self._names is not None and self._name in self._names
        return listed and self._clock.monotonic_time() <= self._expires_at


class FakeNetwork:
    """Network of the instances and the fake leader.

    A pair of sender and receiver in `cut_links` stops messages in this direction only.
    """

    def __init__(self) -> None:
        self.instances: dict[str, FakeInstance] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self._clock = SystemClock()
        self._heard_at: dict[str, timedelta] = {}

    async def deliver(self, sender: str, receiver: str, item: Any) -> bool:
        instance = self.instances.get(receiver)
        if instance is not None and (sender, receiver) not in self.cut_links:
            await instance.inbox.put((self._clock.monotonic_time(), item))
        return receiver in self.instances

    async def publish_live_instances(self) -> None:
        """Send the live list to every instance four times a second."""
        while True:
            now = self._clock.monotonic_time()
            for name, instance in self.instances.items():
                reachable = (name, LEADER) not in self.cut_links
                if instance.alive and not instance.frozen and reachable:
                    self._heard_at[name] = now
            live = frozenset(
                name
                for name, at in self._heard_at.items()
                if now - at <= _FAILURE_TIMEOUT
            )
            for name in list(self.instances):
                await self.deliver(LEADER, name, live)
            await sleep(0.25)


class FakeInstance:
    """One run of an instance: real pools, ownership and routing on fake interfaces."""

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
        self.inbox: Queue = Queue()
        self.violations = Violations()
        self._thawed = Event()
        self._thawed_at = timedelta(0)
        self._ended = Event()
        self._names = names
        self.clock = FreezableClock(self)
        address = Address("127.0.0.1", 1)
        self.members = Members(
            InstanceRecord(
                InstanceId(name, str(run)),
                InstanceState.SERVING,
                "athens-1",
                address,
                address,
            ),
            _FAILURE_TIMEOUT,
        )
        self.directory = TargetDirectory(timedelta(seconds=3))
        self.lease = LiveListLease(name)
        self._transfer = transfer
        self._dialer = FakeDialer(
            replicas, self.wait_while_frozen, self._had_time_to_learn
        )

    async def wait_while_frozen(self) -> None:
        """Return once the instance is not frozen."""
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
        await self._ended.set()

    async def stop(self) -> None:
        """Announce the end, release all replicas and stop, as a process on SIGTERM."""
        self.members.change_own_state(InstanceState.LEAVING)
        await self._send_to_all(Heartbeat(self.members.own_record))
        await self.clock.sleep(timedelta(seconds=1))
        if await self.targets.release_all(timedelta(seconds=5)):
            await self._send_to_all(Stopped())
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
            await group.spawn(self._send_periodically)
            await group.spawn(self.targets.run)
            await self._ended.wait()

    async def send(self, name: str, message: PeerMessage) -> bool:
        """Return whether `name` is a known peer, to which a message was sent.

        This makes the instance the `OwnershipTransport` of its own parts.
        """
        if not self.alive:
            return False
        encoded = encode_envelope(Envelope(self.members.own_record.instance, message))
        return await self.network.deliver(self.name, name, encoded)

    async def announce(self, announcement: Announcement) -> None:
        """Accept an announcement of a target and relay it, unless frozen or stopped."""
        if self.alive and not self.frozen:
            accept_announcement(self.directory, announcement, self.clock)
            item = AgedAnnouncement(announcement, timedelta(0))
            await self._send_to_all(Announced((item,)))

    def _had_time_to_learn(self) -> bool:
        return self.clock.monotonic_time() - self._thawed_at > timedelta(seconds=3)

    async def _send_to_all(self, message: PeerMessage) -> None:
        for name in self._names:
            if name != self.name:
                await self.send(name, message)

    async def _send_periodically(self) -> None:
        while True:
            self.directory.record_tick(self.clock.monotonic_time())
            await self._send_to_all(Heartbeat(self.members.own_record))
            await self._send_to_all(announcement_digest(self.directory))
            await self.clock.sleep(timedelta(milliseconds=500))

    async def _receive(self) -> None:
        while True:
            sent_at, item = await self.inbox.get()
            elapsed = self.clock.monotonic_time() - sent_at
            await sleep(max(0.0, _DELIVERY_SECONDS - elapsed.total_seconds()))
            await self.wait_while_frozen()
            match item:
                case frozenset():
                    self.lease.update(item, sent_at)
                case encoded:
                    await self._handle(decode_envelope(encoded).ok)

    async def _handle(self, envelope: Envelope) -> None:
        now = self.clock.monotonic_time()
        self.members.record_message(envelope.sender, now)
        match envelope.message:
            case Heartbeat(record=record):
                self.members.update_record(record, now)
            case _:
                await self.targets.handle(envelope)
