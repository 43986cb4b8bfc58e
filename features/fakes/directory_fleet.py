"""Many instances that share the directory through relays, in virtual time."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from random import Random
from typing import Any

from curio import sleep, spawn
from fakes.replica_script import make_notice

from lovagetray import Address, SystemClock
from lovagetray._peer_messages import (
    Envelope,
    FeedUpdate,
    PeerMessage,
    Subscribe,
    SubscribersHeard,
)
from lovagetray._routing_types import ReplicaNotice
from lovagetray._types import InstanceCapacity, InstanceId
from lovagetray.commands.discovery import FeedPublisher, ReplicaGossip, Subscription
from lovagetray.state import (
    InstanceRecord,
    InstanceState,
    Members,
    Relays,
    ReplicaDirectory,
)
from lovagetray.wire import encode_envelope

_LIFETIME = timedelta(seconds=12)
_RETENTION = timedelta(minutes=2)
_DELAY_SECONDS = 0.002
_DATA_CENTRES = 6


class FleetInstance:
    """One instance: what it knows and the tasks that exchange it."""

    def __init__(self, fleet: "DirectoryFleet", number: int) -> None:
        clock = SystemClock()
        self.name = instance_name(number)
        self.data_centre = f"d{number % _DATA_CENTRES}"
        address = Address.parse(self.name)
        record = InstanceRecord(
            InstanceId(self.name, f"run-{number}"),
            InstanceState.SERVING,
            self.data_centre,
            address,
            address,
        )
        self.alive = True
        self.members = Members(
            record, timedelta(seconds=2), own_capacity=InstanceCapacity(1.0, number + 1)
        )
        self.directory = ReplicaDirectory(_LIFETIME, _RETENTION)
        self.relays = Relays(self.name)
        self.relays.update(fleet.relays)
        transport = _Transport(fleet, self)
        self.gossip = ReplicaGossip(
            self.directory,
            self.members,
            self.relays,
            transport,
            clock,
            Random(number),
        )
        self.publisher = FeedPublisher(
            f"run-{number}",
            self.members,
            self.directory,
            self.relays,
            transport,
            clock,
            lambda: fleet.confirmed_ages.get(self.name, timedelta(0)),
            lambda: fleet.limits_cold_replicas,
        )
        self.subscription = Subscription(
            self.members, self.directory, self.relays, transport, clock
        )

    async def run(self) -> None:
        """Start the tasks."""
        for work in (self.gossip.run, self.publisher.run, self.subscription.run):
            await spawn(work, daemon=True)

    async def receive(self, sender: str, message: PeerMessage) -> None:
        """Handle a message as a gateway does."""
        now = SystemClock().monotonic_time()
        match message:
            case Subscribe():
                await self.publisher.receive_subscription(message)
            case FeedUpdate():
                await self.subscription.receive(sender, message)
            case SubscribersHeard(
                names=names, records=records, lost=lost, capacities=capacities
            ):
                for record in records:
                    capacity = capacities.get(record.instance.name)
                    self.members.update_record(record, now, capacity)
                self.members.record_heard(sender, names, now)
                self.members.record_lost(sender, lost)
            case _:
                await self.gossip.receive(sender, message)  # type: ignore


class _Transport:
    """Transport of one instance; counts messages and encoded bytes."""

    def __init__(self, fleet: "DirectoryFleet", own: FleetInstance) -> None:
        self._fleet = fleet
        self._own = own

    async def send(self, name: str, message: PeerMessage) -> None:
        await self._fleet.send(self._own, name, message)

    async def broadcast(self, message: PeerMessage) -> None:
        for name in self._own.relays.others:
            await self._fleet.send(self._own, name, message)


class DirectoryFleet:
    """A fleet whose first instances, one in each data centre but one, are relays.

    Parameters
    ----------
    size
        Number of instances.
    """

    def __init__(self, size: int) -> None:
        self.relays = [instance_name(number) for number in range(_DATA_CENTRES - 1)]
        self.confirmed_ages: dict[str, timedelta] = {}
        self.sent_bytes: Counter[str] = Counter()
        self.sent_messages: Counter[str] = Counter()
        self.limits_cold_replicas = True
        self.bytes_between_data_centres = 0
        self.cut: set[str] = set()
        self.instances = {
            instance.name: instance
            for instance in (FleetInstance(self, number) for number in range(size))
        }

    @property
    def subscribers(self) -> list[FleetInstance]:
        """The instances that are no relays."""
        return [
            instance
            for name, instance in self.instances.items()
            if name not in self.relays
        ]

    async def start(self) -> None:
        """Start all instances; relays know each other."""
        now = SystemClock().monotonic_time()
        for name in self.relays:
            for other in self.relays:
                members = self.instances[other].members
                self.instances[name].members.update_record(
                    members.own_record, now, members.own_capacity
                )
        for instance in self.instances.values():
            await instance.run()
        await spawn(self._heartbeats, daemon=True)

    async def announce(self, replicas: Iterable[int], sequence: int) -> None:
        """Let replicas send a notice: the first to all instances in turn.

        The later ones go to the relays, whose addresses the replicas have got.
        """
        receivers = list(self.instances if sequence == 1 else self.relays)
        for number in replicas:
            receiver = self.instances[receivers[number % len(receivers)]]
            await receiver.gossip.accept(fleet_notice(number, sequence=sequence))

    async def send(
        self, sender: FleetInstance, name: str, message: PeerMessage
    ) -> None:
        """Deliver a message after the delay of the network, unless a link is cut."""
        size = sum(map(len, encode_envelope(Envelope(_SENDER, message))))
        self.sent_messages[sender.name] += 1
        self.sent_bytes[sender.name] += size
        receiver = self.instances[name]
        if receiver.data_centre != sender.data_centre:
            self.bytes_between_data_centres += size
        if {sender.name, name} & self.cut or not (sender.alive and receiver.alive):
            return
        await spawn(self._deliver, sender.name, receiver, message, daemon=True)

    def knowing(self, replica: str) -> list[str]:
        """Return the names of the live instances that would use a replica."""
        return [
            name
            for name, instance in self.instances.items()
            if instance.alive
            and any(
                known.notice.replica == replica and known.usable
                for known in instance.directory.known_replicas()
            )
        ]

    async def _deliver(
        self, sender: str, receiver: FleetInstance, message: Any
    ) -> None:
        await sleep(_DELAY_SECONDS)
        if receiver.alive:
            await receiver.receive(sender, message)

    async def _heartbeats(self) -> None:
        """Let relays hear each other, as they do by the transport's heartbeats."""
        while True:
            now = SystemClock().monotonic_time()
            for name in self.relays:
                heard = [
                    other
                    for other in self.relays
                    if self.instances[other].alive and not {name, other} & self.cut
                ]
                self.instances[name].members.record_heard("", heard, now)
            await sleep(0.3)


_SENDER = InstanceId("10.0.0.1:7000", "0123456789abcdef")


def instance_name(number: int) -> str:
    """Return the name of an instance, its peer address."""
    return f"10.{number % _DATA_CENTRES}.{number // 250}.{number % 250 + 1}:7000"


def fleet_notice(number: int, **changes: Any) -> ReplicaNotice:
    """Return a notice of a replica."""
    address = Address(f"10.{number % 3}.9.{number // 3 + 1}", 8000)
    notice = make_notice(f"r{number}", f"s{number // 3}")
    return notice._replace(address=address, **changes)
