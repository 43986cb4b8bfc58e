"""Feed of the directory: versioned changes that a relay passes on to subscribers."""

from collections.abc import Mapping
from typing import NamedTuple

from lovagetray._routing_types import ReplicaNotice
from lovagetray._types import InstanceCapacity
from lovagetray.state._members import InstanceRecord


class FedInstance(NamedTuple):
    """An instance in the feed; `live` is the judgement of the relay."""

    record: InstanceRecord
    live: bool
    capacity: InstanceCapacity | None = None


class FedReplica(NamedTuple):
    """A replica in the feed.

    Parameters
    ----------
    leaving
        Whether the replica has stated in a response that it is leaving.
    silent
        Whether the relays have not heard of the replica for its lifetime.
    """

    notice: ReplicaNotice
    leaving: bool
    silent: bool


class FeedPosition(NamedTuple):
    """A version of the feed of one run of a relay."""

    run: str
    version: int


FeedEntry = FedInstance | FedReplica


class FeedChanges(NamedTuple):
    """The newest entries that changed after a version.

    Parameters
    ----------
    after
        Version after which the entries changed; 0 if these are all entries.
    """

    after: int
    position: FeedPosition
    instances: tuple[FedInstance, ...]
    replicas: tuple[FedReplica, ...]


class DirectoryFeed:
    """The entries of the directory, each with the version at which it changed last.

    The cost of an update grows with the number of entries, that of a read with the
    number of changes since the reader's position.

    Parameters
    ----------
    run
        Identity of this run of the relay.
    """

    def __init__(self, run: str) -> None:
        self._run = run
        self._version = 0
        # In the order of the last change, the newest last.
        self._entries: dict[str, tuple[FeedEntry, int]] = {}

    @property
    def position(self) -> FeedPosition:
        """The newest version."""
        return FeedPosition(self._run, self._version)

    def publish(self, entries: Mapping[str, FeedEntry]) -> bool:
        """Store the current entries by key; return whether any of them changed."""
        changed = {
            key: entry
            for key, entry in entries.items()
            if key not in self._entries or self._entries[key][0] != entry
        }
        if not changed:
            return False
        self._version += 1
        for key, entry in changed.items():
            self._entries.pop(key, None)
            self._entries[key] = entry, self._version
        return True

    def changes_since(self, position: FeedPosition) -> FeedChanges:
        """Return what changed since a position; all entries for one of another run."""
        known = position.run == self._run and position.version <= self._version
        after = position.version if known else 0
        instances: list[FedInstance] = []
        replicas: list[FedReplica] = []
        for entry, version in reversed(self._entries.values()):
            if version <= after:
                break
            match entry:
                case FedInstance():
                    instances.append(entry)
                case FedReplica():
                    replicas.append(entry)
        return FeedChanges(after, self.position, tuple(instances), tuple(replicas))
