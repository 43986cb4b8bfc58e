"""Slopes measured inside one process: memory, messages and the query path."""

from argparse import Namespace
from collections.abc import Callable
from datetime import timedelta
from gc import collect
from statistics import median
from time import process_time
from tracemalloc import get_traced_memory, start, stop
from typing import Any

from curio import run
from expression import Result
from msgspec.json import encode
from samples import (
    SERVICE,
    instance_record,
    make_announcement,
    make_directory,
    make_searcher,
    search_request,
    sub_reply,
    sub_request,
)
from slope import Slope, make_slope

from lovagetray import SystemClock
from lovagetray._peer_messages import (
    AgedAnnouncement,
    Announced,
    Envelope,
    Heartbeat,
    PeerMessage,
    RunSubRequests,
    SubRequestOutcomes,
)
from lovagetray._types import InstanceId
from lovagetray.commands.membership import (
    accept_announcement,
    accept_relayed_announcements,
    announcement_digest,
    newer_announcements,
)
from lovagetray.queries.membership import addresses_for
from lovagetray.state import Members, TargetDirectory
from lovagetray.wire import (
    decode_announcement,
    decode_envelope,
    decode_outcome,
    encode_addresses,
    encode_announcement_response,
    encode_envelope,
    encode_outcome,
)

_CLOCK = SystemClock()
_SENDER = InstanceId("entry-1", "20261204T111500.123456")
_SHARDS = 890
_SECONDS_PER_SIZE = 0.5
# The time to accept an announcement grows with the targets of its service.
_TARGETS_PER_SERVICE = 90


def memory_replica(arguments: Namespace) -> list[Slope]:
    """Return the memory of a directory by the number of replicas that it knows."""
    points = []
    for targets in arguments.sizes or (100, 1_000, 10_000, 45_000):
        collect()
        start()
        filled = _filled_directory(targets)
        points.append((float(targets), float(get_traced_memory()[0])))
        stop()
        del filled
    note = (
        "Python objects (tracemalloc) of TargetDirectory after posted announcements"
        f" with one holding each, {_TARGETS_PER_SERVICE} targets in a service"
    )
    name = "memory_per_known_replica"
    return [make_slope(name, "bytes", "replicas known", points, note)]


def _filled_directory(targets: int) -> TargetDirectory:
    """Return a directory of announcements that were decoded from JSON.

    Decoded announcements share no strings, as in an instance.
    """
    filled = TargetDirectory(timedelta(hours=1))
    for number in range(targets):
        service = f"kallioniemi/invoices-{number // _TARGETS_PER_SERVICE}"
        posted = decode_announcement(_announcement_body(number, service)).ok
        assert filled.accept(posted, _CLOCK.monotonic_time()).is_ok()
    return filled


def cpu_fan_out(arguments: Namespace) -> list[Slope]:
    """Return the CPU of a query by its fan-out, with a fake sender."""
    points = []
    for shards in arguments.sizes or (10, 30, 100, 300, 890):
        sample_searcher = make_searcher(shards, 2, _CLOCK)
        points.append((float(shards), run(_cpu_per_query, sample_searcher)))
    note = "Searcher with 2 replicas a shard and 5 records a reply; no wire, no owner"
    name = "cpu_per_query_in_process"
    return [make_slope(name, "CPU us", "shards of the query", points, note)]


async def _cpu_per_query(sample_searcher: Any) -> float:
    queries = 0
    started = process_time()
    while queries < 3 or process_time() - started < _SECONDS_PER_SIZE:
        result = await sample_searcher.search(search_request())
        assert result.ok.coverage.complete
        queries += 1
    return (process_time() - started) / queries * 1e6


def messages(arguments: Namespace) -> list[Slope]:
    """Return the CPU and bytes of each kind of message by its number of items.

    The CPU is that of the sender and of the receiver together: encoding, decoding and
    handling.
    """
    slopes = []
    # `prepare` returns the operation to measure and the encoded bytes of its messages.
    for name, size, prepare in (
        ("heartbeat", "messages", _heartbeats),
        ("digest", "targets in the digest", _digest),
        ("relayed_announcement", "announcements in the message", _relayed),
        ("sub_request_batch", "sub-requests in the message", _sub_requests),
        ("outcome_batch", "outcomes in the message", _outcomes),
        ("posted_announcement", "announcements", _posted),
        ("address_list", "addresses in the list", _addresses),
    ):
        cpu_points, byte_points = [], []
        for count in arguments.sizes or (1, 10, 30, 100, 300, 1_000):
            operation, length = prepare(count)
            cpu_points.append((float(count), _median_cpu(operation)))
            byte_points.append((float(count), float(length)))
        note = "encode, decode and handle on one core; no socket"
        slopes.append(make_slope(f"cpu_{name}", "CPU us", size, cpu_points, note))
        note = "frames without the headers of ZMTP, TCP and IP"
        slopes.append(make_slope(f"bytes_{name}", "bytes", size, byte_points, note))
    return slopes


