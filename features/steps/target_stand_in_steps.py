"""Steps for the target stand-in."""

from socket import create_connection

from behave import then, when
from behave.runner import Context

_RAW_SEARCH = (
    b"POST /search HTTP/1.1\r\nhost: a\r\nx-snapshot: 1/mod/1\r\n"
    b'content-length: 25\r\n\r\n{"terms":"a","limit":100}'
)


@when("a connection to the target is closed during a long search")
def close_during_search(context: Context) -> None:
    port = context.fleet.targets[0].port
    context.fleet.post(port, "/control", {"delay": 600_000})
    with create_connection(("127.0.0.1", port), timeout=10) as client:
        client.sendall(_RAW_SEARCH)
        context.fleet.wait_until(lambda: _in_flight(context) == 1)


@then("the target has no work in flight")
def check_idle(context: Context) -> None:
    context.fleet.wait_until(lambda: _in_flight(context) == 0, 5)


def _in_flight(context: Context) -> int:
    target = context.fleet.targets[0]
    in_flight: int = context.fleet.post(target.port, "/control", {})["in_flight"]
    return in_flight
