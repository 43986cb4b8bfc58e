"""Steps for crowds of callers that read slowly or do not complete their requests."""

from collections import Counter
from heapq import heappop, heappush
from os import listdir
from pathlib import Path
from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector, SelectorKey
from socket import SO_RCVBUF, SOL_SOCKET, socket
from time import monotonic, sleep

from behave import given, then, when
from behave.runner import Context
from platform_stand_in.fleet import HOST, PlatformFleet

_SERVICE = "long"
_RECORDS = 187_500
_READ_BYTES = 64
_READ_INTERVAL_SECONDS = 0.3
# The crowd arrives within this time, and a refused member comes back after its own.
_ARRIVAL_SECONDS = 5
_RETRY_SECONDS = 2
_MEGABYTE = 1024 * 1024
_GET = f"GET /{_SERVICE}/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()


def _unfinished(path: str, length: int) -> bytes:
    """Return a request without the last byte of its body."""
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + b" " * (length - 1)


# Port and bytes sent by each caller of a crowd.
_CROWDS = {
    "slow readers": ("front", _GET),
    "idle connections": ("front", b""),
    "unfinished bodies": ("front", _unfinished(f"/{_SERVICE}/1", 262_144)),
    "unfinished documents": ("control", _unfinished("/-/config/put", 4_000_000)),
}


@given(
    "a gateway with {memory:d} MB, {descriptors:d} descriptors and responses of "
    "3,000,000 bytes"
)
def start_gateway(context: Context, memory: int, descriptors: int) -> None:
    fleet = context.fleet = PlatformFleet(context.folder)
    fleet.limits = (f"MemoryMb = {memory}", f"MaxFds = {descriptors}")
    fleet.start()
    fleet.start_replicas((_SERVICE,), replicas=3, records=_RECORDS)
    document = fleet.next_configuration((_SERVICE,), (_SERVICE,))
    fleet.wait_until(lambda: fleet.put_configuration(document).status == 200)
    fleet.wait_replicas_known()
    fleet.wait_until(lambda: fleet.get(f"/{_SERVICE}/1").status == 200)


@when("a crowd of {count:d} {crowd} stays for {seconds:d} s")
def stay(context: Context, count: int, crowd: str, seconds: int) -> None:
    port_name, payload = _CROWDS[crowd]
    address = ("127.0.1.1", context.fleet.port(port_name))
    context.peak_memory = context.peak_descriptors = 0
    selector = DefaultSelector()
    outcomes: Counter[str] = Counter()
    started_at = monotonic()
    # Times at which members connect: first one after the other, and again if refused.
    due = [started_at + number * _ARRIVAL_SECONDS / count for number in range(count)]
    measured_at = read_at = 0.0
    while (now := monotonic()) < started_at + seconds:
        while due and due[0] <= now:
            heappop(due)
            selector.register(_connect(address), EVENT_WRITE, memoryview(payload))
        reads = now - read_at >= _READ_INTERVAL_SECONDS
        if reads:
            read_at = now
        if now - measured_at > 0.05:
            measured_at = now
            _measure(context)
        for key, events in selector.select(0.02):
            if events & EVENT_READ and not reads:
                continue
            outcome = _advance(selector, key, events)
            if outcome:
                outcomes[outcome] += 1
            if outcome not in ("", "200"):
                selector.unregister(key.fileobj)
                key.fileobj.close()  # type: ignore[union-attr]
                heappush(due, now + _RETRY_SECONDS)
        # Sockets with unread bytes are always ready, so the selector never waits.
        sleep(0.01)
    _measure(context)
    for key in list(selector.get_map().values()):
        key.fileobj.close()  # type: ignore[union-attr]
    print(
        f"crowd of {count} {crowd}: {context.peak_memory / _MEGABYTE:.0f} MB, "
        f"{context.peak_descriptors} descriptors, {dict(outcomes)}"
    )


def _connect(address: tuple[str, int]) -> socket:
    member = socket()
    member.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    member.setblocking(False)
    member.connect_ex(address)
    return member


def _advance(selector: DefaultSelector, key: SelectorKey, events: int) -> str:
    """Send or read a little; return the status of a response, "closed" or nothing."""
    member = key.fileobj
    assert isinstance(member, socket)
    try:
        if events & EVENT_WRITE:
            rest = key.data[member.send(key.data) :] if key.data else key.data
            selector.modify(member, EVENT_WRITE if rest else EVENT_READ, rest)
            return ""
        data = member.recv(_READ_BYTES)
        if not data:
            return "closed"
        return data[9:12].decode() if data.startswith(b"HTTP/1.1") else ""
    except BlockingIOError:
        return ""
    except OSError:
        return "closed"


def _measure(context: Context) -> None:
    """Keep the greatest resident memory and number of descriptors; 0 if it ended."""
    process = Path(f"/proc/{context.fleet.gateways[0].process.pid}")
    try:
        pages = int((process / "statm").read_text().split()[1])
        descriptors = len(listdir(process / "fd"))
    except (OSError, IndexError):
        return
    context.peak_memory = max(context.peak_memory, pages * 4096)
    context.peak_descriptors = max(context.peak_descriptors, descriptors)


@then("the gateway lives within {memory:d} MB and {descriptors:d} descriptors")
def check_bounds(context: Context, memory: int, descriptors: int) -> None:
    assert context.fleet.gateways[0].process.poll() is None
    assert context.peak_memory <= memory * _MEGABYTE, context.peak_memory
    assert context.peak_descriptors <= descriptors, context.peak_descriptors


@then("it answers an ordinary request afterwards")
def check_answers(context: Context) -> None:
    fleet = context.fleet
    fleet.wait_until(lambda: fleet.get(f"/{_SERVICE}/1").status == 200)
