"""Steps for the instances that callers are sent to, and for the shared limits."""

from collections import Counter
from datetime import timedelta

from behave import given, then, when
from behave.runner import Context
from curio import TaskGroup, ignore_after, run, sleep
from curio.socket import AF_INET, SOCK_STREAM, socket
from fakes.replica_script import make_notice

from lovagetray import Address, SystemClock
from lovagetray._types import InstanceCapacity, InstanceId
from lovagetray.gateway import Listing
from lovagetray.platform.formats import decode_reply
from lovagetray.queries.load_balancing import connection_limits
from lovagetray.queries.routing import listed_instances
from lovagetray.state import InstanceRecord, InstanceState, Members, ReplicaDirectory
from lovagetray.targets import ConnectionLimits, ConnectionPool, Exchange

_ONE_HOUR = timedelta(hours=1)
_NOW = timedelta(seconds=1000)


class _FixedClock:
    def monotonic_time(self) -> timedelta:
        return _NOW


@given(
    "{count:d} serving instances in {centres:d} data centres "
    "and replicas in {with_replicas:d} of them"
)
def create_fleet(
    context: Context, count: int, centres: int, with_replicas: int
) -> None:
    context.records = []
    for number in range(count):
        address = Address(f"10.{number % centres}.0.{number // centres + 1}", 7000)
        context.records.append(
            InstanceRecord(
                InstanceId(str(address), "1"),
                InstanceState.SERVING,
                f"d{number % centres}",
                address,
                address,
            )
        )
    context.replicas = {f"d{number}": 42 for number in range(with_replicas)}
    context.replicas[f"d{centres - 1}"] = 2
    context.capacities = {}
    _list(context)


@given(
    "{cores:g} cores and {link:g} Mbit/s each, "
    "but {count:d} with {fast_cores:g} cores and {fast_link:g} Mbit/s"
)
def set_capacities(
    context: Context,
    cores: float,
    link: float,
    count: int,
    fast_cores: float,
    fast_link: float,
) -> None:
    for number, record in enumerate(context.records):
        context.capacities[record.instance.name] = (
            InstanceCapacity(fast_cores, fast_link)
            if number < count
            else InstanceCapacity(cores, link)
        )
    context.fast = context.records[:count]
    _list(context)


@given("{count:d} of the slow instances have not stated their capacity")
def remove_capacities(context: Context, count: int) -> None:
    for record in context.records[-count:]:
        del context.capacities[record.instance.name]
    _list(context)


@when("a listed instance fails")
def fail_one(context: Context) -> None:
    context.before = context.listed
    failed = context.listed[3]
    context.records = [record for record in context.records if record != failed]
    _list(context)


@then("the {count:d} fast instances are listed")
def check_fast(context: Context, count: int) -> None:
    assert len(context.listed) == count, context.listed
    assert set(context.listed) <= set(context.fast), context.listed


@when("all instances in the data centres with replicas fail")
def fail_data_centres(context: Context) -> None:
    context.records = [
        record
        for record in context.records
        if context.replicas.get(record.data_centre, 0) < 42
    ]
    _list(context)


@then("the list has one other instance in its place")
def check_one_replaced(context: Context) -> None:
    assert len(context.listed) == len(context.before)
    assert len(set(context.before) - set(context.listed)) == 1


@then("{count:d} instances are listed, evenly in the data centres with replicas")
def check_even(context: Context, count: int) -> None:
    counts = Counter(record.data_centre for record in context.listed)
    assert sum(counts.values()) == count, counts
    with_replicas = {name for name, number in context.replicas.items() if number > 2}
    assert set(counts) == with_replicas, counts
    assert max(counts.values()) - min(counts.values()) <= 1, counts


@then("{count:d} instances are listed, evenly in the other data centres")
def check_even_others(context: Context, count: int) -> None:
    counts = Counter(record.data_centre for record in context.listed)
    assert sum(counts.values()) == count, counts
    assert max(counts.values()) - min(counts.values()) <= 1, counts


@then("{count:d} instances are listed")
def check_count(context: Context, count: int) -> None:
    assert len(context.listed) == count


