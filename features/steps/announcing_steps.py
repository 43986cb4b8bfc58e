"""Steps for passing on replica notices between instances, in virtual time."""

from datetime import timedelta
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import spawn
from expression import Result
from fakes.replica_script import make_notice
from fakes.virtual_time import run_in_virtual_time

from lovagetray import Address, SystemClock
from lovagetray._peer_messages import (
    NoticeDigest,
    NoticesSeen,
    ReplicaNotices,
    ReplicasHeard,
    ReplicasLeft,
)
from lovagetray._routing_types import NoticeVersion, RepeatedNotice, ReplicaState
from lovagetray._types import InstanceCapacity, InstanceId
from lovagetray.commands.discovery import ReplicaGossip
from lovagetray.state import (
    InstanceRecord,
    InstanceState,
    Members,
    Relays,
    ReplicaDirectory,
)

_LIFETIME = timedelta(hours=1)
_CONFIRM_DELAY = timedelta(milliseconds=40)
_HANG_TIME = timedelta(hours=1)
_DIGEST = NoticeDigest((NoticeVersion("r9", (1000, False, 3)),))


class SlowStore:
    """The disk of an instance, which takes a time or hangs."""

    def __init__(self, delay: timedelta | None) -> None:
        self.delay = delay

    async def save(self, timeout: timedelta) -> bool:
        if self.delay is None:
            await SystemClock().sleep(timeout)
            return False
        await SystemClock().sleep(self.delay)
        return True


class ConfirmingTransport:
    """A transport to peers of which some confirm each numbered message."""

    def __init__(
        self, confirming: tuple[str, ...], stores: dict[str, SlowStore]
    ) -> None:
        self.confirming = confirming
        self.stores = stores
        self.sent: list[Any] = []
        self.replica_gossip: Any = None

    async def send(self, name: str, message: Any) -> None:
        self.sent.append(message)

    async def broadcast(self, message: Any) -> None:
        self.sent.append(message)
        if getattr(message, "number", 0):
            for name in self.confirming:
                await spawn(self._confirm, name, message.number, daemon=True)

    async def _confirm(self, name: str, number: int) -> None:
        await SystemClock().sleep(_CONFIRM_DELAY)
        await self.replica_gossip.receive(name, NoticesSeen(number))
        store = self.stores.get(name)
        if store is not None and await store.save(_HANG_TIME):
            await self.replica_gossip.receive(name, NoticesSeen(number, True))


@given("an instance with peers a and b")
def create_peers(context: Context) -> None:
    context.peers = ("a", "b")
    context.stores = {}
    context.lost_disks = 0


@given("an instance with peers a and b, which all have a disk")
def create_peers_with_disks(context: Context) -> None:
    create_peers(context)
    delay = timedelta(milliseconds=20)
    context.stores = {name: SlowStore(delay) for name in ("me", "a", "b")}


@given("{count:d} disks may be lost at a time")
def tolerate_losses(context: Context, count: int) -> None:
    context.lost_disks = count


@when("a replica announces that it is draining while {disks}")
def drain_with_disks(context: Context, disks: str) -> None:
    hanging = {
        "the disk of peer b hangs": ["b"],
        "the own disk hangs": ["me"],
        "the disks of both peers hang": ["a", "b"],
        "all disks hang": ["me", "a", "b"],
    }
    for name in hanging.get(disks, []):
        context.stores[name].delay = None
    _drain(context, ("a", "b"))


@then("the notice is {outcome} after {earliest:d} to {latest:d} ms")
def check_outcome(context: Context, outcome: str, earliest: int, latest: int) -> None:
    assert context.result.is_ok() == (outcome == "acknowledged"), context.result
    milliseconds = round(context.elapsed / timedelta(milliseconds=1))
    assert earliest <= milliseconds <= latest, milliseconds


@when("a replica announces that it is draining and both peers confirm")
def both_confirm(context: Context) -> None:
    _drain(context, ("a", "b"))


@when("a replica announces that it is draining and only peer a confirms")
def one_confirms(context: Context) -> None:
    _drain(context, ("a",))


@when("a replica announces that it is draining and no peer confirms")
def none_confirms(context: Context) -> None:
    _drain(context, ())


@when("an unknown replica deregisters and both peers confirm")
def unknown_leaves(context: Context) -> None:
    _run(context, ("a", "b"), lambda replica_gossip: replica_gossip.leave("stranger"))


@when("5 replicas announce themselves 4 times in a second")
def announce_often(context: Context) -> None:
    async def work(replica_gossip: ReplicaGossip) -> Any:
        await spawn(replica_gossip.run, daemon=True)
        result: Any = None
        for number in range(1, 5):
            for replica in range(5):
                result = await replica_gossip.accept(
                    make_notice(f"r{replica}", sequence=number)
                )
            await SystemClock().sleep(timedelta(milliseconds=240))
        await SystemClock().sleep(timedelta(milliseconds=1200))
        return result

    _run(context, (), work)


