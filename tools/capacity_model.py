"""What each role of the system takes at the sizes of section 1.4."""

from capacity_sheet import (
    CORE,
    ONE_CORE,
    Cost,
    Costs,
    Line,
    Role,
    Sizes,
    exact,
    most,
    short,
)

_TODAY_SLOTS = 5


def total(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return the sum of all sub-requests and what they take."""
    rate = sizes.sub_requests
    per_replica = rate / sizes.replicas
    asked = f"{short(sizes.queries)} × {sizes.fan_out}"

    return [
        Line("sub-requests", exact(rate, asked), "/s", None, "fan-out in two tiers"),
        Line(
            "of a node",
            exact(rate / sizes.nodes, f"{asked} / {short(sizes.nodes)}"),
            "/s",
            None,
            "-",
        ),
        Line(
            "of a replica",
            exact(per_replica, f"{asked} / {short(sizes.replicas)}"),
            "/s",
            None,
            "-",
        ),
        Line(
            "slots of a replica for each ms of its work",
            exact(per_replica / 1000, f"{short(per_replica)} /s × 1 ms"),
            "slots",
            _TODAY_SLOTS,
            f"{_TODAY_SLOTS} slots allow {_TODAY_SLOTS / per_replica * 1e6:.0f} us of"
            " work on each: a target must answer many queries in one pass",
        ),
    ]


def cores_in_all(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return the processes of one core that all sub-requests take."""
    rate = sizes.sub_requests
    bare = costs.each("cpu_per_sub_request_bare")
    entry = costs.each("cpu_per_sub_request_entry")
    batched = costs.each("cpu_sub_request_batch").plus(costs.each("cpu_outcome_batch"))

    def cores(name: str, cost: Cost, mechanism: str) -> Line:
        scaled = cost.times(rate / CORE, f"{short(rate)} /s")
        return Line(name, scaled, "cores", sizes.nodes, mechanism)

    return [
        Line(
            "sub-requests that one core exchanges, entry of today",
            most(CORE, entry, "1 M us"),
            "/s",
            None,
            "-",
        ),
        Line(
            "sub-requests that one core exchanges, bare h11",
            most(CORE, bare, "1 M us"),
            "/s",
            None,
            "-",
        ),
        cores(
            "all exchanges, entry of today",
            entry,
            "one HTTP exchange for each sub-request is too dear",
        ),
        cores(
            "the same with the hop to the owner, both instances",
            costs.each("cpu_per_sub_request_forwarded"),
            "one message for all sub-requests to an owner; merged partial results",
        ),
        cores(
            "all exchanges, bare h11",
            bare,
            "the floor for one HTTP exchange each with Python and h11",
        ),
        cores(
            "all sub-requests, encoding and decoding of batches alone",
            batched,
            "a batch to a target in place of an exchange needs a new target interface,"
            " which section 4.12 excludes, or replicas that each hold more shards",
        ),
    ]


def entry(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what an entry instance takes."""
    rate = sizes.queries / sizes.nodes
    every = f"{short(rate)} /s"
    whole = costs.of("cpu_per_query_in_process", sizes.fan_out)
    tiered = costs.of("cpu_per_query_in_process", sizes.batch)
    return [
        Line(
            "queries",
            exact(rate, f"{short(sizes.queries)} / {short(sizes.nodes)}"),
            "/s",
            None,
            "-",
        ),
        Line(
            f"query side at fan-out {sizes.fan_out}",
            whole.times(rate, every).cores(),
            "cores",
            ONE_CORE,
            "aggregators, and an index from shard to replicas in the directory",
        ),
        Line(
            f"query side at fan-out {sizes.batch}",
            tiered.times(rate, every).cores(),
            "cores",
            ONE_CORE,
            "each aggregator answers as one shard; several processes on a node",
        ),
    ]


def entry_fan_out(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what an entry instance spends on its aggregators and callers."""
    rate = sizes.queries / sizes.nodes
    groups = sizes.fan_out / sizes.batch
    in_flight = rate * sizes.deadline_seconds
    tiered = costs.of("cpu_per_query_in_process", sizes.batch)
    batch = costs.of("cpu_sub_request_batch", sizes.batch)
    partial = costs.of("cpu_outcome_batch", 1)
    return [
        Line(
            f"requests to aggregators, {groups:.0f} batches of {sizes.batch}",
            batch.times(groups * rate, f"{short(groups * rate)} /s").cores(),
            "cores",
            ONE_CORE,
            "both sides together; batches of several queries share the intercept",
        ),
        Line(
            "merged partial results",
            partial.times(groups * rate, f"{short(groups * rate)} /s").cores(),
            "cores",
            ONE_CORE,
            "one outcome with 5 records for each aggregator",
        ),
        Line(
            "processes of one core for all queries, query side alone",
            tiered.times(sizes.queries / CORE, f"{short(sizes.queries)} /s"),
            "cores",
            sizes.nodes,
            "more processes on each node; callers spread over them by address lists",
        ),
        Line(
            "memory at the start of a process",
            costs.base("memory_per_instance"),
            "B",
            sizes.memory,
            "-",
        ),
        Line(
            "callers' connections in flight",
            costs.each("memory_per_open_connection").times(in_flight, short(in_flight)),
            "B",
            sizes.memory,
            f"{short(rate)} /s for {sizes.deadline_seconds} s",
        ),
    ]


def aggregator(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what the owner of replicas takes as an aggregator."""
    rate = sizes.sub_requests / sizes.aggregators
    batches = rate / sizes.batch
    return [
        Line(
            f"aggregators with {sizes.batch} replicas of different shards",
            exact(sizes.aggregators, f"{short(sizes.replicas)} / {sizes.batch}"),
            "nodes",
            sizes.nodes,
            f"if every node owned, each had {sizes.replicas / sizes.nodes:.1f}"
            " replicas and a query met"
            f" {sizes.fan_out * sizes.nodes / sizes.replicas:.0f} nodes",
        ),
        Line(
            "batches", exact(batches, f"{short(rate)} / {sizes.batch}"), "/s", None, "-"
        ),
        Line(
            "batches, decoding and encoding",
            costs.of("cpu_sub_request_batch", sizes.batch)
            .times(batches, f"{short(batches)} /s")
            .cores(),
            "cores",
            ONE_CORE,
            "several processes that share the replicas of an aggregator",
        ),
        Line(
            "exchanges with replicas, bare h11",
            costs.each("cpu_per_sub_request_bare")
            .times(rate, f"{short(rate)} /s")
            .cores(),
            "cores",
            ONE_CORE,
            "see the sum above",
        ),
    ]


def directory_of_owner(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what an aggregator takes to know its replicas."""
    known = costs.each("memory_per_known_replica")
    return [
        Line(
            "own replicas in the directory",
            known.times(sizes.batch, str(sizes.batch)),
            "B",
            sizes.memory,
            "-",
        ),
        Line(
            "all replicas of the region in the directory",
            known.times(sizes.region_replicas, short(sizes.region_replicas)),
            "B",
            sizes.memory,
            "only aggregators need it",
        ),
        Line(
            "all replicas of all regions in the directory",
            known.times(sizes.replicas, short(sizes.replicas)),
            "B",
            sizes.memory,
            "not needed: announcements stay in their region",
        ),
        Line(
            "all replicas of the region, resident memory of today's instance",
            costs.of("memory_per_target", sizes.region_replicas),
            "B",
            sizes.memory,
            "includes messages on their way and the memory of the process at its start",
        ),
        Line(
            "all replicas of all regions, resident memory of today's instance",
            costs.of("memory_per_target", sizes.replicas),
            "B",
            sizes.memory,
            "not needed: announcements stay in their region",
        ),
    ]


def announcements_of_owner(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what an aggregator takes to hear from its replicas."""
    posted = costs.of("cpu_posted_announcement", sizes.batch)
    return [
        Line(
            "announcements of its own replicas, each second",
            posted,
            "us/s",
            sizes.cpu,
            "targets post to their owner",
        ),
        Line(
            "bytes of the same",
            costs.of("bytes_posted_announcement", sizes.batch),
            "B/s",
            sizes.octets,
            "bodies only; HTTP headers come on top",
        ),
        Line(
            "announcements of the region accepted by each node, each second",
            costs.of("cpu_relayed_announcement", sizes.region_replicas),
            "us/s",
            sizes.cpu,
            "not relayed to all: the owner and two substitutes hold them",
        ),
        Line(
            "connections to replicas",
            costs.each("memory_per_target_connection").times(
                sizes.batch * _TODAY_SLOTS, f"{sizes.batch} × {_TODAY_SLOTS} slots"
            ),
            "B",
            sizes.memory,
            "one connection for each slot",
        ),
    ]


DATA_ROLES = (
    Role("total", "The sum", (total, cores_in_all)),
    Role("entry", "Entry", (entry, entry_fan_out)),
    Role(
        "aggregator",
        "Aggregator (owner of replicas)",
        (aggregator, directory_of_owner, announcements_of_owner),
    ),
)
