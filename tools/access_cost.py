"""Measures the processor time of authentication for each request.

Prints, for documents with 0, 79 and 10,000 workspaces, the time of a request with a
key, without one and with a wrong one, and the time to build the index of keys.
"""

from collections.abc import Callable
from datetime import timedelta
from json import dumps
from time import process_time

from lovagetray import SystemClock
from lovagetray.gateway import AccessControl
from lovagetray.platform.formats import decode_document, decode_request
from lovagetray.queries.access import access_limits
from lovagetray.state import RoutingTable, build_table
from lovagetray.wire import RawRequest

_REQUESTS = 20_000
_ROUNDS = 7
_WORKSPACE_COUNTS = (0, 79, 10_000)


def _document(workspaces: int) -> bytes:
    route = {"Name": "r", "Host": "h", "PathPrefix": "/", "RouteType": "safe"}
    document = {
        "Version": 1,
        "Routes": [route | {"TimeoutMs": 100, "Service": "s"}],
        "Services": [{"Name": "s"}],
    }
    if workspaces:
        document["Tenants"] = [
            {"Name": f"w{number}", "ApiKeys": [_key(number)]}
            for number in range(workspaces)
        ]
    return dumps(document).encode()


def _key(number: int) -> str:
    return f"key-{number:028}"


def _best_seconds(work: Callable[[], object]) -> float:
    """Return the processor time of the fastest of several rounds."""
    times = []
    for _ in range(_ROUNDS):
        started_at = process_time()
        work()
        times.append(process_time() - started_at)
    return min(times)


def _admit_microseconds(table: RoutingTable, keys: list[str | None]) -> float:
    clock = SystemClock()
    limits = access_limits(timedelta(seconds=5), timedelta(seconds=4))
    access = AccessControl(limits, clock.monotonic_time, clock)
    route = table.document.routes[0]
    requests = [
        decode_request(
            RawRequest(
                b"GET",
                b"/",
                () if key is None else ((b"Authorization", f"Token {key}".encode()),),
                b"",
            )
        )
        for key in keys
    ]

    def admit_all() -> None:
        for request in requests:
            access.admit(table, route, request)

    return _best_seconds(admit_all) / len(requests) * 1e6


def main() -> None:
    """Print the figures."""
    for count in _WORKSPACE_COUNTS:
        document = decode_document(_document(count)).ok
        table = build_table(document)
        keys = [_key(number % max(1, count)) for number in range(_REQUESTS)]
        figures = {
            "key": _admit_microseconds(table, list(keys)),
            "no key": _admit_microseconds(table, [None] * _REQUESTS),
            "wrong key": _admit_microseconds(table, [key + "x" for key in keys]),
        }
        index = _best_seconds(lambda: build_table(document)) * 1e3
        text = ", ".join(f"{name} {value:.1f} us" for name, value in figures.items())
        print(f"{count} workspaces: {text}; index {index:.1f} ms")


if __name__ == "__main__":
    main()
