"""The instances that a gateway exchanges messages with, and which are live."""

from collections.abc import Collection
from datetime import timedelta
from random import Random
from typing import NamedTuple

from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._peer_messages import (
    Heartbeat,
    KnownInstances,
    PeerMessage,
    SubscribersHeard,
)
from lovagetray._types import Address, InstanceCapacity, InstanceId
from lovagetray.commands.agreement import Agreement
from lovagetray.commands.discovery import ReplicaGossip
from lovagetray.gateway._referrals import Referrals
from lovagetray.queries.membership import MAX_MESH_INSTANCES, choose_relay, relay_names
from lovagetray.state import (
    InstanceRecord,
    InstanceState,
    KnownInstance,
    Members,
    Relays,
)
from lovagetray.wire import PeerTransport

_log = get_logger()
# Callers wait 1 s for an instance that does not answer; failures are detected sooner.
_HEARTBEAT_INTERVAL = timedelta(milliseconds=300)
_FAILURE_TIMEOUT = timedelta(milliseconds=950)
# A subscriber is heard by its relay every 500 ms, and the other relays are told as
# often, and of a lost one at once.
_SUBSCRIBER_FAILURE_TIMEOUT = timedelta(seconds=2)
# Interval of heartbeats between a relay and an instance that subscribes to another one.
# They only make an instance that started again known.
_DISTANT_INTERVAL = timedelta(seconds=10)
# Who is a relay changes while the fleet starts, and seldom later.
_STARTUP_TOPOLOGY_INTERVAL = timedelta(milliseconds=250)
_TOPOLOGY_INTERVAL = timedelta(seconds=1)
_STARTUP_DURATION = timedelta(seconds=10)
_GOSSIP_INTERVAL = timedelta(seconds=1)
# With no relay heard for this long, the seeds and the relays that other instances name
# are tried as well. Subscribers hear their relay every 500 ms.
_RELAY_LOST_TIMEOUT = timedelta(seconds=5)


class RelayTransport(NamedTuple):
    """Transport whose broadcasts go to the other relays only."""

    peers: PeerTransport
    relays: Relays

    async def send(self, name: str, message: PeerMessage) -> object:
        """Queue a message to one instance."""
        return await self.peers.send(name, message)

    async def broadcast(self, message: PeerMessage) -> None:
        """Queue a message to every other relay."""
        for name in self.relays.others:
            await self.peers.send(name, message)


