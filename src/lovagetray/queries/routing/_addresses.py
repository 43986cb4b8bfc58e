"""Lists the addresses that callers connect to.

With many instances only some of them are listed. Each of these then gets enough
requests to keep its connections to replicas open, and replicas have enough connections
for all of them.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from datetime import timedelta
from statistics import median_low
from typing import NamedTuple

from xxhash import xxh64_intdigest

from lovagetray._types import Address, InstanceCapacity
from lovagetray.state import InstanceRecord

# Up to this many instances are all listed.
_MAX_ALL_LISTED = 20
# Of more, this share is listed, but at least a minimum and at most what an answer may
# hold. A query over 63 shards takes about 40 ms of a core, so 25 of 200 instances with
# half a core each carry 63 queries a second at a fifth of their time.
_LISTED_SHARE = 0.125
_MIN_LISTED = 12
_MAX_LISTED = 64
# Share of the replicas of the data centre with most of them that another data centre
# needs for its instances to be listed.
_MIN_REPLICA_SHARE = 0.5
# Instances count as fast from this share of the speed of the fastest one.
_FAST_SHARE = 0.5
# With fewer fast instances, the loss of one would fail too many requests.
_MIN_FAST_LISTED = 4
# What a large query takes: processor time, and the responses of 54 replicas of 1 kB
# with their heads. The latter take 80 ms on a link of 7 Mbit/s, nearly all of the
# target latency of such a query.
_QUERY_CORE_SECONDS = 0.01
_QUERY_MEGABITS = 0.56


class AddressList(NamedTuple):
    """Addresses for a caller and how long the caller may cache them."""

    addresses: tuple[Address, ...]
    lifetime: timedelta


def listed_instances(
    serving: Sequence[InstanceRecord],
    replicas: Mapping[str, int],
    capacities: Mapping[str, InstanceCapacity],
) -> list[InstanceRecord]:
    """Return the serving instances that callers should connect to, sorted by name.

    Parameters
    ----------
    replicas
        Number of usable replicas by data centre.
    capacities
        Capacity of the instances by name.

    Notes
    -----
    If there are many, instances in data centres with many replicas are listed: their
    requests to replicas stay in the data centre. If the fast ones among them can do the
    work of those that would be listed otherwise, only they are. Every data centre has
    the same number of listed ones, as far as it has as many. Rendezvous hashing of the
    names makes all instances that know the same ones list the same ones.
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
    listed = _take_evenly(_fast_instances(near, count, capacities) or near, count)
    others = [record for record in serving if record not in near]
    if len(near) < count:
        listed += _take_evenly(others, count - len(listed))
    return sorted(listed, key=lambda record: record.instance.name)


def _fast_instances(
    records: Sequence[InstanceRecord],
    count: int,
    capacities: Mapping[str, InstanceCapacity],
) -> list[InstanceRecord]:
    """Return the fast ones of some instances, or none if they are too few.

    They are enough if they do as much together as `count` instances of median speed.
    An instance that has not stated its capacity counts as the slowest of them.
    """
    known = {
        record.instance.name: _queries_per_second(capacities[record.instance.name])
        for record in records
        if record.instance.name in capacities
    }
    if not known:
        return []
    slowest = min(known.values())
    speeds = {
        record.instance.name: known.get(record.instance.name, slowest)
        for record in records
    }
    limit = _FAST_SHARE * max(speeds.values())
    fast = [record for record in records if speeds[record.instance.name] >= limit]
    together = sum(speeds[record.instance.name] for record in fast)
    if len(fast) < _MIN_FAST_LISTED or together < count * median_low(speeds.values()):
        return []
    return fast


def _queries_per_second(capacity: InstanceCapacity) -> float:
    """Return how many large queries an instance serves in a second, one by one."""
    return 1 / (
        _QUERY_CORE_SECONDS / capacity.cores + _QUERY_MEGABITS / capacity.link_mbps
    )


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
