"""Steps that send invalid input."""

from datetime import timedelta
from json import dumps
from socket import create_connection
from subprocess import run
from sys import executable
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from behave import given, then, when
from behave.runner import Context
from curio import run as run_task, sleep, spawn
from expression import Result
from fleet import free_ports
from hypothesis import given as given_data, settings, strategies
from msgspec.json import decode
from prometheus_client import REGISTRY
from zmq import DEALER, Context as ZmqContext

from lovagetray import Address, SystemClock
from lovagetray._peer_messages import (
    AgedAnnouncement,
    Announced,
    Envelope,
    NoticesSeen,
)
from lovagetray._types import InstanceId
from lovagetray.wire import (
    PeerTransport,
    decode_announcement,
    decode_envelope,
    decode_search_document,
    encode_envelope,
)

_LONG_TEXT = "x" * 300_000
_VALID_ANNOUNCEMENT = {
    "service": "kallioniemi/invoices",
    "target": "invoices-new",
    "incarnation": 1,
    "sequence": 1,
    "data_centre": "helsinki-1",
    "host": "127.0.0.1",
    "port": 1,
    "state": "starting",
    "holdings": [],
    "slots": 5,
    "connections": 40,
    "connect_cost_ms": 6,
    "in_flight": 0,
    "queued": 0,
}


@then("these raw requests get these replies")
def send_raw_requests(context: Context) -> None:
    for row in context.table:
        raw = row["request"].replace("\\r\\n", "\r\n").replace("{LONG}", _LONG_TEXT)
        status, code = _exchange_raw(context, raw.encode())
        assert (status, code) == (int(row["status"]), row["code"]), (row, status, code)


@then("a client closes its connection in the middle of a request")
def send_truncated_request(context: Context) -> None:
    port = context.fleet.entries[0].http_port
    with create_connection(("127.0.0.1", port), timeout=10) as client:
        client.sendall(b"POST /v1/search HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n")
        client.sendall(b"\r\n{")


@then("a search still includes {included:d} of {shards:d} shards")
def search_still_works(context: Context, included: int, shards: int) -> None:
    context.execute_steps(f"""
        When a caller searches for "wedding album"
        Then the answer includes {included} of {shards} shards
        """)


@then("these searches get these errors")
def send_invalid_searches(context: Context) -> None:
    for row in context.table:
        status, error = _post(context, "/v1/search", row["body"].encode())
        assert status == int(row["status"]), (row, status, error)
        assert error["code"] == row["code"], (row, error)
        assert error["not_run"] is (row["not_run"] == "true"), (row, error)


@then("a valid announcement with these changes gets these errors")
def send_invalid_announcements(context: Context) -> None:
    for row in context.table:
        changed = {**_VALID_ANNOUNCEMENT, row["field"]: decode(row["value"])}
        status, error = _post(context, "/v1/announce", _encode(changed))
        assert status == int(row["status"]), (row, status, error)
        assert error["code"] == row["code"], (row, error)


@then("decoding any bytes as a search, announcement or peer message returns a result")
def fuzz_decoders(context: Context) -> None:
    json_values = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(),
        lambda children: strategies.lists(children)
        | strategies.dictionaries(
            strategies.sampled_from([*_VALID_ANNOUNCEMENT, "terms", "limit"]), children
        ),
    )
    kinds = [b"Heartbeat", b"Announced", b"RunSubRequests", b"SubRequestOutcomes"]

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given_data(
        strategies.binary() | json_values.map(_encode),
        strategies.sampled_from(kinds),
        strategies.lists(strategies.binary(), max_size=5),
    )
    def check_decoders(body: bytes, kind: bytes, frames: list[bytes]) -> None:
        assert isinstance(decode_search_document(body), Result)
        assert isinstance(decode_announcement(body), Result)
        assert isinstance(decode_envelope([body, kind, body]), Result)
        compressed = b"\x78" + body
        assert isinstance(decode_envelope([body, kind, compressed]), Result)
        assert isinstance(decode_envelope(frames), Result)

    integers = strategies.sampled_from([-1, 0, 5, 2**31, 2**63, 2**64, 10**30])
    texts = strategies.sampled_from(["", "ready", "::1", "1.2.3.4", "x" * 300])

    @settings(max_examples=500, deadline=None, derandomize=True)
    @given_data(
        strategies.dictionaries(
            strategies.sampled_from(sorted(_VALID_ANNOUNCEMENT)), integers | texts
        ),
        strategies.lists(strategies.tuples(integers, texts, integers, integers)),
    )
    def check_relayed(changes: dict[str, object], holdings: list[tuple]) -> None:
        names = ("version", "layout", "shards", "shard")
        listed = [dict(zip(names, holding)) for holding in holdings]
        body = _encode(_VALID_ANNOUNCEMENT | {"holdings": listed} | changes)
        match decode_announcement(body):
            case Result(tag="ok", ok=announcement):
                # What is accepted must be fit to be sent to other instances.
                item = AgedAnnouncement(announcement, timedelta(0))
                envelope = Envelope(InstanceId("entry-1", "1"), Announced((item,)))
                assert decode_envelope(encode_envelope(envelope)).ok == envelope

    check_decoders()
    check_relayed()