@when("peer a reports that an unknown replica repeated its notice")
def repeat_unknown(context: Context) -> None:
    message = ReplicasHeard((RepeatedNotice("r9", 1000, 3, 0),))
    _run(context, (), lambda replica_gossip: replica_gossip.receive("a", message))


@when("peer a sends a digest that names an unknown replica")
def receive_digest(context: Context) -> None:
    _run(context, (), lambda replica_gossip: replica_gossip.receive("a", _DIGEST))


@when("peer a sends a digest that names an unknown replica twice within 50 ms")
def receive_digest_twice(context: Context) -> None:
    async def work(replica_gossip: ReplicaGossip) -> None:
        await spawn(replica_gossip.run, daemon=True)
        await replica_gossip.receive("a", _DIGEST)
        await SystemClock().sleep(timedelta(milliseconds=50))
        await replica_gossip.receive("a", _DIGEST)
        await SystemClock().sleep(timedelta(milliseconds=550))

    _run(context, (), work)


@when("peer a sends a digest that names no unknown replica")
def receive_known_digest(context: Context) -> None:
    notice = make_notice("r1")
    digest = NoticeDigest((NoticeVersion("r1", notice.order),))

    async def work(replica_gossip: ReplicaGossip) -> None:
        await replica_gossip.accept(notice)
        await replica_gossip.receive("a", digest)

    _run(context, (), work)


@then("peer a is asked for the notice {count:d} times within 600 ms")
def check_asked_again(context: Context, count: int) -> None:
    asked = [
        message for message in context.transport.sent if message == NoticeDigest(())
    ]
    assert len(asked) == count, context.transport.sent


@then("peer a is not asked for notices")
def check_not_asked(context: Context) -> None:
    assert not any(
        isinstance(message, NoticeDigest) for message in context.transport.sent
    ), context.transport.sent


@then("peer a is asked for the notice at once")
def check_asked(context: Context) -> None:
    assert context.transport.sent == [NoticeDigest(())], context.transport.sent


@then("the notice is acknowledged after both confirmed")
def check_both(context: Context) -> None:
    assert context.result.is_ok()
    assert context.elapsed >= _CONFIRM_DELAY, context.elapsed
    assert context.elapsed < 2 * _CONFIRM_DELAY, context.elapsed


@then("the notice is acknowledged within {milliseconds:d} ms")
def check_within(context: Context, milliseconds: int) -> None:
    assert context.result.is_ok()
    assert context.elapsed <= timedelta(milliseconds=milliseconds), context.elapsed


@then("the notice is not acknowledged")
def check_refused(context: Context) -> None:
    match context.result:
        case Result(tag="error", error=failure):
            assert failure.code == "notice_unconfirmed"
        case _:
            raise AssertionError(context.result)


@then("the peers are told that it has left")
def check_told(context: Context) -> None:
    assert context.result.is_ok()
    assert ReplicasLeft(1, ("stranger",)) in context.transport.sent


@then("each change is sent at once and the unchanged notices in one message")
def check_messages(context: Context) -> None:
    notices = [
        message
        for message in context.transport.sent
        if isinstance(message, ReplicaNotices)
    ]
    assert [len(message.items) for message in notices] == [1] * 5, notices
    repeated = [
        message
        for message in context.transport.sent
        if isinstance(message, ReplicasHeard)
    ]
    assert [len(message.notices) for message in repeated] == [5], repeated


def _drain(context: Context, confirming: tuple[str, ...]) -> None:
    draining = make_notice("r1", state=ReplicaState.DRAINING, sequence=2)
    _run(context, confirming, lambda replica_gossip: replica_gossip.accept(draining))


def _run(context: Context, confirming: tuple[str, ...], work: Any) -> None:
    async def run() -> None:
        clock = SystemClock()
        members = Members(_record("me"), _LIFETIME)
        for name in context.peers:
            capacity = InstanceCapacity(1.0, 100.0, name in context.stores)
            members.update_record(_record(name), clock.monotonic_time(), capacity)
        transport = ConfirmingTransport(confirming, context.stores)
        context.transport = transport
        directory = ReplicaDirectory(_LIFETIME, _LIFETIME)
        relays = Relays("me")
        relays.update(("me", *context.peers))
        transport.replica_gossip = ReplicaGossip(
            directory,
            members,
            relays,
            transport,
            clock,
            Random(1),
            context.stores.get("me"),
            context.lost_disks,
        )
        started_at = clock.monotonic_time()
        context.result = await work(transport.replica_gossip)
        context.elapsed = clock.monotonic_time() - started_at

    run_in_virtual_time(run)


def _record(name: str) -> InstanceRecord:
    address = Address("127.0.0.1", 1)
    instance = InstanceId(name, "1")
    return InstanceRecord(instance, InstanceState.SERVING, "here", address, address)