class Instances:
    """The other instances: their records, their liveness and the transport to them.

    `attach` sets the replicated log and the replica gossip, which are notified of new
    instances. It must be called before any task runs.
    """

    _agreement: Agreement
    _replica_gossip: ReplicaGossip

    def __init__(self, settings: GatewaySettings, clock: Clock, random: Random) -> None:
        self._name = settings.name
        self._seeds = settings.seeds
        self._clock = clock
        self._random = random
        self.relays = Relays(settings.name)
        # Largest number of instances that another one knows.
        self._fleet_size = 1
        self.members = Members(
            _own_record(settings, random),
            _FAILURE_TIMEOUT,
            self._failure_timeout_of,
            settings.capacity,
        )
        self._referrals = Referrals(self.members, self.relays)
        self.peers = PeerTransport(
            self.members.own_record.instance,
            settings.addresses.peer,
            clock,
            self.heartbeat,
            self._time_since_heard,
            _FAILURE_TIMEOUT,
            _HEARTBEAT_INTERVAL,
            self._is_close,
            _DISTANT_INTERVAL,
        )

    def attach(self, agreement: Agreement, replica_gossip: ReplicaGossip) -> None:
        """Set the replicated log and replica gossip, notified of new instances."""
        self._agreement = agreement
        self._replica_gossip = replica_gossip

    def count(self) -> int:
        """Return the number of known instances, including this one."""
        return len(self.members.known_instances()) + 1

    def relay_for(self, name: str, data_centre: str) -> str | None:
        """Return the live relay for a replica; None if all instances are relays."""
        if self._is_mesh():
            return None
        now = self._clock.monotonic_time()
        records = self.members.live_among(self.relays.names, now)
        live = [record.instance.name for record in records]
        return choose_relay(name, data_centre, live, records, failed=())

    def feeds(self, name: str, leads: bool, is_subscribed: bool) -> bool:
        """Return whether this instance sends the replicated log to another one.

        In a large fleet the leader sends it to relays, to instances with a disk, which
        may become voters, and to those that do not subscribe to any relay, as earlier
        versions do. All relays pass it on to their subscribers.

        Parameters
        ----------
        leads
            Whether this instance is the leader of the log.
        is_subscribed
            Whether the other one subscribes to this instance.
        """
        if self._is_mesh() or name in self.relays.names:
            return leads
        capacity = self.members.capacity(name)
        if capacity is None or capacity.disk:
            return leads
        return is_subscribed

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat message, with the record and capacity of this one."""
        return Heartbeat(
            self.members.own_record, self.members.own_capacity, confirms_quotas=True
        )

    async def change_state(self, state: InstanceState) -> None:
        """Set the state of this instance and broadcast it."""
        self.members.change_own_state(state)
        await self.peers.broadcast(self.heartbeat())

    def initial_peers(self) -> dict[str, Address]:
        """Return the addresses of the seeds and of the voters in the log, by name.

        The voters in the log on the disk are included because they must find each other
        after a restart even if the seeds are down or were replaced.
        """
        peers = {str(seed): seed for seed in self._seeds}
        for name in self._agreement.voters.names:
            peers[name] = Address.parse(name)
        peers.pop(self._name, None)
        return peers

    async def add_peer(self, name: str, address: Address) -> None:
        """Start to exchange messages with an instance; no effect for a known one."""
        if name == self._name or name in self.peers.names:
            return
        await self.peers.add(name, address)
        await self._agreement.add_peer(name)
        await self.peers.send(name, self.heartbeat())

    async def receive(
        self,
        sender: str,
        message: Heartbeat | KnownInstances | SubscribersHeard,
        now: timedelta,
    ) -> None:
        """Handle records of another instance, of itself or of those that it knows."""
        match message:
            case Heartbeat(record=record, capacity=capacity):
                await self._receive_record(record, capacity, now)
            case KnownInstances(records=records, total=total):
                self._fleet_size = max(self._fleet_size, total, len(records))
                self._referrals.accept(message)
                self._update_relays()
                if total < self._total():
                    # The first message to a new instance is often lost, as the
                    # connection to it is not open yet.
                    await self.peers.send(sender, self._known_instances())
                for record in records:
                    await self._meet(record.instance.name, record.peer_address)
            case SubscribersHeard(
                names=names, records=records, lost=lost, capacities=capacities
            ):
                for record in records:
                    known_capacity = capacities.get(record.instance.name)
                    self.members.update_record(record, now, known_capacity)
                    await self._meet(record.instance.name, record.peer_address)
                self.members.record_heard(sender, names, now)
                self.members.record_lost(sender, lost)

    async def follow_topology(self) -> None:
        """Keep up with who is a relay, and with whom messages are exchanged."""
        started_at = self._clock.monotonic_time()
        while True:
            self._update_relays()
            await self._adjust_peers()
            uptime = self._clock.monotonic_time() - started_at
            await self._clock.sleep(
                _STARTUP_TOPOLOGY_INTERVAL
                if uptime < _STARTUP_DURATION
                else _TOPOLOGY_INTERVAL
            )

    async def gossip(self) -> None:
        """Send the known instances to a random peer each second, until cancelled.

        In a small fleet all instances learn of each other in this way. In a large one
        each learns how many there are, and that it has to subscribe to a relay.
        """
        while True:
            await self._clock.sleep(_GOSSIP_INTERVAL)
            names = self.peers.names
            if names:
                await self.peers.send(
                    self._random.choice(names), self._known_instances()
                )

    def _update_relays(self) -> None:
        was_relay = self.relays.is_relay
        known = {known.record.instance.name for known in self._known()}
        voters = frozenset(self._agreement.voters.names)
        if self._referrals.named and not self._hears_any(voters):
            # Nothing is known of the voters, or all of them were replaced.
            voters = self._referrals.named
        self.relays.update(
            relay_names(
                known | {self._name},
                voters,
                [str(seed) for seed in self._seeds],
                self._is_mesh(),
            )
        )
        if self.relays.is_relay == was_relay:
            return
        _log.info("relay_role", relay=self.relays.is_relay)
        if self.relays.is_relay:
            self.members.judge_itself(self._clock.monotonic_time())

    async def _receive_record(
        self,
        record: InstanceRecord,
        capacity: InstanceCapacity | None,
        now: timedelta,
    ) -> None:
        """Update an instance's record; exchange what is known with a new instance."""
        name = record.instance.name
        known = self.members.record(name)
        self.members.update_record(record, now, capacity)
        if known is None:
            self._update_relays()
        await self._meet(name, record.peer_address)
        if known is None or known.instance != record.instance:
            _log.info("instance_met", instance=name, state=record.state.value)
            await self.peers.send(name, self.heartbeat())
            await self.peers.send(name, self._known_instances())
            if name in self.relays.names:
                await self._replica_gossip.request_missing(name)
        referral = self._referrals.next_for(name, self._total(), now)
        if referral is not None:
            # The connection is closed again when the peers are adjusted. The instance
            # asks again with its next heartbeat, in case the message is lost.
            await self.add_peer(name, record.peer_address)
            await self.peers.send(name, referral)

    async def _meet(self, name: str, address: Address) -> None:
        """Exchange messages with an instance if one of both is a relay."""
        if self._is_mesh() or self.relays.is_relay or name in self.relays.names:
            await self.add_peer(name, address)

    async def _adjust_peers(self) -> None:
        """Start and stop exchanging messages, as the relays have changed."""
        if self._is_mesh():
            return
        for known in self._known():
            record = known.record
            await self._meet(record.instance.name, record.peer_address)
        needed = set(self.relays.names) | self._direct_feeders()
        for name in needed - {self._name}:
            await self.add_peer(name, Address.parse(name))
        if not self.relays.is_relay:
            if not self._hears_any(needed):
                needed |= {str(seed) for seed in self._seeds}
            for name in set(self.peers.names) - needed:
                await self.peers.remove(name)

    def _direct_feeders(self) -> set[str]:
        """Return the leader if it sends the replicated log to this instance itself.

        It does so to each instance with a disk, and needs the replies. Before the log
        names the voters, this instance may take others for the relays.
        """
        capacity = self.members.own_capacity
        leader = self._agreement.leader
        return {leader} if leader and capacity and capacity.disk else set()

    def _hears_any(self, names: Collection[str]) -> bool:
        """Return whether any of the other instances of some names was heard lately."""
        return any(
            self._time_since_heard(name) < _RELAY_LOST_TIMEOUT
            for name in names
            if name != self._name
        )

    def _is_mesh(self) -> bool:
        """Return whether all instances exchange messages with each other."""
        return self._total() <= MAX_MESH_INSTANCES

    def _known(self) -> tuple[KnownInstance, ...]:
        return self.members.known_instances()

    def _is_close(self, name: str) -> bool:
        """Return whether heartbeats are exchanged with an instance at the full rate."""
        return self.relays.is_relay and name in self.relays.names

    def _failure_timeout_of(self, name: str) -> timedelta:
        if name in self.relays.names:
            return _FAILURE_TIMEOUT
        return _SUBSCRIBER_FAILURE_TIMEOUT

    def _known_instances(self) -> KnownInstances:
        records = [known.record for known in self._known()] if self._is_mesh() else []
        return KnownInstances(tuple(records), self._total())

    def _total(self) -> int:
        """Return the largest number of instances that this or another one knows."""
        return max(self.count(), self._fleet_size)

    def _time_since_heard(self, name: str) -> timedelta:
        return self.members.time_since_heard(name, self._clock.monotonic_time())


def _own_record(settings: GatewaySettings, random: Random) -> InstanceRecord:
    # Random and not the time, because wall clocks jump and no two starts may have the
    # same incarnation.
    incarnation = f"{random.getrandbits(64):016x}"
    return InstanceRecord(
        instance=InstanceId(settings.name, incarnation),
        state=InstanceState.STARTING,
        data_centre=settings.data_centre,
        http_address=settings.addresses.front,
        peer_address=settings.addresses.peer,
    )
