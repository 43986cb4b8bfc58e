"""Which instances a gateway talks to, and which of them are live."""

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
# Callers wait a second for an instance that does not answer.
_HEARTBEAT = timedelta(milliseconds=300)
_SUSPICION = timedelta(milliseconds=950)
# So many instances hear each other directly; 11 cost each 0.03 of a core.
_FULL_PACE = 12
# How often the leader's list of live instances is looked at, and how old it may be.
_FOLLOW = timedelta(milliseconds=250)
_LIST_AGE = timedelta(seconds=2)
_GOSSIP = timedelta(seconds=1)


class Instances:
    """The other instances: talks to each, and knows who is live.

    Parameters
    ----------
    agreement, replica_gossip
        Learn of new instances; `attach` sets them before anything runs.
    """

    _agreement: Agreement
    _replica_gossip: ReplicaGossip

    def __init__(self, settings: GatewaySettings, clock: Clock, random: Random) -> None:
        self._name = settings.name
        self._seeds = settings.seeds
        self._clock = clock
        self._random = random
        self.members = Members(_own_record(settings, random), _SUSPICION, _FULL_PACE)
        self.peers = PeerTransport(
            self.members.own_record.instance,
            settings.addresses.peer,
            clock,
            self.heartbeat,
            self._silence_of,
            _SUSPICION,
            _HEARTBEAT,
            lambda: self.members.interval_factor,
        )

    def attach(self, agreement: Agreement, replica_gossip: ReplicaGossip) -> None:
        """Set who learns of new instances."""
        self._agreement = agreement
        self._replica_gossip = replica_gossip

    def count(self) -> int:
        """Return how many instances are known, this one included."""
        return len(self.members.known_instances()) + 1

    def heartbeat(self) -> Heartbeat:
        """Return the record of this instance as a message."""
        return Heartbeat(self.members.own_record)

    async def change_state(self, state: InstanceState) -> None:
        """Set what this instance says about itself, and tell the others."""
        self.members.change_own_state(state)
        await self.peers.broadcast(self.heartbeat())

    def first_peers(self) -> dict[str, Address]:
        """Return the seeds and the voters that the log on the disk names.

        The seeds may be down or exchanged at a restart; the voters must still find
        each other.
        """
        peers = {str(seed): seed for seed in self._seeds}
        for name in self._agreement.voters.names:
            peers[name] = Address.parse(name)
        peers.pop(self._name, None)
        return peers

    async def know(self, name: str, address: Address) -> None:
        """Talk to an instance from now on."""
        if name == self._name or name in self.peers.names:
            return
        await self.peers.add(name, address)
        await self._agreement.add_peer(name)
        await self.peers.send(name, self.heartbeat())

    async def receive(
        self, message: Heartbeat | KnownInstances, now: timedelta
    ) -> None:
        """Take what another instance says about itself or others."""
        match message:
            case Heartbeat(record=record):
                await self._meet(record, now)
            case KnownInstances(records=records):
                for record in records:
                    await self.know(record.instance.name, record.peer_address)

    async def follow_leader(self) -> None:
        """Take over whom the leader counts as live, as long as its word is fresh."""
        while True:
            await self._clock.sleep(_FOLLOW)
            age = self._agreement.quorum_contact_age()
            if age is not None and age <= _LIST_AGE and self._agreement.live:
                self.members.update_live_list(
                    self._agreement.live, self._clock.monotonic_time()
                )

    async def gossip(self) -> None:
        """Tell one instance whom this one knows, each second."""
        while True:
            await self._clock.sleep(_GOSSIP)
            names = self.peers.names
            if names:
                await self.peers.send(
                    self._random.choice(names), self._known_instances()
                )

    async def _meet(self, record: InstanceRecord, now: timedelta) -> None:
        """Take an instance's own record; tell a new one what is known here."""
        name = record.instance.name
        known = self.members.record(name)
        self.members.update_record(record, now)
        await self.know(name, record.peer_address)
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

    def _silence_of(self, name: str) -> timedelta:
        return self.members.time_since_heard(name, self._clock.monotonic_time())


def _own_record(settings: GatewaySettings, random: Random) -> InstanceRecord:
    # Random, because wall clocks jump and two starts must never share an incarnation.
    incarnation = f"{random.getrandbits(64):016x}"
    return InstanceRecord(
        instance=InstanceId(settings.name, incarnation),
        state=InstanceState.STARTING,
        data_centre=settings.data_centre,
        http_address=settings.addresses.front,
        peer_address=settings.addresses.peer,
    )