def _median_cpu(operation: Callable[[], None]) -> float:
    """Return the median CPU time of an operation in microseconds."""
    operation()
    times = []
    end = process_time() + _SECONDS_PER_SIZE / 2
    while len(times) < 5 or process_time() < end:
        started = process_time()
        operation()
        times.append(process_time() - started)
    return median(times) * 1e6


def _round_trip(message: PeerMessage) -> Any:
    match decode_envelope(encode_envelope(Envelope(_SENDER, message))):
        case Result(tag="ok", ok=envelope):
            return envelope.message
        case Result(error=failure):
            raise AssertionError(failure)


def _encoded_length(message: PeerMessage) -> int:
    return sum(len(frame) for frame in encode_envelope(Envelope(_SENDER, message)))


def _heartbeats(count: int) -> tuple[Callable[[], None], int]:
    record = instance_record(1)
    members = Members(instance_record(0), _CLOCK.monotonic_time())
    message = Heartbeat(record)

    def operation() -> None:
        for _ in range(count):
            received = _round_trip(message)
            now = _CLOCK.monotonic_time()
            members.record_message(record.instance, now)
            members.update_record(received.record, now)

    return operation, count * _encoded_length(message)


def _digest(count: int) -> tuple[Callable[[], None], int]:
    target_directory = make_directory(count, _SHARDS, _CLOCK.monotonic_time())

    def operation() -> None:
        newer_announcements(
            target_directory, _round_trip(announcement_digest(target_directory)), _CLOCK
        )

    return operation, _encoded_length(announcement_digest(target_directory))


def _relayed(count: int) -> tuple[Callable[[], None], int]:
    receiver = make_directory(count, _SHARDS, _CLOCK.monotonic_time())
    sequence = 1

    def make_message() -> Announced:
        now = _CLOCK.monotonic_time()
        return Announced(
            tuple(
                AgedAnnouncement(
                    make_announcement(number, _SHARDS, sequence), now - now
                )
                for number in range(count)
            )
        )

    message = make_message()

    def operation() -> None:
        nonlocal sequence
        sequence += 1
        items = tuple(
            item._replace(announcement=item.announcement._replace(sequence=sequence))
            for item in message.items
        )
        accept_relayed_announcements(receiver, _round_trip(Announced(items)), _CLOCK)

    return operation, _encoded_length(message)


def _sub_requests(count: int) -> tuple[Callable[[], None], int]:
    message = RunSubRequests(
        tuple(sub_request(number, _SHARDS) for number in range(count))
    )
    return lambda: _round_trip(message), _encoded_length(message)


def _outcomes(count: int) -> tuple[Callable[[], None], int]:
    replies = [sub_reply(sub_request(number, _SHARDS)) for number in range(count)]

    def make_message() -> SubRequestOutcomes:
        return SubRequestOutcomes(
            tuple(
                encode_outcome(reply.request_id, Result.Ok(reply)) for reply in replies
            )
        )

    def operation() -> None:
        for frame in _round_trip(make_message()).outcomes:
            decode_outcome(frame)

    return operation, _encoded_length(make_message())


def _posted(count: int) -> tuple[Callable[[], None], int]:
    receiver = make_directory(count, _SHARDS, _CLOCK.monotonic_time())
    instances = [instance_record(number) for number in range(9)]
    bodies = [_announcement_body(number) for number in range(count)]
    sequence = 1

    def operation() -> None:
        nonlocal sequence
        sequence += 1
        for body in bodies:
            posted = decode_announcement(body).ok._replace(sequence=sequence)
            assert accept_announcement(receiver, posted, _CLOCK).is_ok()
            encode_announcement_response(instances)

    return operation, sum(len(body) for body in bodies)


def _addresses(count: int) -> tuple[Callable[[], None], int]:
    instances = [instance_record(number) for number in range(count)]

    def operation() -> None:
        order = addresses_for("caller-1", "helsinki-1", instances)
        encode_addresses(order, timedelta(seconds=10))

    return operation, len(encode_addresses(instances, timedelta(seconds=10)).body)


def _announcement_body(number: int, service: str = SERVICE) -> bytes:
    posted = make_announcement(number, _SHARDS)
    return encode(
        {
            "service": service,
            "target": posted.target,
            "incarnation": posted.incarnation,
            "sequence": posted.sequence,
            "data_centre": posted.data_centre,
            "host": posted.address.host,
            "port": posted.address.port,
            "state": posted.state.value,
            "holdings": [
                {**holding.snapshot._asdict(), "shard": holding.shard}
                for holding in posted.holdings
            ],
            "slots": posted.slots,
            "connections": posted.connections,
            "connect_cost_ms": 6.0,
            "in_flight": posted.load.in_flight,
            "queued": posted.load.queued,
        }
    )
