"""Steps for relays and their subscribers, in virtual time."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import sleep
from fakes.directory_fleet import DirectoryFleet, FleetInstance, fleet_notice
from fakes.virtual_time import VirtualKernel

from lovagetray import SystemClock
from lovagetray._peer_messages import Subscribe
from lovagetray._routing_types import ReplicaState
from lovagetray.state import FeedPosition

_KILOBYTE = 1024


@given("{size:d} instances in 6 data centres, 5 of them relays")
def start_fleet(context: Context, size: int) -> None:
    context.kernel = VirtualKernel()
    context.add_cleanup(context.kernel.close)
    context.fleet_of_relays = DirectoryFleet(size)
    context.kernel.run(context.fleet_of_relays.start)
    _pass_time(context, 2)


@when("{count:d} replicas announce themselves and {seconds:d} seconds pass")
def announce(context: Context, count: int, seconds: int) -> None:
    context.sequence = 0
    _announce(context, range(count), seconds)


@when("replica {number:d} falls silent and {seconds:d} seconds pass")
def silence_replica(context: Context, number: int, seconds: int) -> None:
    _announce(context, [other for other in range(30) if other != number], seconds)


@when("replica {number:d} tells a {role} that it is draining")
def drain(context: Context, number: int, role: str) -> None:
    fleet = context.fleet_of_relays
    relays = [
        instance
        for instance in map(fleet.instances.get, fleet.relays)
        if instance.alive
    ]
    receiver = relays[0] if role == "relay" else fleet.subscribers[3]
    _drain(context, receiver, number)


@when("relay {number:d} crashes and {seconds:d} seconds pass")
def crash_relay(context: Context, number: int, seconds: int) -> None:
    fleet = context.fleet_of_relays
    fleet.instances[fleet.relays[number]].alive = False
    _pass_time(context, seconds)


@when("a subscriber crashes and {seconds:d} seconds pass")
def crash_subscriber(context: Context, seconds: int) -> None:
    context.crashed = context.fleet_of_relays.subscribers[5]
    context.crashed.alive = False
    _pass_time(context, seconds)


@when("a majority no longer confirms relay {number:d} and {seconds:d} seconds pass")
def isolate_relay(context: Context, number: int, seconds: int) -> None:
    fleet = context.fleet_of_relays
    fleet.confirmed_ages[fleet.relays[number]] = timedelta(seconds=5)
    _pass_time(context, seconds)


@when(
    "a subscriber is cut off while replica {number:d} tells another that it is draining"
)
def drain_behind_cut(context: Context, number: int) -> None:
    fleet = context.fleet_of_relays
    fleet.cut.add(fleet.subscribers[9].name)
    _drain(context, fleet.subscribers[3], number)
    _pass_time(context, 0.3)
    fleet.cut.clear()


@then("every instance knows {replicas:d} usable replicas and {size:d} live instances")
def check_known(context: Context, replicas: int, size: int) -> None:
    now = context.kernel.run(_now)
    for instance in context.fleet_of_relays.instances.values():
        usable = sum(known.usable for known in instance.directory.known_replicas())
        assert usable == replicas, (instance.name, usable)
        live = len(instance.members.live(now))
        assert live == size, (instance.name, live)


@then(
    "in the next 10 seconds a subscriber sends at most {messages:g} messages "
    "and {kilobytes:g} KB a second"
)
def check_subscribers(context: Context, messages: float, kilobytes: float) -> None:
    fleet = context.fleet_of_relays
    fleet.sent_bytes.clear()
    fleet.sent_messages.clear()
    fleet.bytes_between_data_centres = 0
    _announce(context, range(150), 10)
    for instance in fleet.subscribers:
        sent = fleet.sent_messages[instance.name], fleet.sent_bytes[instance.name]
        assert sent[0] <= 10 * messages, (instance.name, sent)
        assert sent[1] <= 10 * kilobytes * _KILOBYTE, (instance.name, sent)


@then("the instances send at most {kilobytes:g} KB a second between data centres")
def check_between_data_centres(context: Context, kilobytes: float) -> None:
    sent = context.fleet_of_relays.bytes_between_data_centres
    assert sent <= 10 * kilobytes * _KILOBYTE, sent


@then("no instance uses replica {number:d} {seconds:d} second later")
def check_unused(context: Context, number: int, seconds: int) -> None:
    _pass_time(context, seconds)
    knowing = context.fleet_of_relays.knowing(f"r{number}")
    assert not knowing, knowing


@then(
    "no instance uses replica {number:d} {seconds:d} seconds after the cut has healed"
)
def check_unused_after_cut(context: Context, number: int, seconds: int) -> None:
    check_unused(context, number, seconds)


@then("every live instance counts relay {number:d} as failed")
def check_relay_failed(context: Context, number: int) -> None:
    _check_failed(context, context.fleet_of_relays.relays[number])


@then("every live instance counts that subscriber as failed")
def check_subscriber_failed(context: Context) -> None:
    _check_failed(context, context.crashed.name)


@then("no subscriber follows relay {number:d}")
def check_not_followed(context: Context, number: int) -> None:
    fleet = context.fleet_of_relays
    followed = {instance.relays.chosen for instance in fleet.subscribers}
    assert None not in followed and fleet.relays[number] not in followed, followed


@then("each subscriber follows the relay in its data centre, if there is one")
def check_local_relay(context: Context) -> None:
    fleet = context.fleet_of_relays
    for instance in fleet.subscribers:
        relay = fleet.instances[instance.relays.chosen]
        if instance.data_centre != "d5":
            assert relay.data_centre == instance.data_centre, instance.name


@then("the others are spread over the relays")
def check_spread(context: Context) -> None:
    chosen = Counter(
        instance.relays.chosen
        for instance in context.fleet_of_relays.subscribers
        if instance.data_centre == "d5"
    )
    assert len(chosen) >= 3, chosen


@then("a relay sends a subscriber without a position at most {kilobytes:d} KB")
def check_full_update(context: Context, kilobytes: int) -> None:
    fleet = context.fleet_of_relays
    relay = fleet.instances[fleet.relays[0]]
    record = fleet.subscribers[0].members.own_record
    before = fleet.sent_bytes[relay.name]

    async def subscribe() -> None:
        message = Subscribe(record, FeedPosition("", 0))
        await relay.publisher.receive_subscription(message)

    context.kernel.run(subscribe)
    sent = fleet.sent_bytes[relay.name] - before
    assert 0 < sent <= kilobytes * _KILOBYTE, sent


@then("every instance knows the capacity of every other one")
def check_capacities(context: Context) -> None:
    instances = context.fleet_of_relays.instances
    for instance in instances.values():
        capacities = instance.members.capacities()
        assert set(capacities) == set(instances), instance.name


def _announce(context: Context, replicas: Iterable[int], seconds: int) -> None:
    """Let replicas repeat their notices every second."""

    async def run() -> None:
        for _ in range(seconds):
            context.sequence += 1
            await context.fleet_of_relays.announce(replicas, context.sequence)
            await sleep(1)

    context.kernel.run(run)


def _drain(context: Context, receiver: FleetInstance, number: int) -> None:
    async def run() -> Any:
        started_at = await _now()
        draining = fleet_notice(number, state=ReplicaState.DRAINING, sequence=99)
        context.result = await receiver.gossip.accept(draining)
        context.elapsed = await _now() - started_at

    context.kernel.run(run)


def _check_failed(context: Context, name: str) -> None:
    now = context.kernel.run(_now)
    for instance in context.fleet_of_relays.instances.values():
        if instance.alive:
            live = {record.instance.name for record in instance.members.live(now)}
            assert name not in live, instance.name


async def _now() -> timedelta:
    return SystemClock().monotonic_time()


def _pass_time(context: Context, seconds: float) -> None:
    context.kernel.run(sleep, seconds)
