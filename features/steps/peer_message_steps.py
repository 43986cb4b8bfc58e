"""Steps for messages between instances, over loopback."""

from datetime import timedelta
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import run, sleep, spawn
from fleet import free_ports
from zmq import NOBLOCK, POLLIN, ROUTER, Context as ZmqContext

from lovagetray import Address, SystemClock
from lovagetray._gateway_settings import (
    GatewayAddresses,
    GatewaySettings,
    RetryBudgetLimits,
)
from lovagetray._peer_messages import KnownInstances, NoticesSeen
from lovagetray._types import InstanceCapacity, InstanceId
from lovagetray.gateway._instances import Instances
from lovagetray.state import InstanceRecord, InstanceState
from lovagetray.wire import PeerTransport, decode_envelope

_INTERVAL = timedelta(seconds=60)
# Long enough for a loaded machine, and much shorter than the interval.
_PATIENCE_SECONDS = 15
_POLL_SECONDS = 0.02
_LOST = NoticesSeen(1)
_HEARTBEAT = NoticesSeen(0)


@given("a peer that is heard but does not listen yet")
def choose_address(context: Context) -> None:
    own_port, context.peer_port = free_ports(2)
    context.transport = PeerTransport(
        InstanceId("a", "1"),
        Address("127.0.0.1", own_port),
        SystemClock(),
        lambda: _HEARTBEAT,
        lambda name: timedelta(0),
        _INTERVAL,
        _INTERVAL,
    )


@when("a message to it is lost and it starts to listen")
def listen_late(context: Context) -> None:
    address = Address("127.0.0.1", context.peer_port)

    async def ignore(envelope: object) -> None:
        pass

    async def main() -> None:
        transport = context.transport
        task = await spawn(transport.run, {"b": address}, ignore)
        while "b" not in transport.names:
            await sleep(_POLL_SECONDS)
        await transport.send("b", _LOST)
        # The sender has taken the message, and there is nobody to connect to.
        await sleep(10 * _POLL_SECONDS)
        with ZmqContext() as zmq_context, zmq_context.socket(ROUTER) as listener:
            listener.bind(f"tcp://{address}")
            polls = int(_PATIENCE_SECONDS / _POLL_SECONDS)
            for _ in range(polls):
                if listener.poll(0, POLLIN):
                    break
                await sleep(_POLL_SECONDS)
            else:
                await task.cancel()
                return
            _, *frames = listener.recv_multipart()
            context.received = decode_envelope(frames).ok.message
        await task.cancel()

    context.received = None
    run(main)


@then("it gets a heartbeat long before the interval of 60 s has passed")
def check_received(context: Context) -> None:
    assert context.received == _HEARTBEAT, context.received


@given("a peer that is sent {count:d} messages a second")
def use_busy_peer(context: Context, count: int) -> None:
    choose_address(context)
    context.pause_seconds = 1 / count


@when("{seconds:d} seconds have passed")
def send_often(context: Context, seconds: int) -> None:
    address = Address("127.0.0.1", context.peer_port)
    context.kinds = []

    async def ignore(envelope: object) -> None:
        pass

    async def main() -> None:
        transport = context.transport
        with ZmqContext() as zmq_context, zmq_context.socket(ROUTER) as listener:
            listener.bind(f"tcp://{address}")
            task = await spawn(transport.run, {"b": address}, ignore)
            for _ in range(int(seconds / context.pause_seconds)):
                await transport.send("b", _LOST)
                await sleep(context.pause_seconds)
                while listener.poll(0, POLLIN):
                    _, *frames = listener.recv_multipart(NOBLOCK)
                    context.kinds.append(decode_envelope(frames).ok.message)
            await task.cancel()

    run(main)


@then("it has got a heartbeat beside them")
def check_heartbeat(context: Context) -> None:
    # The first heartbeat may be one that was sent before the connection was open.
    others = context.kinds[context.kinds.index(_LOST) :]
    assert _HEARTBEAT in others, context.kinds


class _RecordingPeers:
    """Transport to the peers that only keeps their names."""

    def __init__(self) -> None:
        self.names: tuple[str, ...] = ()

    async def add(self, name: str, address: Address) -> None:
        """Add a name."""
        self.names += (name,)

    async def remove(self, name: str) -> None:
        """Remove a name."""
        self.names = tuple(other for other in self.names if other != name)

    async def send(self, name: str, message: object) -> bool:
        """Lose a message."""
        return name in self.names


def _address(number: int) -> Address:
    return Address(f"127.0.1.{number}", 1)


def _record(number: int) -> InstanceRecord:
    address = _address(number)
    identity = InstanceId(str(address), "1")
    return InstanceRecord(identity, InstanceState.SERVING, "zone", address, address)


@given("an instance with a disk in a fleet of 24, whose seeds are no relays")
def start_instance(context: Context) -> None:
    own = _address(4)
    settings = GatewaySettings(
        "zone",
        GatewayAddresses(own, own, own, own, own),
        Path("unused"),
        (_address(17), _address(18)),
        False,
        1,
        timedelta(seconds=1),
        timedelta(seconds=6),
        timedelta(seconds=5),
        RetryBudgetLimits(0.2, 60, timedelta(seconds=10)),
        InstanceCapacity(1.0, 100.0, True),
    )
    context.instances = Instances(settings, SystemClock(), Random(1))
    context.instances.peers = _RecordingPeers()
    context.agreement = SimpleNamespace(
        voters=SimpleNamespace(names=()), leader=None, add_peer=_ignore
    )
    context.instances.attach(context.agreement, SimpleNamespace())


@when("it is told of two relays, and a third one sends it the log")
def refer_to_two(context: Context) -> None:
    instances = context.instances

    async def main() -> None:
        referral = KnownInstances((_record(1), _record(2)), 24)
        now = SystemClock().monotonic_time()
        await instances.receive(str(_address(17)), referral, now)
        # What the log's handler learns from the leader's message.
        context.agreement.leader = str(_address(3))
        task = await spawn(instances.follow_topology)
        await sleep(10 * _POLL_SECONDS)
        await task.cancel()

    run(main)


@then("it exchanges messages with all three")
def check_peers(context: Context) -> None:
    expected = {str(_address(number)) for number in (1, 2, 3)}
    names = context.instances.peers.names
    assert expected <= set(names), names


async def _ignore(*arguments: Any) -> None:
    """Do nothing."""
