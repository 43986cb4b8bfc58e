"""Slopes measured inside one process: memory, messages and the query itself."""

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
    announcement,
    directory,
    instance_record,
    search_request,
    searcher,
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
    accept_relayed,
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
_SECONDS_A_SIZE = 0.5
# The time to accept an announcement grows with the targets of its service.
_TARGETS_A_SERVICE = 90


def memory_replica(arguments: Namespace) -> list[Slope]:
    """Return the memory of a directory against the replicas it knows."""
    points = []
    for targets in arguments.sizes or (100, 1_000, 10_000, 45_000):
        collect()
        start()
        kept = _heard_directory(targets)
        points.append((float(targets), float(get_traced_memory()[0])))
        stop()
        del kept
    note = (
        "Python objects (tracemalloc) of Directory after posted announcements with one"
        f" holding each, {_TARGETS_A_SERVICE} targets in a service"
    )
    name = "memory_per_known_replica"
    return [make_slope(name, "bytes", "replicas known", points, note)]


def _heard_directory(targets: int) -> TargetDirectory:
    """Return a directory of decoded announcements, which share no strings."""
    known = TargetDirectory(timedelta(hours=1))
    for number in range(targets):
        service = f"kallioniemi/invoices-{number // _TARGETS_A_SERVICE}"
        told = decode_announcement(_body(number, service)).ok
        assert known.accept(told, _CLOCK.monotonic_time()).is_ok()
    return known


def cpu_fan_out(arguments: Namespace) -> list[Slope]:
    """Return the CPU of a query against its fan-out, with a fake sender."""
    points = []
    for shards in arguments.sizes or (10, 30, 100, 300, 890):
        side = searcher(shards, 2, _CLOCK)
        points.append((float(shards), run(_search_cost, side)))
    note = "Searcher with 2 replicas a shard and 5 records a reply; no wire, no owner"
    name = "cpu_per_query_in_process"
    return [make_slope(name, "CPU us", "shards of the query", points, note)]


async def _search_cost(side: Any) -> float:
    queries = 0
    started = process_time()
    while queries < 3 or process_time() - started < _SECONDS_A_SIZE:
        result = await side.search(search_request())
        assert result.ok.coverage.complete
        queries += 1
    return (process_time() - started) / queries * 1e6


def messages(arguments: Namespace) -> list[Slope]:
    """Return CPU and bytes of each kind of message against its items.

    The CPU is that of the sender and of the receiver together: encoding, decoding and
    handling.
    """
    found = []
    for name, size, make in (
        ("heartbeat", "messages", _heartbeats),
        ("digest", "targets in the digest", _digest),
        ("relayed_announcement", "announcements in the message", _relayed),
        ("sub_request_batch", "sub-requests in the message", _sub_requests),
        ("outcome_batch", "outcomes in the message", _outcomes),
        ("posted_announcement", "announcements", _posted),
        ("address_list", "addresses in the list", _addresses),
    ):
        cpu, octets = [], []
        for count in arguments.sizes or (1, 10, 30, 100, 300, 1_000):
            work, length = make(count)
            cpu.append((float(count), _cost(work)))
            octets.append((float(count), float(length)))
        note = "encode, decode and handle on one core; no socket"
        found.append(make_slope(f"cpu_{name}", "CPU us", size, cpu, note))
        note = "frames without the headers of ZMTP, TCP and IP"
        found.append(make_slope(f"bytes_{name}", "bytes", size, octets, note))
    return found


def _cost(work: Callable[[], None]) -> float:
    """Return the median CPU of `work` in microseconds."""
    work()
    times = []
    end = process_time() + _SECONDS_A_SIZE / 2
    while len(times) < 5 or process_time() < end:
        started = process_time()
        work()
        times.append(process_time() - started)
    return median(times) * 1e6


def _over_the_wire(message: PeerMessage) -> Any:
    match decode_envelope(encode_envelope(Envelope(_SENDER, message))):
        case Result(tag="ok", ok=envelope):
            return envelope.message
        case Result(error=failure):
            raise AssertionError(failure)


