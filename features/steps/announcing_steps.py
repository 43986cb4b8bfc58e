"""Steps for announcements among instances, in virtual time."""

from datetime import timedelta
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import spawn
from expression import Result
from fakes.replica_script import notice
from fakes.virtual_time import run_in_virtual_time

from lovagetray import Address, SystemClock
from lovagetray._peer_messages import (
    NoticeDigest,
    NoticesSeen,
    ReplicaNotices,
    ReplicasHeard,
    ReplicasLeft,
)
from lovagetray._routing_types import RepeatedNotice, ReplicaState
from lovagetray._types import InstanceId
from lovagetray.commands.discovery import ReplicaGossip
from lovagetray.state import InstanceRecord, InstanceState, Members, ReplicaDirectory

_LONG = timedelta(hours=1)
_LATE = timedelta(milliseconds=40)


class ConfirmingLink:
    """Peers that confirm what they are told, some of them."""

    def __init__(self, confirming: tuple[str, ...]) -> None:
        self.confirming = confirming
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
        await SystemClock().sleep(_LATE)
        await self.replica_gossip.receive(name, NoticesSeen(number))


@given("an instance with peers a and b")
def set_up(context: Context) -> None:
    context.peers = ("a", "b")


@when("a replica says that it drains and both peers confirm")
def both_confirm(context: Context) -> None:
    _drain(context, ("a", "b"))


@when("a replica says that it drains and only a confirms")
def one_confirms(context: Context) -> None:
    _drain(context, ("a",))


@when("a replica says that it drains and no peer confirms")
def none_confirms(context: Context) -> None:
    _drain(context, ())


@when("an unknown replica says that it is gone and both peers confirm")
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
                    notice(f"r{replica}", sequence=number)
                )
            await SystemClock().sleep(timedelta(milliseconds=240))
        await SystemClock().sleep(timedelta(milliseconds=1200))
        return result

    _run(context, (), work)


@when("a tells that an unknown replica repeated its notice")
def repeat_unknown(context: Context) -> None:
    heard = ReplicasHeard((RepeatedNotice("r9", 1000, 3, 0),))
    _run(context, (), lambda replica_gossip: replica_gossip.receive("a", heard))


@then("a is asked for it at once")
def check_asked(context: Context) -> None:
    assert context.link.sent == [NoticeDigest(())], context.link.sent


@then("it is acknowledged after both confirmed")
def check_both(context: Context) -> None:
    assert context.result.is_ok()
    assert context.took >= _LATE, context.took
    assert context.took < 2 * _LATE, context.took


@then("it is acknowledged within {milliseconds:d} ms")
def check_within(context: Context, milliseconds: int) -> None:
    assert context.result.is_ok()
    assert context.took <= timedelta(milliseconds=milliseconds), context.took


@then("it is not acknowledged")
def check_refused(context: Context) -> None:
    match context.result:
        case Result(tag="error", error=failure):
            assert failure.code == "notice_unconfirmed"
        case _:
            raise AssertionError(context.result)


@then("the peers were told that it left")
def check_told(context: Context) -> None:
    assert context.result.is_ok()
    assert ReplicasLeft(1, ("stranger",)) in context.link.sent


@then("each change was sent at once and the rest in one message")
def check_messages(context: Context) -> None:
    notices = [one for one in context.link.sent if isinstance(one, ReplicaNotices)]
    assert [len(one.items) for one in notices] == [1] * 5, notices
    heard = [one for one in context.link.sent if isinstance(one, ReplicasHeard)]
    assert [len(one.notices) for one in heard] == [5], heard


def _drain(context: Context, confirming: tuple[str, ...]) -> None:
    draining = notice("r1", state=ReplicaState.DRAINING, sequence=2)
    _run(context, confirming, lambda replica_gossip: replica_gossip.accept(draining))


def _run(context: Context, confirming: tuple[str, ...], act: Any) -> None:
    async def work() -> None:
        clock = SystemClock()
        members = Members(_record("me"), _LONG)
        for name in context.peers:
            members.update_record(_record(name), clock.monotonic_time())
        link = context.link = ConfirmingLink(confirming)
        directory = ReplicaDirectory(_LONG, _LONG)
        link.replica_gossip = ReplicaGossip(directory, members, link, clock, Random(1))
        began = clock.monotonic_time()
        context.result = await act(link.replica_gossip)
        context.took = clock.monotonic_time() - began

    run_in_virtual_time(work)


def _record(name: str) -> InstanceRecord:
    address = Address("127.0.0.1", 1)
    instance = InstanceId(name, "1")
    return InstanceRecord(instance, InstanceState.SERVING, "here", address, address)
