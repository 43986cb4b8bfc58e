"""Decides which instances are relays, and which relay an instance subscribes to.

A few instances exchange everything with each other directly. With more, the voters of
the replicated log do so as relays, and each other instance exchanges messages with one
of them only. So the messages of an ordinary instance do not grow with the number of
instances, and those of a relay grow with its share of them.
"""

from collections.abc import Collection, Iterable

from xxhash import xxh64_intdigest

from lovagetray.state import InstanceRecord

# Up to this many instances are all relays. With 20 that send a heartbeat every 300 ms,
# each receives 63 messages a second.
MAX_MESH_INSTANCES = 20


def relay_names(
    known: Collection[str],
    voters: Collection[str],
    seeds: Collection[str],
    is_mesh: bool,
) -> frozenset[str]:
    """Return the names of the relays.

    Parameters
    ----------
    known
        Names of all known instances, including this one.
    voters
        Names of the voters of the replicated log.
    seeds
        Names of the seeds, which are the relays until the voters are known.
    is_mesh
        Whether there are at most `MAX_MESH_INSTANCES` instances.
    """
    if is_mesh:
        return frozenset(known)
    return frozenset(voters or seeds)


def choose_relay(
    name: str,
    data_centre: str,
    relays: Iterable[str],
    records: Collection[InstanceRecord],
    failed: Collection[str],
) -> str | None:
    """Return the relay for an instance or a replica, or None if there is none.

    Relays that have not failed come first, then those in the same data centre, as
    traffic between data centres costs money. Among equal ones rendezvous hashing
    spreads the names.

    Parameters
    ----------
    records
        Records of the known instances, which tell the data centres of the relays.
    failed
        Relays that did not answer lately.
    """
    data_centres = {record.instance.name: record.data_centre for record in records}

    def rank(relay: str) -> tuple[bool, bool, int]:
        return (
            relay not in failed,
            data_centres.get(relay) == data_centre,
            xxh64_intdigest(f"{name}\0{relay}".encode()),
        )

    return max(relays, key=rank, default=None)
