"""Slopes measured on running entry instances and target stand-ins."""

from argparse import Namespace
from collections.abc import Callable
from contextlib import contextmanager
from datetime import timedelta
from os import sysconf
from pathlib import Path
from signal import SIGTERM
from socket import create_connection
from subprocess import Popen
from sys import executable
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from tracemalloc import get_traced_memory, start, stop
from typing import Iterator, NamedTuple
from urllib.request import urlopen

from bare_client import bare_cpu_seconds, bare_profile, package_times
from curio import run
from fleet import EntryProcess, Fleet, free_ports
from prometheus_client.parser import text_string_to_metric_families
from slope import Slope, make_slope

from lovagetray import Address, SystemClock
from lovagetray.wire import HttpConnection

_SERVICE = "kallioniemi/invoices"
_HERE = Path(__file__).parent
_TICKS_PER_SECOND = sysconf("SC_CLK_TCK")
_SETTLE_SECONDS = 3.0
_TIMEOUT = timedelta(seconds=10)
_SEARCH_BODY = (
    b'{"service":"kallioniemi/invoices","terms":"wedding","limit":5,'
    b'"deadline_ms":9000}'
)
_QUERY_COUNTS = (50, 100, 200)


class _Sample(NamedTuple):
    """What an instance has used up to a monotonic time in seconds."""

    time: float
    cpu_seconds: float
    peer_bytes: float


def _cpu_seconds(process: Popen[bytes]) -> float:
    # The fields after the name of the program; 11 and 12 are user and system time.
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def _resident_bytes(process: Popen[bytes]) -> float:
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1]) * 1024
    return 0.0


def _peer_bytes(entry: EntryProcess) -> float:
    with urlopen(f"http://127.0.0.1:{entry.http_port}/metrics", timeout=5) as response:
        text = response.read().decode()
    return sum(
        sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == "tool_peer_bytes_total"
    )


def _sample(entry: EntryProcess) -> _Sample:
    return _Sample(monotonic(), _cpu_seconds(entry.process), _peer_bytes(entry))


@contextmanager
def _fleet(instances: int, *options: str) -> Iterator[Fleet]:
    program = [executable, str(_HERE / "counted_entry.py"), *options]
    with TemporaryDirectory() as folder, Fleet(Path(folder), program) as fleet:
        fleet.start_entries(instances)
        yield fleet


@contextmanager
def _targets(
    fleet: Fleet, shards: int, connections: int = 40
) -> Iterator[list[Address]]:
    """Run one target for each shard in one process; yield their addresses."""
    port = free_ports(1)[0]
    command = [executable, str(_HERE / "target_host.py"), "--service", _SERVICE]
    command += ["--control-port", str(port), "--shards", str(shards)]
    command += ["--delay", "0", "--records", str(5 * shards)]
    command += ["--connections", str(connections)]
    for entry in fleet.entries:
        command += ["--entry", f"127.0.0.1:{entry.http_port}"]
    process = Popen(command)
    try:
        fleet.wait_until(lambda: _usable_targets(fleet) >= shards, 60)
        targets = fleet.post(port, "/control", {})
        yield [Address("127.0.0.1", target["port"]) for target in targets.values()]
    finally:
        process.terminate()
        process.wait()


def _usable_targets(fleet: Fleet) -> int:
    """Return how many targets the instance that knows fewest can use."""
    return min(
        int(fleet.status(entry)["services"].get(_SERVICE, {}).get("usable", 0))
        for entry in fleet.entries
    )


class _Rates(NamedTuple):
    """Means over the instances of peer traffic, CPU time and resident memory."""

    bytes_per_second: float
    cpu_us_per_second: float
    resident_bytes: float


