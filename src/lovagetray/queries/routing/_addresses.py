"""Lists the addresses that callers connect to.

With many instances only some of them are listed. Each of these then gets enough
requests to keep its connections to replicas open, and replicas have enough connections
for all of them.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from xxhash import xxh64_intdigest

from lovagetray._types import Address
from lovagetray.state import InstanceRecord

# Up to this many instances are all listed.
_MAX_ALL_LISTED = 20
# Of more, this share is listed, but at least a minimum and at most what an answer may
# hold. A query over 63 shards takes about 30 ms of the smallest instance, so 25 of 200
# carry 125 queries a second at 0.15 of their time.
_LISTED_SHARE = 0.125
_MIN_LISTED = 12
_MAX_LISTED = 64
# Share of the replicas of the data centre with most of them that another data centre
# needs for its instances to be listed.
_MIN_REPLICA_SHARE = 0.5


class AddressList(NamedTuple):
    """Addresses for a caller and how long the caller may cache them."""

    addresses: tuple[Address, ...]
    lifetime: timedelta


def listed_instances(
    serving: Sequence[InstanceRecord], replicas: Mapping[str, int]
) -> list[InstanceRecord]:
    """Return the serving instances that callers should connect to, sorted by name.

    Parameters
    ----------
    replicas
        Number of usable replicas by data centre.

    Notes
    -----
    If there are many, instances in data centres with many replicas are listed: their
    requests to replicas stay in the data centre. Among them every data centre has the
    same number, as far as it has as many. Rendezvous hashing of the names makes all
    instances that know the same ones list the same ones.
    """
    if len(serving) <= _MAX_ALL_LISTED:
        return list(serving)
    count = min(_MAX_LISTED, max(_MIN_LISTED, round(_LISTED_SHARE * len(serving))))
    most = max(replicas.values(), default=0)
    near = [
        record
        for record in serving
        if replicas.get(record.data_centre, 0) >= _MIN_REPLICA_SHARE * most
    ]
    others = [record for record in serving if record not in near]
    listed = _take_evenly(near, count)
    listed += _take_evenly(others, count - len(listed))
    return sorted(listed, key=lambda record: record.instance.name)


def _take_evenly(records: Sequence[InstanceRecord], count: int) -> list[InstanceRecord]:
    """Return up to `count` records, as evenly by data centre as possible."""
    by_hash = sorted(
        records, key=lambda record: xxh64_intdigest(record.instance.name.encode())
    )
    position: Counter[str] = Counter()
    ranked: list[tuple[int, int]] = []
    for index, record in enumerate(by_hash):
        ranked.append((position[record.data_centre], index))
        position[record.data_centre] += 1
    return [by_hash[index] for _, index in sorted(ranked)[:count]]
