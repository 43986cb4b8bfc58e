"""The instances that a gateway exchanges messages with, and which are live."""

from datetime import timedelta
from random import Random

from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._peer_messages import Heartbeat, KnownInstances
from lovagetray._types import Address, InstanceId
from lovagetray.commands.agreement import Agreement
from lovagetray.commands.discovery import ReplicaGossip
from lovagetray.state import InstanceRecord, InstanceState, Members
from lovagetray.wire import PeerTransport

_log = get_logger()
# Callers wait 1 s for an instance that does not answer; failures are detected sooner.
_HEARTBEAT_INTERVAL = timedelta(milliseconds=300)
_FAILURE_TIMEOUT = timedelta(milliseconds=950)
# Up to this many instances exchange heartbeats at the full rate. With 11 instances,
# this takes 0.03 of a core at each.
_FULL_RATE_INSTANCES = 12
# Interval for reading the live list of the leader, and the maximum age of that list.
_LIVE_LIST_INTERVAL = timedelta(milliseconds=250)
_MAX_LIVE_LIST_AGE = timedelta(seconds=2)
_GOSSIP_INTERVAL = timedelta(seconds=1)


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
        self.members = Members(
            _own_record(settings, random), _FAILURE_TIMEOUT, _FULL_RATE_INSTANCES
        )
        self.peers = PeerTransport(
            self.members.own_record.instance,
            settings.addresses.peer,
            clock,
            self.heartbeat,
            self._time_since_heard,
            _FAILURE_TIMEOUT,
            _HEARTBEAT_INTERVAL,
            lambda: self.members.interval_factor,
        )

    def attach(self, agreement: Agreement, replica_gossip: ReplicaGossip) -> None:
        """Set the replicated log and replica gossip, notified of new instances."""
        self._agreement = agreement
        self._replica_gossip = replica_gossip

    def count(self) -> int:
        """Return the number of known instances, including this one."""
        return len(self.members.known_instances()) + 1

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat message, with the record of this instance."""
        return Heartbeat(self.members.own_record)

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
        self, message: Heartbeat | KnownInstances, now: timedelta
    ) -> None:
        """Handle another instance's record of itself or its list of instances."""
        match message:
            case Heartbeat(record=record):
                await self._receive_record(record, now)
            case KnownInstances(records=records):
                for record in records:
                    await self.add_peer(record.instance.name, record.peer_address)

    async def follow_live_list(self) -> None:
        """Copy the live list of the leader, unless it is outdated, until cancelled."""
        while True:
            await self._clock.sleep(_LIVE_LIST_INTERVAL)
            age = self._agreement.quorum_contact_age()
            if age is not None and age <= _MAX_LIVE_LIST_AGE and self._agreement.live:
                self.members.update_live_list(
                    self._agreement.live, self._clock.monotonic_time()
                )

    async def gossip(self) -> None:
        """Send the known instances to a random peer each second, until cancelled."""
        while True:
            await self._clock.sleep(_GOSSIP_INTERVAL)
            names = self.peers.names
            if names:
                await self.peers.send(
                    self._random.choice(names), self._known_instances()
                )

    async def _receive_record(self, record: InstanceRecord, now: timedelta) -> None:
        """Update an instance's record; exchange what is known with a new instance."""
        name = record.instance.name
        known = self.members.record(name)
        self.members.update_record(record, now)
        await self.add_peer(name, record.peer_address)
        if known is None or known.instance != record.instance:
            _log.info("instance_met", instance=name, state=record.state.value)
            await self.peers.send(name, self.heartbeat())
            await self.peers.send(name, self._known_instances())
            await self._replica_gossip.request_missing(name)

    def _known_instances(self) -> KnownInstances:
        return KnownInstances(
            tuple(
                known_instance.record
                for known_instance in self.members.known_instances()
            )
        )

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
