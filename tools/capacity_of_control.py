"""Costs of the instances that are set aside for control, and of the relays."""

from capacity_sheet import (
    ONE_CORE,
    SECONDS_PER_DAY,
    Costs,
    Role,
    Row,
    Sizes,
    computed,
    count_within,
    format_number,
)


def instances_set_aside(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the instances set aside and on their settings changes."""
    changes = sizes.changes_per_day / SECONDS_PER_DAY
    change_bytes = costs.per_unit("bytes_settings_change")
    instances = sizes.voters + sizes.regions * sizes.region_voters
    return [
        Row(
            "instances set aside",
            computed(
                instances, f"{sizes.voters} + {sizes.regions} × {sizes.region_voters}"
            ),
            "",
            sizes.max_instances_set_aside,
            "one group for settings, one for each region",
        ),
        Row(
            "settings changes",
            computed(
                changes,
                f"{format_number(sizes.changes_per_day)}"
                f" / {format_number(SECONDS_PER_DAY)}",
            ),
            "/s",
            None,
            "one agreement group",
        ),
        Row(
            "the changes, agreed on and written",
            costs.per_unit("cpu_settings_change")
            .times(changes, f"{format_number(changes)} /s")
            .in_cores(),
            "cores",
            ONE_CORE,
            "slope to come with the settings tree",
        ),
        Row(
            "the changes, to all relays",
            change_bytes.times(
                changes * sizes.relay_degree,
                f"{format_number(changes)} /s × {sizes.relay_degree}",
            ),
            "B/s",
            None,
            "slope to come with the settings tree",
        ),
    ]


def region_voter(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the links, membership changes and lists of a region voter."""
    heartbeat_cpu = costs.per_unit("cpu_heartbeat")
    link_cpu = costs.per_unit("control_cpu_per_instance")
    heartbeat_bytes = costs.per_unit("bytes_heartbeat")
    region_nodes = sizes.region_nodes
    links = 2 * region_nodes / sizes.region_voters
    membership_changes = (
        2 * (sizes.restarts_per_day + sizes.failures_per_day) / SECONDS_PER_DAY
    )
    membership_changes /= sizes.regions
    joins = sizes.restarts_per_day / SECONDS_PER_DAY / sizes.regions
    return [
        Row(
            "links to all nodes of the region, at the cost of today's links",
            link_cpu.times(region_nodes, format_number(region_nodes)).in_cores(),
            "cores",
            ONE_CORE,
            "each node keeps a link to one voter and a spare one, not to all five",
        ),
        Row(
            "links to two fifths of the nodes of the region",
            link_cpu.times(links, format_number(links)).in_cores(),
            "cores",
            ONE_CORE,
            "a link and a spare one for each node",
        ),
        Row(
            "heartbeats on them, both ways, each second",
            heartbeat_bytes.times(2 * links, f"2 × {format_number(links)}"),
            "B/s",
            None,
            "an instance set aside has no limit of its own in section 1.4",
        ),
        Row(
            "members that leave or join, told to the region",
            heartbeat_bytes.times(
                membership_changes * region_nodes,
                f"{format_number(membership_changes)} /s"
                f" × {format_number(region_nodes)}",
            ),
            "B/s",
            None,
            "deltas; the member's record has the size of a heartbeat",
        ),
        Row(
            "region's lists for joins, a mean over the day",
            heartbeat_cpu.times(
                region_nodes * joins / sizes.region_voters,
                f"{format_number(region_nodes)} × {format_number(joins)} /s"
                f" / {sizes.region_voters}",
            ).in_cores(),
            "cores",
            ONE_CORE,
            "a record of the list costs what a heartbeat costs",
        ),
        Row(
            "lists for a data centre that returns at once",
            heartbeat_bytes.times(
                region_nodes * sizes.nodes / sizes.data_centres / sizes.region_voters,
                f"{format_number(region_nodes)}"
                f" × {format_number(sizes.nodes / sizes.data_centres)}"
                f" / {sizes.region_voters} voters",
            ),
            "B",
            None,
            "each of its nodes fetches the region's list, spread over the voters",
        ),
    ]


def relay_degree(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on the reach and the heartbeats of a relay of commits."""
    heartbeat_bytes = costs.per_unit("bytes_heartbeat")
    degree = sizes.relay_degree
    relays = sizes.regions * sizes.region_voters
    return [
        Row(
            "nodes that two hops reach",
            computed(degree**2, f"{degree} × {degree}"),
            "nodes",
            None,
            f"{format_number(sizes.nodes)} are needed",
        ),
        Row(
            f"heartbeats with {degree} children, both ways, each second",
            heartbeat_bytes.times(2 * degree, f"2 × {degree}"),
            "B/s",
            sizes.max_traffic,
            f"an ordinary node cannot relay at this degree: the {relays} region"
            " voters that are set aside relay instead",
        ),
        Row(
            "largest degree of an ordinary node, a heartbeat each second",
            count_within(
                sizes.max_traffic,
                heartbeat_bytes.times(2, "2"),
                f"{format_number(sizes.max_traffic)} B/s",
            ),
            "children",
            None,
            "-",
        ),
    ]


def voter_as_relay(costs: Costs, sizes: Sizes) -> list[Row]:
    """Return the rows on a region voter that relays settings changes."""
    link_cpu = costs.per_unit("control_cpu_per_instance")
    relays = sizes.regions * sizes.region_voters
    children = sizes.nodes / relays
    changes = sizes.changes_per_day / SECONDS_PER_DAY
    return [
        Row(
            f"links of one of {relays} region voters as relay",
            link_cpu.times(children, format_number(children)).in_cores(),
            "cores",
            ONE_CORE,
            f"{sizes.voters} → {relays} → {format_number(sizes.nodes)} in two hops",
        ),
        Row(
            "settings changes to its children",
            costs.per_unit("bytes_settings_change").times(
                changes * children,
                f"{format_number(changes)} /s × {format_number(children)}",
            ),
            "B/s",
            None,
            "slope to come with the settings tree",
        ),
        Row(
            "time until a change is in force",
            costs.at_size("seconds_settings_change", sizes.nodes),
            "s",
            sizes.max_change_seconds,
            "slope to come with the settings tree",
        ),
    ]


CONTROL_ROLES = (
    Role(
        "voter", "Control voter and region voter", (instances_set_aside, region_voter)
    ),
    Role("relay", "Relay", (relay_degree, voter_as_relay)),
)