def _measure_rates(fleet: Fleet, seconds: float) -> _Rates:
    sleep(_SETTLE_SECONDS)
    before = [_sample(entry) for entry in fleet.entries]
    sleep(seconds)
    after = [_sample(entry) for entry in fleet.entries]
    count = len(fleet.entries)
    pairs = list(zip(before, after))
    return _Rates(
        sum(
            (new.peer_bytes - old.peer_bytes) / (new.time - old.time)
            for old, new in pairs
        )
        / count,
        sum(
            (new.cpu_seconds - old.cpu_seconds) / (new.time - old.time)
            for old, new in pairs
        )
        / count
        * 1e6,
        sum(_resident_bytes(entry.process) for entry in fleet.entries) / count,
    )


def _control_slopes(name: str, size: str, rates: dict[int, _Rates]) -> list[Slope]:
    def points(value: Callable[[_Rates], float]) -> list[tuple[float, float]]:
        return [(float(count), value(rate)) for count, rate in rates.items()]

    note = "frames between instances, sent and received; no headers of ZMTP and TCP"
    traffic = points(lambda rate: rate.bytes_per_second)
    cpu = points(lambda rate: rate.cpu_us_per_second)
    memory = points(lambda rate: rate.resident_bytes)
    return [
        make_slope(f"control_bytes_per_{name}", "bytes/s a node", size, traffic, note),
        make_slope(
            f"control_cpu_per_{name}", "CPU us/s a node", size, cpu, "idle instances"
        ),
        make_slope(
            f"memory_per_{name}", "bytes a node", size, memory, "resident memory"
        ),
    ]


def control_instances(arguments: Namespace) -> list[Slope]:
    """Return control traffic, CPU and memory of an instance by number of instances."""
    rates = {}
    for count in arguments.sizes or (3, 10, 30):
        with _fleet(count) as fleet:
            rates[count] = _measure_rates(fleet, arguments.seconds)
    return _control_slopes("instance", "instances", rates)


def control_targets(arguments: Namespace) -> list[Slope]:
    """Return control traffic, CPU and memory of an instance by announced targets."""
    rates = {}
    for count in arguments.sizes or (10, 30, 100, 300):
        with _fleet(3) as fleet, _targets(fleet, count):
            rates[count] = _measure_rates(fleet, arguments.seconds)
    return _control_slopes("target", "targets announced to 3 instances", rates)


def memory_connection(arguments: Namespace) -> list[Slope]:
    """Return the memory of an instance by open connections of callers."""
    points = []
    with _fleet(1) as fleet:
        entry = fleet.entries[0]
        opened = []
        for count in arguments.sizes or (10, 100, 300, 1_000):
            while len(opened) < count:
                connection = create_connection(("127.0.0.1", entry.http_port))
                connection.sendall(b"GET /healthz HTTP/1.1\r\nhost: entry\r\n\r\n")
                connection.recv(4096)
                opened.append(connection)
            sleep(0.5)
            points.append((float(count), _resident_bytes(entry.process)))
        for connection in opened:
            connection.close()
    note = (
        "resident memory after one request on each; the kernel's buffers not included"
    )
    name = "memory_per_open_connection"
    return [make_slope(name, "bytes", "open connections", points, note)]


def memory_target_connection(arguments: Namespace) -> list[Slope]:
    """Return the memory of the client side of connections to targets."""
    sizes = arguments.sizes or (10, 100, 300, 1_000)
    with _fleet(1) as fleet, _targets(fleet, 1, max(sizes)) as addresses:
        points = [
            (float(count), float(run(_memory_of_connections, addresses[0], count)))
            for count in sizes
        ]
    note = "Python objects (tracemalloc) of HttpConnection after one exchange on each"
    name = "memory_per_target_connection"
    return [make_slope(name, "bytes", "connections to targets", points, note)]


async def _memory_of_connections(address: Address, count: int) -> int:
    start()
    connections = []
    for _ in range(count):
        opened = await HttpConnection.open("target", address, SystemClock(), _TIMEOUT)
        await opened.ok.exchange("GET", "/", {}, b"", _TIMEOUT)
        connections.append(opened.ok)
    used = get_traced_memory()[0]
    stop()
    for connection in connections:
        await connection.close()
    return used