@given("a settings file")
def write_settings(context: Context) -> None:
    context.settings_file = context.folder / "bad.ini"
    context.settings_file.write_text(context.text)


@when("check-settings reads it")
def check_settings(context: Context) -> None:
    command = [executable, "-m", "lovagetray", "check-settings"]
    context.completed = run(
        [*command, str(context.settings_file)], capture_output=True, text=True
    )


@then("it exits with {code:d} and names these problems")
def check_problems(context: Context, code: int) -> None:
    assert context.completed.returncode == code, context.completed
    lines = context.completed.stderr.splitlines()
    for row in context.table:
        prefix = f"{context.settings_file}: [{row['section']}] {row['key']}:"
        assert any(line.startswith(prefix) for line in lines), (prefix, lines)
    assert len(lines) == len(context.table.rows), lines


def _exchange_raw(context: Context, raw: bytes) -> tuple[int, str]:
    port = context.fleet.entries[0].http_port
    with create_connection(("127.0.0.1", port), timeout=20) as client:
        try:
            client.sendall(raw)
        except OSError:
            # The server may close the connection before it has read everything.
            pass
        received = b""
        while True:
            try:
                data = client.recv(65536)
            except ConnectionResetError:
                break
            received += data
            head, _, body = received.partition(b"\r\n\r\n")
            if not data or body.endswith(b"}"):
                break
    status = int(head.split(b" ")[1])
    return status, decode(body)["error"]["code"]


def _post(context: Context, path: str, body: bytes) -> tuple[int, dict[str, object]]:
    port = context.fleet.entries[0].http_port
    try:
        with urlopen(
            Request(f"http://127.0.0.1:{port}{path}", body), timeout=10
        ) as response:
            return response.status, {}
    except HTTPError as error:
        return error.code, decode(error.read())["error"]


@when("a message of 17 MB, one that its handler fails for and a usual one arrive")
def send_peer_messages(context: Context) -> None:
    context.handled = []
    port = free_ports(1)[0]
    sender = InstanceId("a", "1")

    async def handle(envelope: Envelope) -> None:
        match envelope.message:
            case NoticesSeen(number=0):
                raise OverflowError("a number is too large")
            case NoticesSeen(number=number):
                context.handled.append(number)

    async def main() -> None:
        transport = PeerTransport(
            InstanceId("b", "1"),
            Address("127.0.0.1", port),
            SystemClock(),
            lambda: NoticesSeen(0),
            lambda name: timedelta(0),
            timedelta(seconds=1),
        )
        task = await spawn(transport.run, {}, handle)
        with ZmqContext() as zmq_context, zmq_context.socket(DEALER) as socket:
            socket.connect(f"tcp://127.0.0.1:{port}")
            frames = encode_envelope(Envelope(sender, NoticesSeen(1)))
            socket.send_multipart([*frames[:2], b" " * (17 * 1024 * 1024)])
            for number in (0, 7):
                message = Envelope(sender, NoticesSeen(number))
                for _ in range(50):
                    # A message may be lost while the connection is opened again.
                    socket.send_multipart(encode_envelope(message))
                    await sleep(0.02)
        await task.cancel()

    before = _failures()
    run_task(main)
    context.failures = _failures() - before


@then("the usual message alone is handled, and the failure is counted")
def check_peer_messages(context: Context) -> None:
    assert set(context.handled) == {7}, set(context.handled)
    assert context.failures > 0


def _failures() -> float:
    count = REGISTRY.get_sample_value(
        "lovagetray_task_failures_total", {"task": "peer_message"}
    )
    return count or 0.0


def _encode(document: object) -> bytes:
    """Return a document as JSON; its numbers may be of any size."""
    return dumps(document).encode()
