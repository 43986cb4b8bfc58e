"""Merges records of fixed size."""

from collections.abc import Iterable
from struct import Struct

RECORD_BYTES = 16
_record = Struct(f"{RECORD_BYTES}s")


def greatest_records(parts: Iterable[bytes], top_k: int) -> bytes:
    """Return the greatest records of all parts, greatest first, compared by byte.

    Parameters
    ----------
    parts
        Records in any order; a remainder shorter than a record is left out.
    top_k
        How many records to return at most; equal ones all count.
    """
    records = [
        record
        for part in parts
        for (record,) in _record.iter_unpack(_whole_records(part))
    ]
    records.sort(reverse=True)
    return b"".join(records[:top_k])


def _whole_records(part: bytes) -> bytes:
    remainder = len(part) % RECORD_BYTES
    return part[:-remainder] if remainder else part
