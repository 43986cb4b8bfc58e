"""Compares searches through an entry instance with a bare sequential client.

The sequential client sends its sub-requests one after another, straight to the targets.
"""

from argparse import ArgumentParser
from datetime import timedelta
from pathlib import Path
from statistics import median, quantiles
from tempfile import TemporaryDirectory
from time import perf_counter

from curio import run
from fleet import Fleet

from lovagetray import Address, SystemClock
from lovagetray.wire import HttpConnection

_SERVICE = "kallioniemi/invoices"
_TIMEOUT = timedelta(seconds=5)
_BODY = b'{"terms":"wedding album","limit":5}'


async def _time_entry(fleet: Fleet, count: int) -> list[float]:
    clock = SystemClock()
    address = Address("127.0.0.1", fleet.entries[0].http_port)
    opened = await HttpConnection.open("entry", address, clock, _TIMEOUT)
    body = b'{"service":"%s","terms":"wedding album","deadline_ms":5000}'
    times = []
    for _ in range(count):
        started = perf_counter()
        reply = await opened.ok.exchange(
            "POST", "/v1/search", {}, body % _SERVICE.encode(), _TIMEOUT
        )
        times.append(perf_counter() - started)
        assert reply.ok.status == 200
    return times


async def _time_sequential_client(fleet: Fleet, shards: int, count: int) -> list[float]:
    clock = SystemClock()
    connections = []
    for target in fleet.targets[:shards]:
        address = Address("127.0.0.1", target.port)
        opened = await HttpConnection.open(target.name, address, clock, _TIMEOUT)
        connections.append(opened.ok)
    times = []
    for _ in range(count):
        started = perf_counter()
        for shard, connection in enumerate(connections):
            headers = {
                "x-request-id": "1",
                "x-shard": str(shard),
                "x-snapshot": f"1/mod/{shards}",
            }
            await connection.exchange("POST", "/search", headers, _BODY, _TIMEOUT)
        times.append(perf_counter() - started)
    return times


def _print_percentiles(name: str, times: list[float]) -> None:
    p99 = quantiles(times, n=100)[98]
    print(f"{name}: p50 {median(times) * 1000:.1f} ms, p99 {p99 * 1000:.1f} ms")


def main() -> None:
    """Print the latency percentiles of both, measured on the same targets."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--queries", type=int, default=300)
    parser.add_argument("--shards", type=int, default=10)
    parser.add_argument("--delay", default="5", help="mean work time of a target in ms")
    arguments = parser.parse_args()
    with TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.start_entries(3)
        fleet.start_targets(_SERVICE, arguments.shards, 3, ["--delay", arguments.delay])
        _print_percentiles(
            "bare sequential client",
            run(_time_sequential_client, fleet, arguments.shards, arguments.queries),
        )
        _print_percentiles(
            "through an entry", run(_time_entry, fleet, arguments.queries)
        )


if __name__ == "__main__":
    main()
