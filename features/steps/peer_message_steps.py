"""Steps for messages between instances, over loopback."""

from datetime import timedelta

from behave import given, then, when
from behave.runner import Context
from curio import run, sleep, spawn
from fleet import free_ports
from zmq import POLLIN, ROUTER, Context as ZmqContext

from lovagetray import Address, SystemClock
from lovagetray._peer_messages import NoticesSeen
from lovagetray._types import InstanceId
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
