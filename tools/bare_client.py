"""A minimal h11 client on blocking sockets, as a baseline for an instance's cost."""

from collections import defaultdict
from collections.abc import Sequence
from cProfile import Profile
from pathlib import Path
from pstats import Stats
from socket import create_connection, socket
from time import process_time

from h11 import (
    CLIENT,
    NEED_DATA,
    Connection,
    Data,
    EndOfMessage,
    Request,
)

from lovagetray import Address

_BODY = b'{"terms":"wedding","limit":5}'
_RECEIVE_BYTES = 65536


def bare_cpu_seconds(addresses: Sequence[Address], queries: int, shards: int) -> float:
    """Return the CPU time in seconds that the queries take in this process.

    Parameters
    ----------
    addresses
        Address of a target for each shard; a query asks one after the other.
    """
    clients = [
        (create_connection(address), Connection(CLIENT)) for address in addresses
    ]
    _send_queries(clients, 10, shards)
    start = process_time()
    _send_queries(clients, queries, shards)
    used = process_time() - start
    for client, _ in clients:
        client.close()
    return used


def bare_profile(
    addresses: Sequence[Address], queries: int, shards: int
) -> dict[str, float]:
    """Return the CPU time of a sub-request by package, in us, under cProfile."""
    clients = [
        (create_connection(address), Connection(CLIENT)) for address in addresses
    ]
    profile = Profile(process_time)
    profile.runcall(_send_queries, clients, queries, shards)
    for client, _ in clients:
        client.close()
    return _by_package(Stats(profile), queries * shards)


def package_times(file: Path, sub_requests: int) -> dict[str, float]:
    """Return the CPU time of a sub-request by package, in us, from a stored profile."""
    return _by_package(Stats(str(file)), sub_requests)


def _send_queries(
    clients: Sequence[tuple[socket, Connection]], queries: int, shards: int
) -> None:
    for _ in range(queries):
        for shard, (client, connection) in enumerate(clients):
            _exchange(client, connection, shard, shards)


def _exchange(client: socket, connection: Connection, shard: int, shards: int) -> None:
    """Send a sub-request and receive its reply."""
    head = Request(
        method="POST",
        target="/search",
        headers=[
            ("host", "127.0.0.1"),
            ("content-length", str(len(_BODY))),
            ("x-request-id", "1"),
            ("x-shard", str(shard)),
            ("x-snapshot", f"1/mod/{shards}"),
            ("x-deadline-ms", "330"),
        ],
    )
    payload = connection.send(head) or b""
    payload += connection.send(Data(data=_BODY)) or b""
    payload += connection.send(EndOfMessage()) or b""
    client.sendall(payload)
    while True:
        event = connection.next_event()
        if event is NEED_DATA:
            connection.receive_data(client.recv(_RECEIVE_BYTES))
        elif isinstance(event, EndOfMessage):
            break
    connection.start_next_cycle()


def _by_package(stats: Stats, sub_requests: int) -> dict[str, float]:
    """Return the microseconds of a sub-request by package, the largest first."""
    seconds: dict[str, float] = defaultdict(float)
    entries = stats.stats  # type: ignore[attr-defined]
    for (file, _, function), (_, _, own_time, _, _) in entries.items():
        seconds[_package(file, function)] += own_time
    ordered = sorted(seconds.items(), key=lambda item: -item[1])
    return {name: round(time / sub_requests * 1e6, 1) for name, time in ordered}


def _package(file: str, function: str) -> str:
    if "socket" in function or "poll" in function or "select" in function:
        return "system calls on sockets"
    if file == "~":
        return "built-in functions"
    parts = Path(file).parts
    if "lovagetray" in parts:
        return ".".join(parts[parts.index("lovagetray") :][:2]).removesuffix(".py")
    for name in ("h11", "curio", "msgspec", "zmq", "expression", "structlog"):
        if name in parts:
            return name
    return "other"
