"""Costs of membership, announcements and address lists at every node."""

from capacity_sheet import (
    SECONDS_PER_DAY,
    Costs,
    Role,
    Row,
    Sizes,
    computed,
    count_within,
    format_number,
)

_CURRENT_LIST_LENGTH = 9
_PARTITION_MINUTES = 10


def full_mesh(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on a full mesh of nodes, as membership uses it now."""
    region_nodes = sizes.region_nodes
    mesh_bytes = costs.per_unit("control_bytes_per_instance")
    return [
        Row(
            "full mesh of all nodes, as today",
            mesh_bytes.times(sizes.nodes, format_number(sizes.nodes)),
            "B/s",
            sizes.max_traffic,
            "a star in each region in place of the mesh",
        ),
        Row(
            "full mesh of a region",
            mesh_bytes.times(region_nodes, format_number(region_nodes)),
            "B/s",
            sizes.max_traffic,
            "the same",
        ),
        Row(
            "largest full mesh within the limit",
            count_within(
                sizes.max_traffic, mesh_bytes, f"{format_number(sizes.max_traffic)} B/s"
            ),
            "nodes",
            None,
            "carries today's 9 to 11 instances",
        ),
        Row(
            "CPU of a full mesh of a region",
            costs.per_unit("control_cpu_per_instance").times(
                region_nodes, format_number(region_nodes)
            ),
            "us/s",
            sizes.max_cpu,
            "a star in each region",
        ),
        Row(
            "memory of a full mesh of a region",
            costs.at_size("memory_per_instance", region_nodes),
            "B",
            sizes.max_memory,
            "a star in each region",
        ),
    ]


def region_star(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on an ordinary node in a star of its region."""
    region_nodes = sizes.region_nodes
    heartbeat_bytes = costs.per_unit("bytes_heartbeat")
    joins = sizes.restarts_per_day / sizes.nodes / SECONDS_PER_DAY
    membership_changes = (
        2 * (sizes.restarts_per_day + sizes.failures_per_day) / sizes.regions
    )
    voters = sizes.region_voters
    return [
        Row(
            f"heartbeats with the region's {voters} voters, both ways, each second",
            heartbeat_bytes.times(2 * voters, f"2 × {voters}"),
            "B/s",
            sizes.max_traffic,
            "star",
        ),
        Row(
            "CPU of the same, at the cost of today's links",
            costs.per_unit("control_cpu_per_instance").times(voters, str(voters)),
            "us/s",
            sizes.max_cpu,
            "star",
        ),
        Row(
            "members that leave or join, as deltas",
            heartbeat_bytes.times(
                membership_changes / SECONDS_PER_DAY,
                f"{format_number(membership_changes)} a day",
            ),
            "B/s",
            sizes.max_traffic,
            "deltas after the full list",
        ),
        Row(
            "own joins, each with the region's list",
            heartbeat_bytes.times(
                region_nodes * joins,
                f"{format_number(region_nodes)} × {format_number(joins)} /s",
            ),
            "B/s",
            sizes.max_traffic,
            "a mean over the day",
        ),
    ]


def join_bursts(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on a node that joins and on many changes at once."""
    region_nodes = sizes.region_nodes
    heartbeat_bytes = costs.per_unit("bytes_heartbeat")
    limit_label = f"/ {format_number(sizes.max_traffic)} B/s"
    return [
        Row(
            "region's list at a join, at the limit",
            heartbeat_bytes.times(
                region_nodes / sizes.max_traffic,
                f"{format_number(region_nodes)} {limit_label}",
            ),
            "s",
            None,
            "the node serves once it has the list; full list once, deltas after",
        ),
        Row(
            "list of all nodes at a join, at the limit",
            heartbeat_bytes.times(
                sizes.nodes / sizes.max_traffic,
                f"{format_number(sizes.nodes)} {limit_label}",
            ),
            "s",
            None,
            "not needed: a node knows its region",
        ),
        Row(
            "deltas of members that the limit carries",
            count_within(
                sizes.max_traffic,
                heartbeat_bytes,
                f"{format_number(sizes.max_traffic)} B/s",
            ),
            "/s",
            None,
            "a restart is two deltas; a rack of fewer nodes is told within a second",
        ),
        Row(
            "a storm: every node of the region restarts",
            heartbeat_bytes.times(
                2 * region_nodes / sizes.max_traffic,
                f"2 × {format_number(region_nodes)} {limit_label}",
            ),
            "s",
            None,
            "deltas are delayed, not lost; a newer delta of a node replaces the older",
        ),
    ]


def loss_bursts(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the loss of a data centre and on a partition."""
    heartbeat_bytes = costs.per_unit("bytes_heartbeat")
    data_centre_nodes = sizes.nodes / sizes.data_centres
    limit_label = f"/ {format_number(sizes.max_traffic)} B/s"
    missed_changes = sizes.changes_per_day / SECONDS_PER_DAY * 60 * _PARTITION_MINUTES
    return [
        Row(
            "a lost data centre",
            heartbeat_bytes.times(
                data_centre_nodes / sizes.max_traffic,
                f"{format_number(data_centre_nodes)} {limit_label}",
            ),
            "s",
            None,
            "one delta could name the data centre in place of its nodes",
        ),
        Row(
            "a parted region: members of others to forget",
            computed(0, "none held"),
            "B",
            sizes.max_traffic,
            "each region agrees on its own members, owners and ledger",
        ),
        Row(
            f"settings changes after {_PARTITION_MINUTES} minutes apart",
            costs.per_unit("bytes_settings_change").times(
                missed_changes / sizes.max_traffic,
                f"{format_number(missed_changes)} {limit_label}",
            ),
            "s",
            None,
            "slope to come with the settings tree; a snapshot if it is smaller",
        ),
    ]


def announcements(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the announcements and load reports of targets."""
    announcement_bytes = costs.per_unit("bytes_relayed_announcement")
    digest_bytes = costs.per_unit("bytes_digest")
    region_replicas = sizes.region_replicas
    return [
        Row(
            "one target's announcement, each second",
            costs.per_unit("bytes_posted_announcement"),
            "B/s",
            sizes.max_traffic,
            "to its owner; a leaving notice to two instances",
        ),
        Row(
            "relay and digests of today, all replicas of the region",
            costs.at_size("control_bytes_per_target", region_replicas),
            "B/s",
            sizes.max_traffic,
            "measured with 3 instances; each further peer adds digests",
        ),
        Row(
            "CPU of the same",
            costs.at_size("control_cpu_per_target", region_replicas),
            "us/s",
            sizes.max_cpu,
            "the same",
        ),
        Row(
            "load reports of all replicas to every node, each second",
            announcement_bytes.times(sizes.replicas, format_number(sizes.replicas)),
            "B/s",
            sizes.max_traffic,
            "not told to all: the load rides on replies as the owner's queue wait",
        ),
        Row(
            "load reports of the region to every node, each second",
            announcement_bytes.times(region_replicas, format_number(region_replicas)),
            "B/s",
            sizes.max_traffic,
            "the same",
        ),
        Row(
            "digest of the region with one peer, each second",
            digest_bytes.times(region_replicas, format_number(region_replicas)),
            "B/s",
            sizes.max_traffic,
            "one digest number for each owner, the list only where it differs",
        ),
    ]


def shard_summaries(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the summaries that nodes without replicas get instead."""
    digest_bytes = costs.per_unit("bytes_digest")
    address_list_bytes = costs.per_unit("bytes_address_list")
    list_length = sizes.region_voters
    return [
        Row(
            f"summary of {sizes.fan_out} shards to entries, each second",
            digest_bytes.times(sizes.fan_out, str(sizes.fan_out)),
            "B/s",
            sizes.max_traffic,
            "only changes of a shard's state, with a full summary at join",
        ),
        Row(
            "shortest interval of a full summary",
            digest_bytes.times(
                sizes.fan_out / sizes.max_traffic,
                f"{sizes.fan_out} / {format_number(sizes.max_traffic)} B/s",
            ),
            "s",
            None,
            "-",
        ),
        Row(
            f"replies to {sizes.batch_size} targets with the region's addresses",
            address_list_bytes.times(
                sizes.batch_size * sizes.region_nodes,
                f"{sizes.batch_size} × {format_number(sizes.region_nodes)}",
            ),
            "B/s",
            sizes.max_traffic,
            "the reply must not list every instance",
        ),
        Row(
            f"the same with {list_length} addresses",
            address_list_bytes.times(
                sizes.batch_size * list_length, f"{sizes.batch_size} × {list_length}"
            ),
            "B/s",
            sizes.max_traffic,
            "and only when the list differs from the one that the target names",
        ),
    ]


def address_lists(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the address lists of callers."""
    data_centre_nodes = sizes.nodes / sizes.data_centres
    rows = [
        Row(
            f"list of {format_number(count)} addresses ({scope})",
            costs.at_size("bytes_address_list", count),
            "B",
            None,
            mechanism,
        )
        for count, scope, mechanism in (
            (sizes.nodes, "all nodes", "not needed"),
            (
                data_centre_nodes,
                "a data centre",
                "a caller needs a few addresses, in its own order",
            ),
            (
                _CURRENT_LIST_LENGTH,
                "as today",
                "a sample of the data centre, rotated by caller",
            ),
        )
    ]
    for count in (data_centre_nodes, _CURRENT_LIST_LENGTH):
        cost = costs.at_size("bytes_address_list", count)
        rows.append(
            Row(
                f"lists of {format_number(count)} addresses that the limit carries",
                count_within(
                    sizes.max_traffic, cost, f"{format_number(sizes.max_traffic)} B/s"
                ),
                "/s",
                None,
                "section 1.4 states no number of callers; each asks every 10 s",
            )
        )
    rows.append(
        Row(
            "CPU of a list of a data centre",
            costs.at_size("cpu_address_list", data_centre_nodes),
            "us",
            None,
            "-",
        )
    )
    return rows


NODE_ROLES = (
    Role("node", "Every node: membership", (full_mesh, region_star)),
    Role("bursts", "Every node: joins, storms and losses", (join_bursts, loss_bursts)),
    Role(
        "announcements",
        "Target's announcement and load reports",
        (announcements, shard_summaries),
    ),
    Role("callers", "Caller's address list", (address_lists,)),
)
