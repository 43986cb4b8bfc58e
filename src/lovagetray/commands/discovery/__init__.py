"""Announcements of replicas, from replicas and from other instances."""

from lovagetray.commands.discovery._replica_gossip import ReplicaGossip
