"""What the instances that are set aside and the relays take."""

from capacity_sheet import (
    DAY_SECONDS,
    ONE_CORE,
    Costs,
    Line,
    Role,
    Sizes,
    exact,
    most,
    short,
)


def voter(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what the instances that are set aside take."""
    changes = sizes.changes_a_day / DAY_SECONDS
    change = costs.each("bytes_settings_change")
    set_aside = sizes.voters + sizes.regions * sizes.region_voters
    return [
        Line(
            "instances set aside",
            exact(
                set_aside, f"{sizes.voters} + {sizes.regions} × {sizes.region_voters}"
            ),
            "",
            sizes.set_aside,
            "one group for settings, one for each region",
        ),
        Line(
            "settings changes",
            exact(changes, f"{short(sizes.changes_a_day)} / {short(DAY_SECONDS)}"),
            "/s",
            None,
            "one agreement group",
        ),
        Line(
            "the changes, agreed on and written",
            costs.each("cpu_settings_change")
            .times(changes, f"{short(changes)} /s")
            .cores(),
            "cores",
            ONE_CORE,
            "slope to come with the settings tree",
        ),
        Line(
            "the changes, to all relays",
            change.times(
                changes * sizes.relay_degree,
                f"{short(changes)} /s × {sizes.relay_degree}",
            ),
            "B/s",
            None,
            "slope to come with the settings tree",
        ),
    ]


def region_voter(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what a voter of a region takes."""
    beat = costs.each("cpu_heartbeat")
    link = costs.each("control_cpu_per_instance")
    octets = costs.each("bytes_heartbeat")
    region = sizes.region_nodes
    shared = 2 * region / sizes.region_voters
    turns = 2 * (sizes.restarts_a_day + sizes.failures_a_day) / DAY_SECONDS
    turns /= sizes.regions
    joins = sizes.restarts_a_day / DAY_SECONDS / sizes.regions
    return [
        Line(
            "links to all nodes of the region, at the cost of today's links",
            link.times(region, short(region)).cores(),
            "cores",
            ONE_CORE,
            "each node keeps a link to one voter and a spare one, not to all five",
        ),
        Line(
            "links to two fifths of the nodes of the region",
            link.times(shared, short(shared)).cores(),
            "cores",
            ONE_CORE,
            "a link and a spare one for each node",
        ),
        Line(
            "heartbeats on them, both ways, each second",
            octets.times(2 * shared, f"2 × {short(shared)}"),
            "B/s",
            None,
            "an instance set aside has no limit of its own in section 1.4",
        ),
        Line(
            "members that leave or join, told to the region",
            octets.times(turns * region, f"{short(turns)} /s × {short(region)}"),
            "B/s",
            None,
            "deltas; the member's record has the size of a heartbeat",
        ),
        Line(
            "region's lists for joins, a mean over the day",
            beat.times(
                region * joins / sizes.region_voters,
                f"{short(region)} × {short(joins)} /s / {sizes.region_voters}",
            ).cores(),
            "cores",
            ONE_CORE,
            "a record of the list costs what a heartbeat costs",
        ),
        Line(
            "lists for a data centre that returns at once",
            octets.times(
                region * sizes.nodes / sizes.data_centres / sizes.region_voters,
                f"{short(region)} × {short(sizes.nodes / sizes.data_centres)}"
                f" / {sizes.region_voters} voters",
            ),
            "B",
            None,
            "each of its nodes fetches the region's list, spread over the voters",
        ),
    ]


def relay(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what a relay of commits takes."""
    beat = costs.each("bytes_heartbeat")
    degree = sizes.relay_degree
    aside = sizes.regions * sizes.region_voters
    return [
        Line(
            "nodes that two hops reach",
            exact(degree**2, f"{degree} × {degree}"),
            "nodes",
            None,
            f"{short(sizes.nodes)} are needed",
        ),
        Line(
            f"heartbeats with {degree} children, both ways, each second",
            beat.times(2 * degree, f"2 × {degree}"),
            "B/s",
            sizes.octets,
            f"an ordinary node cannot relay at this degree: the {aside} region"
            " voters that are set aside relay instead",
        ),
        Line(
            "largest degree of an ordinary node, a heartbeat each second",
            most(sizes.octets, beat.times(2, "2"), f"{short(sizes.octets)} B/s"),
            "children",
            None,
            "-",
        ),
    ]


def voter_as_relay(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what a region voter takes as a relay of settings changes."""
    link = costs.each("control_cpu_per_instance")
    aside = sizes.regions * sizes.region_voters
    children = sizes.nodes / aside
    changes = sizes.changes_a_day / DAY_SECONDS
    return [
        Line(
            f"links of one of {aside} region voters as relay",
            link.times(children, short(children)).cores(),
            "cores",
            ONE_CORE,
            f"{sizes.voters} → {aside} → {short(sizes.nodes)} in two hops",
        ),
        Line(
            "settings changes to its children",
            costs.each("bytes_settings_change").times(
                changes * children, f"{short(changes)} /s × {short(children)}"
            ),
            "B/s",
            None,
            "slope to come with the settings tree",
        ),
        Line(
            "time until a change is in force",
            costs.of("seconds_settings_change", sizes.nodes),
            "s",
            sizes.change_seconds,
            "slope to come with the settings tree",
        ),
    ]


CONTROL_ROLES = (
    Role("voter", "Control voter and region voter", (voter, region_voter)),
    Role("relay", "Relay", (relay, voter_as_relay)),
)
