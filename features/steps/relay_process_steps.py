"""Steps for gateway processes that know each other through relays."""

from json import loads
from time import monotonic, sleep

from behave import then, when
from behave.runner import Context
from platform_stand_in.fleet import HOST, FleetTimeout, PlatformFleet

# A subscriber is told of a change at once, or by its next poll after 500 ms.
_DISSEMINATION_SECONDS = 1.5
_SHARDS = ("shard-a", "shard-b", "shard-c", "shard-d")


@then("every gateway answers a query with 4 parts")
def check_all_answer(context: Context) -> None:
    fleet = context.fleet

    def all_answer() -> bool:
        return all(
            _parts(fleet, number) == len(_SHARDS)
            for number in range(len(fleet.gateways))
        )

    fleet.wait_until(all_answer)


@then("all gateways list the same {count:d} addresses")
def check_same_lists(context: Context, count: int) -> None:
    _wait_for_lists(context, count, None)


@then("all gateways list the same {count:d} addresses, without that one")
def check_lists_without(context: Context, count: int) -> None:
    _wait_for_lists(context, count, context.killed)


@then("at most {count:d} gateways exchange messages with all others")
def check_relays(context: Context, count: int) -> None:
    roles = [_is_relay(context, number) for number in _running(context)]
    assert 0 < sum(roles) <= count, roles


@when("a replica announces to gateway {number:d} that it is draining")
def drain_at(context: Context, number: int) -> None:
    _drain_through(context, number, f"{_SHARDS[1]}-2")


@when("a configuration is accepted")
def put_configuration(context: Context) -> None:
    fleet = context.fleet
    # The metrics count from the start, when the relays were not known yet.
    context.fed_before = [
        _log_messages(context, number) for number in _running(context)
    ]
    context.version = context.document["Version"] + 1
    document = context.document | {"Version": context.version}
    assert fleet.put_configuration(document, 0).status == 200
    context.accepted_at = monotonic()


@then("every gateway has it in force within {seconds:d} seconds")
def check_in_force(context: Context, seconds: int) -> None:
    line = f"lovagetray_routing_version {float(context.version)}"
    context.fleet.wait_until(
        lambda: all(line in _metrics(context, number) for number in _running(context)),
        timeout=seconds,
    )


@then("the leader sends the log to at most {count:d} gateways")
def check_log_messages(context: Context, count: int) -> None:
    fed = [_log_messages(context, number) for number in _running(context)]
    seconds = monotonic() - context.accepted_at
    sent = max(now - before for now, before in zip(fed, context.fed_before))
    # Heartbeats go to voters every 100 ms, and two messages with each change to all.
    assert sent <= count * (seconds * 10 + 6), (sent, seconds)


@when("gateway {number:d} starts again with gateways {seeds}, no relays, as its seeds")
def restart_with_seeds(context: Context, number: int, seeds: str) -> None:
    fleet = context.fleet
    numbers = [int(seed) for seed in seeds.replace(" and ", ", ").split(", ")]
    assert not any(_is_relay(context, seed) for seed in numbers)
    _kill(context, number)
    hosts = [f"127.0.1.{seed + 1}" for seed in numbers]
    fleet.start_gateway(number, disk=False, first_start=False, seeds=hosts)


@then("gateway {number:d} answers a query with 4 parts")
def check_answers(context: Context, number: int) -> None:
    context.fleet.wait_until(
        lambda: _parts(context.fleet, number) == len(_SHARDS), timeout=15
    )


@when("a listed gateway that is no relay is killed")
def kill_listed(context: Context) -> None:
    listed = _listed(context.fleet, 0)
    number = next(
        number
        for number in _running(context)
        if _address(context, number) in listed and not _is_relay(context, number)
    )
    _kill(context, number)


@when(
    "a relay is killed and a replica announces to gateway {number:d} "
    "that it is draining"
)
def kill_relay_and_drain(context: Context, number: int) -> None:
    relay = next(number for number in _running(context) if _is_relay(context, number))
    _kill(context, relay)
    # Its subscribers turn to another relay after two polls without an answer.
    sleep(2 * _DISSEMINATION_SECONDS)
    _drain_through(context, number, f"{_SHARDS[2]}-2")


def _drain_through(context: Context, number: int, name: str) -> None:
    fleet: PlatformFleet = context.fleet
    control = f"127.0.1.{number + 1}:{fleet.gateways[number].control_port}"
    answer = fleet.send_command(
        names=[name], state="draining", tell="heartbeat", to=control
    )
    assert answer["told"] == {name: 200}, answer
    sleep(_DISSEMINATION_SECONDS)
    context.drained = name
    replica = fleet.send_command(names=[name])["replicas"][name]
    context.arrived_before = len(replica["arrived"])
    for gateway in _running(context):
        for attempt in range(3):
            headers = {"Request-Id": f"{name}-{gateway}-{attempt}", "Deadline": "2000"}
            assert fleet.get("/all/q", gateway, **headers).status == 200


def _wait_for_lists(context: Context, count: int, missing: int | None) -> None:
    fleet = context.fleet

    def all_same() -> bool:
        lists = {frozenset(_listed(fleet, number)) for number in _running(context)}
        listed = lists.pop()
        return (
            not lists
            and len(listed) == count
            and (missing is None or _address(context, missing) not in listed)
        )

    try:
        fleet.wait_until(all_same)
    except FleetTimeout:
        lists: dict[tuple[str, ...], list[int]] = {}
        for number in _running(context):
            lists.setdefault(tuple(_listed(fleet, number)), []).append(number)
        raise AssertionError(
            f"lists and the gateways that have them: {lists}"
        ) from None


def _running(context: Context) -> list[int]:
    gateways = context.fleet.gateways
    return [
        number
        for number in range(len(gateways))
        if gateways[number].process.poll() is None
    ]


def _kill(context: Context, number: int) -> None:
    gateway = context.fleet.gateways[number]
    gateway.process.kill()
    gateway.process.wait()
    context.killed = number


def _address(context: Context, number: int) -> str:
    return f"127.0.1.{number + 1}:{context.fleet.gateways[number].front_port}"


def _listed(fleet: PlatformFleet, number: int) -> list[str]:
    path = f"/-/resolve?Name={HOST}&Region=r&Zone=zone-1"
    port = fleet.gateways[number].directory_port
    answer = fleet.call(number, port, "GET", path)
    listed: list[str] = loads(answer.body)["addrs"] if answer.status == 200 else []
    return listed


def _is_relay(context: Context, number: int) -> bool:
    return "lovagetray_directory_relay 1.0" in _metrics(context, number)


def _metrics(context: Context, number: int) -> list[str]:
    lines: list[str] = context.fleet.metrics(number)
    return lines


def _log_messages(context: Context, number: int) -> float:
    """Return how many messages of the replicated log a gateway has sent to peers."""
    name = 'lovagetray_peer_messages_sent_total{kind="AppendEntries"} '
    found = [line for line in _metrics(context, number) if line.startswith(name)]
    return float(found[0].removeprefix(name)) if found else 0.0


def _parts(fleet: PlatformFleet, number: int) -> int:
    headers = {"Request-Id": f"parts-{number}", "Deadline": "2000"}
    answer = fleet.get("/all/q", number, **headers)
    if answer.status != 200:
        return 0
    return len(answer.headers["part-stamps"].split(","))
