"""Orders instances for callers."""

from collections.abc import Sequence

from xxhash import xxh64_intdigest

from lovagetray.state import InstanceRecord


def addresses_for(
    caller: str, data_centre: str, serving: Sequence[InstanceRecord]
) -> list[InstanceRecord]:
    """Return the serving instances in the order in which a caller should try them.

    Parameters
    ----------
    caller
        Any text that identifies the caller; different callers get different orders.
    data_centre
        The caller's data centre, whose instances come first. May be empty.
    serving
        Instances that accept new requests.
    """

    def rank(record: InstanceRecord) -> tuple[bool, int]:
        is_local = record.data_centre == data_centre
        return is_local, xxh64_intdigest(f"{caller}\0{record.instance.name}".encode())

    return sorted(serving, key=rank, reverse=True)
