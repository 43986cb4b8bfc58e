"""Values of a realistic size, and fakes, for measurements inside one process."""

from collections.abc import Sequence
from datetime import timedelta

from curio import Queue
from expression import Ok

from lovagetray import Address, Announcement, Clock, SearchRequest, Snapshot
from lovagetray._types import (
    Holding,
    InstanceId,
    Load,
    Record,
    SubReply,
    SubRequest,
    TargetState,
)
from lovagetray._violations import Violations
from lovagetray.queries.search import Searcher
from lovagetray.state import InstanceRecord, InstanceState, TargetDirectory
from lovagetray.targets import SubOutcome

SERVICE = "kallioniemi/invoices"
_RECORDS = tuple(
    Record(
        f"INV-{number:06d}",
        0.123456,
        {"text": "wedding album press", "town": "Helsinki", "amount": "120.00"},
    )
    for number in range(5)
)


def snapshot(shards: int) -> Snapshot:
    """Return a snapshot with the given number of shards."""
    return Snapshot(7, "mod", shards)


def make_announcement(number: int, shards: int, sequence: int = 1) -> Announcement:
    """Return the announcement of a replica; its number gives its shard and address."""
    return Announcement(
        service=SERVICE,
        target=f"invoices-{number % shards}-{number // shards}",
        incarnation=1_700_000_000_000_000_000,
        sequence=sequence,
        data_centre="helsinki-1",
        address=Address("127.0.0.1", 20_000 + number % 40_000),
        state=TargetState.READY,
        holdings=(Holding(snapshot(shards), number % shards),),
        slots=5,
        connections=40,
        connect_cost=timedelta(milliseconds=6),
        load=Load(2, 0),
    )


def make_directory(targets: int, shards: int, now: timedelta) -> TargetDirectory:
    """Return a directory with the given number of targets, accepted at `now`."""
    target_directory = TargetDirectory(timedelta(hours=1))
    for number in range(targets):
        target_directory.accept(make_announcement(number, shards), now)
    return target_directory


def instance_record(number: int) -> InstanceRecord:
    """Return the record of a serving instance."""
    return InstanceRecord(
        InstanceId(f"entry-{number}", "20261204T111500.123456"),
        InstanceState.SERVING,
        "helsinki-1",
        Address("127.0.0.1", 8101),
        Address("127.0.0.1", 9101),
    )


def sub_request(number: int, shards: int) -> SubRequest:
    """Return the sub-request of a query to the shard with a number."""
    return SubRequest(
        request_id=f"{number:032x}",
        query_id="0" * 32,
        service=SERVICE,
        target=f"invoices-{number}-0",
        shard=number,
        snapshot=snapshot(shards),
        time_left=timedelta(milliseconds=330),
        terms="wedding album",
        limit=5,
    )


def sub_reply(request: SubRequest) -> SubReply:
    """Return a reply with five records to a sub-request."""
    return SubReply(
        request.request_id, request.shard, request.snapshot, _RECORDS, timedelta(0)
    )


class InstantSender:
    """A sender that answers at once, so that only the cost of the query is measured."""

    async def send(self, requests: Sequence[SubRequest], outcome_queue: Queue) -> None:
        for request in requests:
            await outcome_queue.put(
                SubOutcome(request.request_id, Ok(sub_reply(request)))
            )

    async def cancel(self, request_ids: Sequence[str]) -> None:
        pass


def make_searcher(shards: int, replicas: int, clock: Clock) -> Searcher:
    """Return a searcher that knows all replicas and uses an `InstantSender`."""
    target_directory = make_directory(shards * replicas, shards, clock.monotonic_time())
    return Searcher(target_directory, InstantSender(), clock, Violations())


def search_request() -> SearchRequest:
    """Return a search whose time is enough for any number of shards."""
    return SearchRequest(
        request_id="1",
        service=SERVICE,
        member="member-1",
        terms="wedding album",
        limit=5,
        time_left=timedelta(seconds=60),
        require_complete=False,
    )
