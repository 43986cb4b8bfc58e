"""Discovery: notices of replicas, and the directory among the instances."""

from lovagetray.commands.discovery._directory_store import DirectoryStore
from lovagetray.commands.discovery._feed_publisher import FeedPublisher
from lovagetray.commands.discovery._replica_gossip import (
    NoticeTransport,
    ReplicaGossip,
    ReplicaGossipMessage,
)
from lovagetray.commands.discovery._subscription import Subscription
