"""Metrics of a gateway that are set when they are read."""

from datetime import timedelta

from prometheus_client import generate_latest

from lovagetray._telemetry import (
    AGREEMENT_LEADS,
    AGREEMENT_TERM,
    DIRECTORY_RELAY,
    KNOWN_INSTANCES,
    KNOWN_REPLICAS,
    REPLICA_CHANNELS,
    ROUTING_VERSION,
)
from lovagetray.commands.agreement import Agreement
from lovagetray.gateway._instances import Instances
from lovagetray.state import ReplicaDirectory


def encode_metrics(
    instances: Instances,
    directory: ReplicaDirectory,
    agreement: Agreement,
    version: int,
    open_channels: int,
    now: timedelta,
) -> bytes:
    """Return all metrics in the text format of Prometheus.

    Parameters
    ----------
    version
        Version of the routing document in force.
    open_channels
        Number of connections to replicas that are open or being opened.
    now
        Current time on the monotonic clock.
    """
    ROUTING_VERSION.set(version)
    DIRECTORY_RELAY.set(instances.relays.is_relay)
    live = len(instances.members.live(now))
    KNOWN_INSTANCES.labels("live").set(live)
    KNOWN_INSTANCES.labels("silent").set(instances.count() - live)
    replicas = [known.usable for known in directory.known_replicas()]
    KNOWN_REPLICAS.labels("usable").set(replicas.count(True))
    KNOWN_REPLICAS.labels("unusable").set(replicas.count(False))
    REPLICA_CHANNELS.set(open_channels)
    AGREEMENT_TERM.set(agreement.term)
    own_name = instances.members.own_record.instance.name
    AGREEMENT_LEADS.set(agreement.leader == own_name)
    text: bytes = generate_latest()
    return text
