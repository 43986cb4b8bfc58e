"""Costs of the roles that serve queries, at the sizes of section 1.4."""

from capacity_sheet import (
    CORE_US,
    ONE_CORE,
    Cost,
    Costs,
    Role,
    Row,
    Sizes,
    computed,
    count_within,
    format_number,
)

_CURRENT_SLOTS = 5


def sub_request_rates(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the rate of all sub-requests and the slots that they need."""
    rate = sizes.sub_requests_per_second
    replica_rate = rate / sizes.replicas
    rate_formula = f"{format_number(sizes.queries_per_second)} × {sizes.fan_out}"

    return [
        Row(
            "sub-requests",
            computed(rate, rate_formula),
            "/s",
            None,
            "fan-out in two tiers",
        ),
        Row(
            "of a node",
            computed(
                rate / sizes.nodes, f"{rate_formula} / {format_number(sizes.nodes)}"
            ),
            "/s",
            None,
            "-",
        ),
        Row(
            "of a replica",
            computed(replica_rate, f"{rate_formula} / {format_number(sizes.replicas)}"),
            "/s",
            None,
            "-",
        ),
        Row(
            "slots of a replica for each ms of its work",
            computed(replica_rate / 1000, f"{format_number(replica_rate)} /s × 1 ms"),
            "slots",
            _CURRENT_SLOTS,
            f"{_CURRENT_SLOTS} slots allow {_CURRENT_SLOTS / replica_rate * 1e6:.0f} us"
            " of work on each: a target must answer many queries in one pass",
        ),
    ]


def exchange_cores(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the cores that the exchanges of all sub-requests take."""
    rate = sizes.sub_requests_per_second
    bare = costs.per_unit("cpu_per_sub_request_bare")
    entry = costs.per_unit("cpu_per_sub_request_entry")
    batched = costs.per_unit("cpu_sub_request_batch").plus(
        costs.per_unit("cpu_outcome_batch")
    )

    def cores_row(subject: str, cost: Cost, mechanism: str) -> Row:
        total = cost.times(rate / CORE_US, f"{format_number(rate)} /s")
        return Row(subject, total, "cores", sizes.nodes, mechanism)

    return [
        Row(
            "sub-requests that one core exchanges, entry of today",
            count_within(CORE_US, entry, "1 M us"),
            "/s",
            None,
            "-",
        ),
        Row(
            "sub-requests that one core exchanges, bare h11",
            count_within(CORE_US, bare, "1 M us"),
            "/s",
            None,
            "-",
        ),
        cores_row(
            "all exchanges, entry of today",
            entry,
            "one HTTP exchange for each sub-request is too dear",
        ),
        cores_row(
            "the same with the hop to the owner, both instances",
            costs.per_unit("cpu_per_sub_request_forwarded"),
            "one message for all sub-requests to an owner; merged partial results",
        ),
        cores_row(
            "all exchanges, bare h11",
            bare,
            "the floor for one HTTP exchange each with Python and h11",
        ),
        cores_row(
            "all sub-requests, encoding and decoding of batches alone",
            batched,
            "a batch to a target in place of an exchange needs a new target interface,"
            " which section 4.12 excludes, or replicas that each hold more shards",
        ),
    ]


def entry_queries(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the queries of an entry instance."""
    rate = sizes.queries_per_second / sizes.nodes
    rate_label = f"{format_number(rate)} /s"
    full_query = costs.at_size("cpu_per_query_in_process", sizes.fan_out)
    tiered_query = costs.at_size("cpu_per_query_in_process", sizes.batch_size)
    return [
        Row(
            "queries",
            computed(
                rate,
                f"{format_number(sizes.queries_per_second)}"
                f" / {format_number(sizes.nodes)}",
            ),
            "/s",
            None,
            "-",
        ),
        Row(
            f"query side at fan-out {sizes.fan_out}",
            full_query.times(rate, rate_label).in_cores(),
            "cores",
            ONE_CORE,
            "aggregators, and an index from shard to replicas in the directory",
        ),
        Row(
            f"query side at fan-out {sizes.batch_size}",
            tiered_query.times(rate, rate_label).in_cores(),
            "cores",
            ONE_CORE,
            "each aggregator answers as one shard; several processes on a node",
        ),
    ]


def entry_fan_out(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on an entry instance's traffic with aggregators and callers."""
    rate = sizes.queries_per_second / sizes.nodes
    batches = sizes.fan_out / sizes.batch_size
    in_flight = rate * sizes.deadline_seconds
    tiered_query = costs.at_size("cpu_per_query_in_process", sizes.batch_size)
    batch = costs.at_size("cpu_sub_request_batch", sizes.batch_size)
    partial_result = costs.at_size("cpu_outcome_batch", 1)
    return [
        Row(
            f"requests to aggregators, {batches:.0f} batches of {sizes.batch_size}",
            batch.times(
                batches * rate, f"{format_number(batches * rate)} /s"
            ).in_cores(),
            "cores",
            ONE_CORE,
            "both sides together; batches of several queries share the intercept",
        ),
        Row(
            "merged partial results",
            partial_result.times(
                batches * rate, f"{format_number(batches * rate)} /s"
            ).in_cores(),
            "cores",
            ONE_CORE,
            "one outcome with 5 records for each aggregator",
        ),
        Row(
            "processes of one core for all queries, query side alone",
            tiered_query.times(
                sizes.queries_per_second / CORE_US,
                f"{format_number(sizes.queries_per_second)} /s",
            ),
            "cores",
            sizes.nodes,
            "more processes on each node; callers spread over them by address lists",
        ),
        Row(
            "memory at the start of a process",
            costs.intercept("memory_per_instance"),
            "B",
            sizes.max_memory,
            "-",
        ),
        Row(
            "callers' connections in flight",
            costs.per_unit("memory_per_open_connection").times(
                in_flight, format_number(in_flight)
            ),
            "B",
            sizes.max_memory,
            f"{format_number(rate)} /s for {sizes.deadline_seconds} s",
        ),
    ]


def aggregator_batches(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the batches that an owner of replicas aggregates."""
    rate = sizes.sub_requests_per_second / sizes.aggregators
    batches = rate / sizes.batch_size
    return [
        Row(
            f"aggregators with {sizes.batch_size} replicas of different shards",
            computed(
                sizes.aggregators,
                f"{format_number(sizes.replicas)} / {sizes.batch_size}",
            ),
            "nodes",
            sizes.nodes,
            f"if every node owned, each had {sizes.replicas / sizes.nodes:.1f}"
            " replicas and a query met"
            f" {sizes.fan_out * sizes.nodes / sizes.replicas:.0f} nodes",
        ),
        Row(
            "batches",
            computed(batches, f"{format_number(rate)} / {sizes.batch_size}"),
            "/s",
            None,
            "-",
        ),
        Row(
            "batches, decoding and encoding",
            costs.at_size("cpu_sub_request_batch", sizes.batch_size)
            .times(batches, f"{format_number(batches)} /s")
            .in_cores(),
            "cores",
            ONE_CORE,
            "several processes that share the replicas of an aggregator",
        ),
        Row(
            "exchanges with replicas, bare h11",
            costs.per_unit("cpu_per_sub_request_bare")
            .times(rate, f"{format_number(rate)} /s")
            .in_cores(),
            "cores",
            ONE_CORE,
            "see the sum above",
        ),
    ]


def owner_directory(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the memory of an aggregator's directory of replicas."""
    replica_memory = costs.per_unit("memory_per_known_replica")
    return [
        Row(
            "own replicas in the directory",
            replica_memory.times(sizes.batch_size, str(sizes.batch_size)),
            "B",
            sizes.max_memory,
            "-",
        ),
        Row(
            "all replicas of the region in the directory",
            replica_memory.times(
                sizes.region_replicas, format_number(sizes.region_replicas)
            ),
            "B",
            sizes.max_memory,
            "only aggregators need it",
        ),
        Row(
            "all replicas of all regions in the directory",
            replica_memory.times(sizes.replicas, format_number(sizes.replicas)),
            "B",
            sizes.max_memory,
            "not needed: announcements stay in their region",
        ),
        Row(
            "all replicas of the region, resident memory of today's instance",
            costs.at_size("memory_per_target", sizes.region_replicas),
            "B",
            sizes.max_memory,
            "includes messages on their way and the memory of the process at its start",
        ),
        Row(
            "all replicas of all regions, resident memory of today's instance",
            costs.at_size("memory_per_target", sizes.replicas),
            "B",
            sizes.max_memory,
            "not needed: announcements stay in their region",
        ),
    ]


def owner_announcements(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on an aggregator's announcements and connections."""
    posted = costs.at_size("cpu_posted_announcement", sizes.batch_size)
    return [
        Row(
            "announcements of its own replicas, each second",
            posted,
            "us/s",
            sizes.max_cpu,
            "targets post to their owner",
        ),
        Row(
            "bytes of the same",
            costs.at_size("bytes_posted_announcement", sizes.batch_size),
            "B/s",
            sizes.max_traffic,
            "bodies only; HTTP headers come on top",
        ),
        Row(
            "announcements of the region accepted by each node, each second",
            costs.at_size("cpu_relayed_announcement", sizes.region_replicas),
            "us/s",
            sizes.max_cpu,
            "not relayed to all: the owner and two substitutes hold them",
        ),
        Row(
            "connections to replicas",
            costs.per_unit("memory_per_target_connection").times(
                sizes.batch_size * _CURRENT_SLOTS,
                f"{sizes.batch_size} × {_CURRENT_SLOTS} slots",
            ),
            "B",
            sizes.max_memory,
            "one connection for each slot",
        ),
    ]


DATA_ROLES = (
    Role("total", "The sum", (sub_request_rates, exchange_cores)),
    Role("entry", "Entry", (entry_queries, entry_fan_out)),
    Role(
        "aggregator",
        "Aggregator (owner of replicas)",
        (aggregator_batches, owner_directory, owner_announcements),
    ),
)
