"""What membership, announcements and address lists take at every node."""

from capacity_sheet import DAY_SECONDS, Costs, Line, Role, Sizes, exact, most, short

_SHORT_LIST = 9
_PARTITION_MINUTES = 10


def node(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what membership takes at an ordinary node."""
    region = sizes.region_nodes
    mesh = costs.each("control_bytes_per_instance")
    return [
        Line(
            "full mesh of all nodes, as today",
            mesh.times(sizes.nodes, short(sizes.nodes)),
            "B/s",
            sizes.octets,
            "a star in each region in place of the mesh",
        ),
        Line(
            "full mesh of a region",
            mesh.times(region, short(region)),
            "B/s",
            sizes.octets,
            "the same",
        ),
        Line(
            "largest full mesh within the limit",
            most(sizes.octets, mesh, f"{short(sizes.octets)} B/s"),
            "nodes",
            None,
            "carries today's 9 to 11 instances",
        ),
        Line(
            "CPU of a full mesh of a region",
            costs.each("control_cpu_per_instance").times(region, short(region)),
            "us/s",
            sizes.cpu,
            "a star in each region",
        ),
        Line(
            "memory of a full mesh of a region",
            costs.of("memory_per_instance", region),
            "B",
            sizes.memory,
            "a star in each region",
        ),
    ]


def star(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what a star in each region takes at an ordinary node."""
    region = sizes.region_nodes
    beat = costs.each("bytes_heartbeat")
    joins = sizes.restarts_a_day / sizes.nodes / DAY_SECONDS
    turns = 2 * (sizes.restarts_a_day + sizes.failures_a_day) / sizes.regions
    voters = sizes.region_voters
    return [
        Line(
            f"heartbeats with the region's {voters} voters, both ways, each second",
            beat.times(2 * voters, f"2 × {voters}"),
            "B/s",
            sizes.octets,
            "star",
        ),
        Line(
            "CPU of the same, at the cost of today's links",
            costs.each("control_cpu_per_instance").times(voters, str(voters)),
            "us/s",
            sizes.cpu,
            "star",
        ),
        Line(
            "members that leave or join, as deltas",
            beat.times(turns / DAY_SECONDS, f"{short(turns)} a day"),
            "B/s",
            sizes.octets,
            "deltas after the full list",
        ),
        Line(
            "own joins, each with the region's list",
            beat.times(region * joins, f"{short(region)} × {short(joins)} /s"),
            "B/s",
            sizes.octets,
            "a mean over the day",
        ),
    ]


def bursts(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what a node gets when much changes at once."""
    region = sizes.region_nodes
    beat = costs.each("bytes_heartbeat")
    seconds = f"/ {short(sizes.octets)} B/s"
    return [
        Line(
            "region's list at a join, at the limit",
            beat.times(region / sizes.octets, f"{short(region)} {seconds}"),
            "s",
            None,
            "the node serves once it has the list; full list once, deltas after",
        ),
        Line(
            "list of all nodes at a join, at the limit",
            beat.times(sizes.nodes / sizes.octets, f"{short(sizes.nodes)} {seconds}"),
            "s",
            None,
            "not needed: a node knows its region",
        ),
        Line(
            "deltas of members that the limit carries",
            most(sizes.octets, beat, f"{short(sizes.octets)} B/s"),
            "/s",
            None,
            "a restart is two deltas; a rack of fewer nodes is told within a second",
        ),
        Line(
            "a storm: every node of the region restarts",
            beat.times(2 * region / sizes.octets, f"2 × {short(region)} {seconds}"),
            "s",
            None,
            "deltas are delayed, not lost; a newer delta of a node replaces the older",
        ),
    ]


def losses(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what a node gets after a loss or a partition."""
    beat = costs.each("bytes_heartbeat")
    centre = sizes.nodes / sizes.data_centres
    seconds = f"/ {short(sizes.octets)} B/s"
    missed = sizes.changes_a_day / DAY_SECONDS * 60 * _PARTITION_MINUTES
    return [
        Line(
            "a lost data centre",
            beat.times(centre / sizes.octets, f"{short(centre)} {seconds}"),
            "s",
            None,
            "one delta could name the data centre in place of its nodes",
        ),
        Line(
            "a parted region: members of others to forget",
            exact(0, "none held"),
            "B",
            sizes.octets,
            "each region agrees on its own members, owners and ledger",
        ),
        Line(
            f"settings changes after {_PARTITION_MINUTES} minutes apart",
            costs.each("bytes_settings_change").times(
                missed / sizes.octets, f"{short(missed)} {seconds}"
            ),
            "s",
            None,
            "slope to come with the settings tree; a snapshot if it is smaller",
        ),
    ]


def announcements(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what the announcements and load reports of targets take."""
    relayed = costs.each("bytes_relayed_announcement")
    known = costs.each("bytes_digest")
    region = sizes.region_replicas
    return [
        Line(
            "one target's announcement, each second",
            costs.each("bytes_posted_announcement"),
            "B/s",
            sizes.octets,
            "to its owner; a leaving notice to two instances",
        ),
        Line(
            "relay and digests of today, all replicas of the region",
            costs.of("control_bytes_per_target", region),
            "B/s",
            sizes.octets,
            "measured with 3 instances; each further peer adds digests",
        ),
        Line(
            "CPU of the same",
            costs.of("control_cpu_per_target", region),
            "us/s",
            sizes.cpu,
            "the same",
        ),
        Line(
            "load reports of all replicas to every node, each second",
            relayed.times(sizes.replicas, short(sizes.replicas)),
            "B/s",
            sizes.octets,
            "not told to all: the load rides on replies as the owner's queue wait",
        ),
        Line(
            "load reports of the region to every node, each second",
            relayed.times(region, short(region)),
            "B/s",
            sizes.octets,
            "the same",
        ),
        Line(
            "digest of the region with one peer, each second",
            known.times(region, short(region)),
            "B/s",
            sizes.octets,
            "one digest number for each owner, the list only where it differs",
        ),
    ]


def summaries(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what replaces announcements at nodes that own nothing."""
    known = costs.each("bytes_digest")
    listed = costs.each("bytes_address_list")
    few = sizes.region_voters
    return [
        Line(
            f"summary of {sizes.fan_out} shards to entries, each second",
            known.times(sizes.fan_out, str(sizes.fan_out)),
            "B/s",
            sizes.octets,
            "only changes of a shard's state, with a full summary at join",
        ),
        Line(
            "shortest interval of a full summary",
            known.times(
                sizes.fan_out / sizes.octets,
                f"{sizes.fan_out} / {short(sizes.octets)} B/s",
            ),
            "s",
            None,
            "-",
        ),
        Line(
            f"replies to {sizes.batch} targets with the region's addresses",
            listed.times(
                sizes.batch * sizes.region_nodes,
                f"{sizes.batch} × {short(sizes.region_nodes)}",
            ),
            "B/s",
            sizes.octets,
            "the reply must not list every instance",
        ),
        Line(
            f"the same with {few} addresses",
            listed.times(sizes.batch * few, f"{sizes.batch} × {few}"),
            "B/s",
            sizes.octets,
            "and only when the list differs from the one that the target names",
        ),
    ]


def callers(costs: Costs, sizes: Sizes) -> list[Line]:
    """Return what the address lists of callers take."""
    centre = sizes.nodes / sizes.data_centres
    lines = [
        Line(
            f"list of {short(count)} addresses ({what})",
            costs.of("bytes_address_list", count),
            "B",
            None,
            mechanism,
        )
        for count, what, mechanism in (
            (sizes.nodes, "all nodes", "not needed"),
            (
                centre,
                "a data centre",
                "a caller needs a few addresses, in its own order",
            ),
            (_SHORT_LIST, "as today", "a sample of the data centre, rotated by caller"),
        )
    ]
    for count in (centre, _SHORT_LIST):
        cost = costs.of("bytes_address_list", count)
        lines.append(
            Line(
                f"lists of {short(count)} addresses that the limit carries",
                most(sizes.octets, cost, f"{short(sizes.octets)} B/s"),
                "/s",
                None,
                "section 1.4 states no number of callers; each asks every 10 s",
            )
        )
    lines.append(
        Line(
            "CPU of a list of a data centre",
            costs.of("cpu_address_list", centre),
            "us",
            None,
            "-",
        )
    )
    return lines


NODE_ROLES = (
    Role("node", "Every node: membership", (node, star)),
    Role("bursts", "Every node: joins, storms and losses", (bursts, losses)),
    Role(
        "announcements",
        "Target's announcement and load reports",
        (announcements, summaries),
    ),
    Role("callers", "Caller's address list", (callers,)),
)
