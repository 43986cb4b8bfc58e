"""The directory of replicas in a gateway: notices, feed and file, assembled."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

from lovagetray._clock import Clock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._peer_messages import FeedUpdate, Subscribe
from lovagetray.commands.agreement import FolderDisk
from lovagetray.commands.discovery import (
    DirectoryStore,
    FeedPublisher,
    ReplicaGossip,
    ReplicaGossipMessage,
    Subscription,
)
from lovagetray.gateway._instances import Instances, RelayTransport
from lovagetray.state import ReplicaDirectory

# A replica expires after this many notice intervals without a notice. Notices may be
# late by seconds, and repeated ones are relayed every 2 s. The failure of a replica is
# detected sooner, by the connections to it.
_MAX_MISSED_NOTICES = 10
# A replica known from the disk is used without a notice for this many intervals.
_CONFIRMING_NOTICES = 3
_REPLICA_RETENTION = timedelta(minutes=2)


class Discovery:
    """The directory of replicas and the work that keeps it up to date.

    Parameters
    ----------
    confirmed_age
        Returns the time since a majority confirmed this instance; None if it never did.
    limits_cold_replicas
        Returns whether the rate of requests to cold replicas is limited.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        instances: Instances,
        clock: Clock,
        random: Random,
        confirmed_age: Callable[[], timedelta | None],
        limits_cold_replicas: Callable[[], bool],
    ) -> None:
        members, relays = instances.members, instances.relays
        transport = RelayTransport(instances.peers, relays)
        self.directory = ReplicaDirectory(
            settings.notice_interval * _MAX_MISSED_NOTICES, _REPLICA_RETENTION
        )
        self._store: DirectoryStore | None = None
        if settings.data_folder is not None:
            # Beside the folder of the log, which is set aside if the log is damaged.
            self._store = DirectoryStore(
                FolderDisk(settings.data_folder.parent / "directory"),
                self.directory,
                relays,
                clock,
                settings.notice_interval * _CONFIRMING_NOTICES,
            )
        self.gossip = ReplicaGossip(
            self.directory,
            members,
            relays,
            transport,
            clock,
            random,
            self._store,
            settings.tolerated_failures,
        )
        self._publisher = FeedPublisher(
            members.own_record.instance.incarnation,
            members,
            self.directory,
            relays,
            transport,
            clock,
            confirmed_age,
            limits_cold_replicas,
        )
        self._subscription = Subscription(
            members, self.directory, relays, transport, clock
        )

    def is_subscribed(self, name: str) -> bool:
        """Return whether an instance subscribes to this one, a relay."""
        return self._publisher.is_subscribed(name)

    async def load(self) -> None:
        """Restore the directory from the disk, if there is one."""
        if self._store is not None:
            await self._store.load()

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks, by name, that run until the process ends."""
        tasks: dict[str, Callable[[], Awaitable[None]]] = {
            "replica_gossip": self.gossip.run,
            "feed_publisher": self._publisher.run,
            "subscription": self._subscription.run,
        }
        if self._store is not None:
            tasks["directory_store"] = self._store.run
        return tasks

    async def receive(
        self, sender: str, message: Subscribe | FeedUpdate | ReplicaGossipMessage
    ) -> None:
        """Handle a message from another instance."""
        match message:
            case Subscribe():
                await self._publisher.receive_subscription(message)
            case FeedUpdate():
                await self._subscription.receive(sender, message)
            case _:
                await self.gossip.receive(sender, message)