def cpu_connections(arguments: Namespace) -> list[Slope]:
    """Return the CPU of an instance for a query by fan-out, over connections."""
    points = []
    for shards in arguments.sizes or (10, 30, 100):
        with _fleet(1) as fleet, _targets(fleet, shards):
            cost = _cpu_of_queries(fleet, 100)
            points.append((float(shards), cost / 100 * 1e6))
    note = "one instance that owns all replicas, one caller; idle CPU subtracted"
    name = "cpu_per_query_over_connections"
    return [make_slope(name, "CPU us", "shards of the query", points, note)]


def cpu_sub_request(arguments: Namespace) -> list[Slope]:
    """Return the CPU of a sub-request, and of one in a bare h11 loop."""
    shards = 10
    entry, forwarded, bare = [], [], []
    with _fleet(1) as fleet, _targets(fleet, shards) as addresses:
        for queries in arguments.sizes or _QUERY_COUNTS:
            sub_requests = float(queries * shards)
            entry.append((sub_requests, _cpu_of_queries(fleet, queries) * 1e6))
            bare.append(
                (sub_requests, bare_cpu_seconds(addresses, queries, shards) * 1e6)
            )
        bare_packages = bare_profile(addresses, 300, shards)
    with _fleet(3) as fleet, _targets(fleet, shards):
        for queries in arguments.sizes or _QUERY_COUNTS:
            cost = _cpu_of_queries(fleet, queries) * 1e6
            forwarded.append((float(queries * shards), cost))
    size = "sub-requests"
    note = f"queries over {shards} shards, one caller, idle CPU subtracted"
    slopes = [
        make_slope("cpu_per_sub_request_entry", "CPU us", size, entry, note),
        make_slope("cpu_per_sub_request_bare", "CPU us", size, bare, "h11 on sockets"),
        make_slope(
            "cpu_per_sub_request_forwarded",
            "CPU us",
            size,
            forwarded,
            f"{note}; sum over 3 instances that own a third of the replicas each",
        ),
    ]
    slopes[0]["profile"] = {
        "entry": _entry_profile(shards, 300),
        "bare": bare_packages,
    }
    return slopes


def _cpu_of_queries(fleet: Fleet, queries: int) -> float:
    """Return the CPU seconds of all instances for queries, less their idle CPU time.

    The idle CPU time is measured over 1 s before the queries.
    """
    run(_send_queries, fleet, 10)
    started = monotonic()
    idle = sum(_cpu_seconds(entry.process) for entry in fleet.entries)
    sleep(1.0)
    idle = sum(_cpu_seconds(entry.process) for entry in fleet.entries) - idle
    idle /= monotonic() - started
    started = monotonic()
    used = sum(_cpu_seconds(entry.process) for entry in fleet.entries)
    run(_send_queries, fleet, queries)
    used = sum(_cpu_seconds(entry.process) for entry in fleet.entries) - used
    return used - idle * (monotonic() - started)


async def _send_queries(fleet: Fleet, queries: int) -> None:
    address = Address("127.0.0.1", fleet.entries[0].http_port)
    opened = await HttpConnection.open("entry", address, SystemClock(), _TIMEOUT)
    for _ in range(queries):
        reply = await opened.ok.exchange(
            "POST", "/v1/search", {}, _SEARCH_BODY, _TIMEOUT
        )
        assert b'"complete":true' in reply.ok.body, reply.ok.body
    await opened.ok.close()


def _entry_profile(shards: int, queries: int) -> dict[str, float]:
    """Return the CPU microseconds of a sub-request by package, under cProfile."""
    with TemporaryDirectory() as folder:
        file = Path(folder) / "entry.profile"
        with _fleet(1, "--profile", str(file)) as fleet, _targets(fleet, shards):
            run(_send_queries, fleet, queries)
            process = fleet.entries[0].process
            process.send_signal(SIGTERM)
            sleep(0.5)
            # The second signal skips the wait for address lists to expire.
            process.send_signal(SIGTERM)
            process.wait(20)
        return package_times(file, queries * shards)