def _length(message: PeerMessage) -> int:
    return sum(len(frame) for frame in encode_envelope(Envelope(_SENDER, message)))


def _heartbeats(count: int) -> tuple[Callable[[], None], int]:
    record = instance_record(1)
    members = Members(instance_record(0), _CLOCK.monotonic_time())
    message = Heartbeat(record)

    def work() -> None:
        for _ in range(count):
            received = _over_the_wire(message)
            now = _CLOCK.monotonic_time()
            members.record_message(record.instance, now)
            members.update_record(received.record, now)

    return work, count * _length(message)


def _digest(count: int) -> tuple[Callable[[], None], int]:
    known = directory(count, _SHARDS, _CLOCK.monotonic_time())

    def work() -> None:
        newer_announcements(known, _over_the_wire(announcement_digest(known)), _CLOCK)

    return work, _length(announcement_digest(known))


def _relayed(count: int) -> tuple[Callable[[], None], int]:
    known = directory(count, _SHARDS, _CLOCK.monotonic_time())
    sequence = 1

    def message() -> Announced:
        now = _CLOCK.monotonic_time()
        return Announced(
            tuple(
                AgedAnnouncement(announcement(number, _SHARDS, sequence), now - now)
                for number in range(count)
            )
        )

    prepared = message()

    def work() -> None:
        nonlocal sequence
        sequence += 1
        items = tuple(
            item._replace(announcement=item.announcement._replace(sequence=sequence))
            for item in prepared.items
        )
        accept_relayed(known, _over_the_wire(Announced(items)), _CLOCK)

    return work, _length(prepared)


def _sub_requests(count: int) -> tuple[Callable[[], None], int]:
    message = RunSubRequests(tuple(sub_request(one, _SHARDS) for one in range(count)))
    return lambda: _over_the_wire(message), _length(message)


def _outcomes(count: int) -> tuple[Callable[[], None], int]:
    replies = [sub_reply(sub_request(one, _SHARDS)) for one in range(count)]

    def message() -> SubRequestOutcomes:
        return SubRequestOutcomes(
            tuple(
                encode_outcome(reply.request_id, Result.Ok(reply)) for reply in replies
            )
        )

    def work() -> None:
        for frame in _over_the_wire(message()).outcomes:
            decode_outcome(frame)

    return work, _length(message())


def _posted(count: int) -> tuple[Callable[[], None], int]:
    known = directory(count, _SHARDS, _CLOCK.monotonic_time())
    serving = [instance_record(number) for number in range(9)]
    bodies = [_body(number) for number in range(count)]
    sequence = 1

    def work() -> None:
        nonlocal sequence
        sequence += 1
        for body in bodies:
            told = decode_announcement(body).ok._replace(sequence=sequence)
            assert accept_announcement(known, told, _CLOCK).is_ok()
            encode_announcement_response(serving)

    return work, sum(len(body) for body in bodies)


def _addresses(count: int) -> tuple[Callable[[], None], int]:
    serving = [instance_record(number) for number in range(count)]

    def work() -> None:
        order = addresses_for("caller-1", "helsinki-1", serving)
        encode_addresses(order, timedelta(seconds=10))

    return work, len(encode_addresses(serving, timedelta(seconds=10)).body)


def _body(number: int, service: str = SERVICE) -> bytes:
    told = announcement(number, _SHARDS)
    return encode(
        {
            "service": service,
            "target": told.target,
            "incarnation": told.incarnation,
            "sequence": told.sequence,
            "data_centre": told.data_centre,
            "host": told.address.host,
            "port": told.address.port,
            "state": told.state.value,
            "holdings": [
                {**holding.snapshot._asdict(), "shard": holding.shard}
                for holding in told.holdings
            ],
            "slots": told.slots,
            "connections": told.connections,
            "connect_cost_ms": 6.0,
            "in_flight": told.load.in_flight,
            "queued": told.load.queued,
        }
    )
