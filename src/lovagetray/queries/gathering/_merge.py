"""Merges fixed-size records of several shards."""

from collections.abc import Iterable
from struct import Struct

RECORD_BYTES = 16
_record_struct = Struct(f"{RECORD_BYTES}s")


def greatest_records(parts: Iterable[bytes], top_k: int) -> bytes:
    """Return the greatest records of all parts in descending bytewise order.

    Parameters
    ----------
    parts
        Concatenated records of 16 bytes in any order. A shorter remainder at the end
        of a part is ignored.
    top_k
        Largest number of records to return; duplicates are not removed.
    """
    records = [
        record
        for part in parts
        for (record,) in _record_struct.iter_unpack(_without_remainder(part))
    ]
    records.sort(reverse=True)
    return b"".join(records[:top_k])


def _without_remainder(part: bytes) -> bytes:
    remainder = len(part) % RECORD_BYTES
    return part[:-remainder] if remainder else part