@then("all instances that know the same ones list the same ones")
def check_same(context: Context) -> None:
    shuffled = sorted(context.records, key=lambda record: record.instance.name[::-1])
    listed = listed_instances(shuffled, context.replicas, context.capacities)
    assert listed == context.listed


@then("the parts of all instances add up to at most the whole retry budget")
def check_budget(context: Context) -> None:
    parts = sum(1 / listing.budget_sharers() for listing in _listings(context))
    assert 0.9 <= parts <= 1.0001, parts


@then(
    "the listed instances may open at most {most:d} connections "
    "to a replica of {limit:d}"
)
def check_connections(context: Context, most: int, limit: int) -> None:
    replica = make_notice("r1")
    opened = 0
    for listing, record in zip(_listings(context), context.records):
        if listing.is_listed:
            opened += connection_limits(
                replica,
                lambda: [replica],
                limit,
                listing.connection_sharers(),
                record.instance.name,
                record.data_centre,
            ).hard_limit
    assert 0 < opened <= most, opened


@given("a replica that closes idle connections after {milliseconds:d} ms")
def set_idle_timeout(context: Context, milliseconds: int) -> None:
    context.idle_seconds = milliseconds / 1000


@when("a connection to it is opened ahead of use and ends unused")
def open_unused(context: Context) -> None:
    """Open a connection, then send a request; note before and after what is needed.

    Both run in one event loop, as the connections belong to it.
    """

    async def main() -> None:
        listener = socket(AF_INET, SOCK_STREAM)
        listener.bind(("127.0.0.1", 0))
        listener.listen(4)
        notice = make_notice("r")._replace(address=Address(*listener.getsockname()))
        async with TaskGroup(wait=None) as group:
            await group.spawn(_serve, listener, context.idle_seconds)
            pool = ConnectionPool(
                SystemClock(),
                decode_reply,
                group,
                lambda _: ConnectionLimits(1, 1),
                lambda _: True,
            )
            context.needed = [pool.needs_connection(notice)]
            await pool.connect(notice)
            await _wait_until_closed(pool)
            context.needed.append(pool.needs_connection(notice))
            await pool.start(_exchange_with(notice))
            await _wait_until_closed(pool)
            context.needed.append(pool.needs_connection(notice))
        await listener.close()

    run(main)


@then("no connection is needed ahead of use")
def check_not_needed(context: Context) -> None:
    assert context.needed[:2] == [True, False], context.needed


@when("a request is sent to it and its connection ends")
def check_request_sent(context: Context) -> None:
    # Sent by the step before.
    assert len(context.needed) == 3


@then("a connection is needed ahead of use again")
def check_needed_again(context: Context) -> None:
    assert context.needed[2], context.needed


def _list(context: Context) -> None:
    context.listed = listed_instances(
        context.records, context.replicas, context.capacities
    )


class _IgnoringWaiter:
    async def deliver(self, exchange: Exchange, outcome: object) -> None:
        """Ignore the outcome."""


def _exchange_with(notice: object) -> Exchange:
    deadline = SystemClock().monotonic_time() + timedelta(seconds=30)
    payload = b"GET / HTTP/1.1\r\n\r\n"
    return Exchange(notice, "r1", payload, _IgnoringWaiter(), deadline)  # type: ignore


async def _serve(listener: object, idle_seconds: float) -> None:
    while True:
        client, _ = await listener.accept()  # type: ignore
        async with client:
            request = await ignore_after(idle_seconds, client.recv(1000))
            if request:
                response = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n"
                await client.sendall(response + b"Server-Stamp: s\r\n\r\n")
                await sleep(idle_seconds)


async def _wait_until_closed(pool: ConnectionPool) -> None:
    await sleep(0.01)
    while pool.open_count:
        await sleep(0.01)


def _listings(context: Context) -> list[Listing]:
    directory = ReplicaDirectory(_ONE_HOUR, _ONE_HOUR)
    number = 0
    for data_centre, count in context.replicas.items():
        for _ in range(count):
            number += 1
            notice = make_notice(f"q{number}")._replace(data_centre=data_centre)
            directory.accept(notice, _NOW)
    listings = []
    for own in context.records:
        members = Members(own, _ONE_HOUR)
        for record in context.records:
            members.update_record(record, _NOW)
        listings.append(Listing(members, directory, _FixedClock()))  # type: ignore
    return listings
