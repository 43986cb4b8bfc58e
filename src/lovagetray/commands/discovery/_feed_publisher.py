"""The work of a relay: passes the directory on to its subscribers and other relays."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from lovagetray._clock import Clock
from lovagetray._peer_messages import FeedUpdate, Subscribe, SubscribersHeard
from lovagetray.commands.discovery._replica_gossip import NoticeTransport
from lovagetray.state import (
    DirectoryFeed,
    FedInstance,
    FedReplica,
    FeedEntry,
    FeedPosition,
    InstanceRecord,
    Members,
    Relays,
    ReplicaDirectory,
    is_repetition,
)

_PUBLISH_INTERVAL = timedelta(milliseconds=100)
_RELAY_INTERVAL = timedelta(milliseconds=500)
# Every so often the records of all subscribers are sent, to make up for lost messages.
_COMPLETE_RELAY_ROUNDS = 10
# A subscriber that misses two polls has died or turned to another relay.
_SUBSCRIPTION_TIMEOUT = timedelta(milliseconds=1200)
# Subscribers count the time of a warm-up themselves. They are told again if it ends
# later by more than the time that notices are usually under way.
_WARM_UP_TOLERANCE = timedelta(seconds=1)


@dataclass(slots=True)
class _Subscriber:
    """A subscriber of this relay.

    Parameters
    ----------
    position
        Newest position that was sent to it.
    relayed
        Whether the other relays have got its record.
    """

    record: InstanceRecord
    position: FeedPosition
    heard_at: timedelta
    relayed: bool = False


class FeedPublisher:
    """Publishes the directory of this instance while it is a relay.

    Parameters
    ----------
    run
        Identity of this run of the instance.
    confirmed_age
        Returns the time since a majority confirmed this instance; None if it never did.
    limits_cold_replicas
        Returns whether subscribers need the end of each warm-up; otherwise they are
        told only that a replica warms up.
    """

    def __init__(
        self,
        run: str,
        members: Members,
        directory: ReplicaDirectory,
        relays: Relays,
        transport: NoticeTransport,
        clock: Clock,
        confirmed_age: Callable[[], timedelta | None],
        limits_cold_replicas: Callable[[], bool] = lambda: True,
    ) -> None:
        self._feed = DirectoryFeed(run)
        self._members = members
        self._directory = directory
        self._relays = relays
        self._transport = transport
        self._clock = clock
        self._confirmed_age = confirmed_age
        self._limits_cold_replicas = limits_cold_replicas
        self._subscribers: dict[str, _Subscriber] = {}
        self._replicas: dict[str, FedReplica] = {}
        # End of the warm-up by the notice in the entry, by its key.
        self._cold_until: dict[str, timedelta] = {}
        self._replicas_revision = -1

    def is_subscribed(self, name: str) -> bool:
        """Return whether an instance subscribes to this relay."""
        return name in self._subscribers

    async def receive_subscription(self, message: Subscribe) -> None:
        """Answer a subscriber with the changes that it lacks."""
        now = self._clock.monotonic_time()
        record = message.record
        name = record.instance.name
        known = self._subscribers.get(name)
        relayed = known is not None and known.relayed and known.record == record
        self._members.update_record(record, now, message.capacity)
        if self._feed.position.version == 0:
            self._publish(now)
        self._subscribers[name] = _Subscriber(record, message.position, now, relayed)
        await self._update(name, self._subscribers[name])

    async def run(self) -> None:
        """Publish and push changes, and tell the other relays, until cancelled."""
        rounds = 0
        relayed_at = self._clock.monotonic_time()
        while True:
            await self._clock.sleep(
                _PUBLISH_INTERVAL if self._subscribers else _RELAY_INTERVAL
            )
            now = self._clock.monotonic_time()
            if not self._relays.is_relay:
                self._subscribers.clear()
                continue
            await self._drop_silent(now)
            if self._subscribers and self._publish(now):
                await self.push()
            if now - relayed_at >= _RELAY_INTERVAL and self._subscribers:
                relayed_at = now
                rounds += 1
                await self._tell_relays(complete=rounds % _COMPLETE_RELAY_ROUNDS == 0)

    async def push(self) -> None:
        """Send each subscriber what changed since its last update."""
        for name, subscriber in list(self._subscribers.items()):
            if subscriber.position != self._feed.position:
                await self._update(name, subscriber)

    async def _drop_silent(self, now: timedelta) -> None:
        lost = tuple(
            name
            for name, subscriber in self._subscribers.items()
            if now - subscriber.heard_at > _SUBSCRIPTION_TIMEOUT
        )
        if not lost:
            return
        for name in lost:
            del self._subscribers[name]
        self._members.record_lost(None, lost)
        message = SubscribersHeard(tuple(self._subscribers), (), lost)
        await self._transport.broadcast(message)

    def _publish(self, now: timedelta) -> bool:
        return self._feed.publish(self._entries(now))

    def _entries(self, now: timedelta) -> Mapping[str, FeedEntry]:
        own = self._members.own_record
        entries: dict[str, FeedEntry] = {
            f"instance {own.instance.name}": FedInstance(
                own, True, self._members.own_capacity
            )
        }
        for known in self._members.known_instances():
            key = f"instance {known.record.instance.name}"
            live = self._members.is_live(known, now)
            entries[key] = FedInstance(known.record, live, known.capacity)
        entries.update(self._replica_entries())
        return entries

    def _replica_entries(self) -> Mapping[str, FedReplica]:
        """Return the entries of the replicas; a repeated notice changes none."""
        if self._replicas_revision == self._directory.revision:
            return self._replicas
        self._replicas_revision = self._directory.revision
        former = self._replicas
        limits_cold = self._limits_cold_replicas()
        self._replicas = {}
        for known in self._directory.known_replicas():
            key = f"replica {known.notice.replica}"
            entry = FedReplica(known.notice, known.leaving, known.silent)
            old = former.get(key)
            if (
                old is not None
                and is_repetition(old.notice, entry.notice)
                and not (
                    limits_cold
                    and known.cold_until - self._cold_until[key] > _WARM_UP_TOLERANCE
                )
            ):
                entry = entry._replace(notice=old.notice)
            else:
                self._cold_until[key] = known.cold_until
            self._replicas[key] = entry
        for key in former.keys() - self._replicas.keys():
            del self._cold_until[key]
        return self._replicas

    async def _update(self, name: str, subscriber: _Subscriber) -> None:
        changes = self._feed.changes_since(subscriber.position)
        subscriber.position = changes.position
        await self._transport.send(
            name,
            FeedUpdate(
                changes.after,
                changes.position,
                changes.instances,
                changes.replicas,
                self._confirmed_age(),
            ),
        )

    async def _tell_relays(self, complete: bool) -> None:
        records = []
        for subscriber in self._subscribers.values():
            if complete or not subscriber.relayed:
                records.append(subscriber.record)
                subscriber.relayed = True
        known = self._members.capacities()
        capacities = {
            name: known[name]
            for name in (record.instance.name for record in records)
            if name in known
        }
        message = SubscribersHeard(
            tuple(self._subscribers), tuple(records), capacities=capacities
        )
        await self._transport.broadcast(message)
