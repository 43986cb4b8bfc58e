"""Commands on notices of replicas, from replicas and other instances."""

from lovagetray.commands.discovery._replica_gossip import ReplicaGossip
