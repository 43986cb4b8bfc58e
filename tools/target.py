"""Stand-in for a target, which serves one shard of generated invoice records.

It is not part of the program.
"""

from argparse import ArgumentDefaultsHelpFormatter, ArgumentParser, Namespace
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from signal import SIGINT, SIGTERM
from sys import argv, stderr
from time import time_ns
from typing import Any, NamedTuple

from curio import Event, TaskGroup, run, sleep
from expression import Result
from msgspec.json import decode, encode

from lovagetray import Address, SystemClock
from lovagetray._signals import SignalListener
from lovagetray.cli._arguments import address_argument
from lovagetray.wire import (
    HttpConnection,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    encode_failure,
)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
_JSON_HEADERS = {"content-type": "application/json"}
_ANNOUNCEMENT_INTERVAL_SECONDS = 1.0
# Behaviour of a target with a fault:
# - silent: a request that is accepted gets no response
# - silent_reused: only the first request of a connection gets a response
# - shed: requests are refused as if all slots were in use
# - crossed: responses to searches carry a wrong request id
# - mixed: responses to searches name another snapshot than the requested one
_FAULTS = ("", "silent", "silent_reused", "shed", "crossed", "mixed")
_WORDS = "wedding portrait press family studio print album travel retouch express"
_TOWNS = "Helsinki Turku Tampere Oulu Kuopio Vaasa Pori Lahti Kotka Joensuu"


class Invoice(NamedTuple):
    """A searchable record."""

    id: str
    score: float
    fields: dict[str, str]


def make_invoices(count: int, seed: int) -> list[Invoice]:
    """Return generated invoice records, the same ones for the same seed."""
    random = Random(seed)
    words, towns = _WORDS.split(), _TOWNS.split()
    return [
        Invoice(
            id=f"INV-{number:06d}",
            score=round(random.random(), 6),
            fields={
                "text": " ".join(random.sample(words, 3)),
                "town": random.choice(towns),
                "amount": f"{random.randint(50, 2500)}.00",
            },
        )
        for number in range(count)
    ]


class Target:
    """A replica of one shard with changeable delay, faults, versions and state.

    Parameters
    ----------
    arguments
        Options as `target_parser` returns them.
    """

    def __init__(self, arguments: Namespace) -> None:
        self._arguments = arguments
        self._incarnation = time_ns()
        self._sequence = 0
        self._state = "ready"
        self._in_flight = 0
        self._versions = set(arguments.version)
        self._shard_records = [
            invoice
            for number, invoice in enumerate(
                make_invoices(arguments.records, arguments.seed)
            )
            if number % arguments.shards == arguments.shard
        ]
        self._random = Random(f"{arguments.seed}/{arguments.name}")
        self._delay = arguments.delay
        self._fault = arguments.fault
        self._executed: list[str] = []
        # Requests so far on each connection, by the port of the peer.
        self._request_counts: dict[int, int] = {}
        self._received = 0
        self._port = 0
        # In flight and queued requests that announcements report in place of real ones.
        self._frozen_reports: tuple[int, int] | None = None
        self._entries: list[Address] = list(arguments.entry)
        self._clock = SystemClock()

    @property
    def name(self) -> str:
        """The name under which the target announces itself."""
        return str(self._arguments.name)

    async def run(self) -> None:
        """Serve and announce until SIGTERM or SIGINT, then drain."""
        signals = SignalListener((SIGTERM, SIGINT))
        async with TaskGroup(wait=None) as group:
            await group.spawn(self.serve)
            await signals.receive()
            self._state = "leaving"
            for _ in range(2):
                await self._announce_once()
            await sleep(self._arguments.drain)

    async def serve(self) -> None:
        """Serve and announce until cancelled; each call is a new incarnation."""
        self._incarnation = time_ns()
        self._in_flight = 0
        limits = HttpLimits(connections=self._arguments.connections)
        delay = self._arguments.connect_delay / 1000
        server = _DelayedServer(self._handle, self._clock, limits, delay)
        listener = server.listen(Address("127.0.0.1", self._arguments.port))
        self._port = listener._socket.getsockname()[1]
        async with TaskGroup(wait=any) as group:
            await group.spawn(server.run, listener)
            await group.spawn(self._announce_forever)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        connection = request.peer_port
        previous = self._request_counts.get(connection, 0)
        self._request_counts[connection] = previous + 1
        if self._fault == "silent_reused" and previous and request.path != "/control":
            await Event().wait()
        match request.method, request.path:
            case "POST", "/search":
                return await self._search(request)
            case "POST", "/execute":
                return await self._execute(request)
            case "POST", "/control":
                document = self.change(decode(request.body))
                return HttpResponse(200, dict(_JSON_HEADERS), encode(document))
            case _:
                return _reply(404, {"code": "unknown"}, request)

    def change(self, change: dict[str, Any]) -> dict[str, Any]:
        """Change the target while it runs and return its counters.

        Parameters
        ----------
        change
            The fields to change: delay (ms), fault, versions, state and freeze_reports;
            others are ignored.
        """
        self._delay = change.get("delay", self._delay)
        self._fault = change.get("fault", self._fault)
        self._state = change.get("state", self._state)
        self._versions = set(change.get("versions", self._versions))
        if "freeze_reports" in change:
            frozen = (self._in_flight, 0) if change["freeze_reports"] else None
            self._frozen_reports = frozen
        return {
            "executed": self._executed,
            "in_flight": self._in_flight,
            "received": self._received,
            "port": self._port,
        }

    async def _search(self, request: HttpRequest) -> HttpResponse:
        self._received += 1
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        self._in_flight += 1
        try:
            await self._work()
        finally:
            self._in_flight -= 1
        search = decode(request.body)
        words = set(search["terms"].lower().split())
        matches = [
            invoice
            for invoice in self._shard_records
            if words & _searchable_words(invoice)
        ]
        matches.sort(key=lambda invoice: (invoice.score, invoice.id), reverse=True)
        records = [invoice._asdict() for invoice in matches[: search["limit"]]]
        return _reply(200, {"records": records}, request, self._fault)

    async def _execute(self, request: HttpRequest) -> HttpResponse:
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        execution = decode(request.body)
        self._executed.append(execution["key"])
        await self._work()
        return _reply(200, {"outcome": f"done {len(self._executed)}"}, request)

    def _refusal(self, request: HttpRequest) -> HttpResponse | None:
        """Return the refusal of a request, or None if the target accepts it."""
        if self._state == "leaving":
            return _reply(503, {"code": "draining"}, request)
        if self._state == "starting":
            return _reply(503, {"code": "starting"}, request)
        if self._in_flight >= self._arguments.slots or self._fault == "shed":
            return _reply(503, {"code": "shed"}, request)
        version = int(request.headers.get("x-snapshot", "0/").split("/")[0])
        if request.path == "/search" and version not in self._versions:
            return _reply(409, {"code": "snapshot_unavailable"}, request)
        return None

    async def _work(self) -> None:
        """Wait for the time that the work on one request takes."""
        if self._fault == "silent":
            await Event().wait()
        tail = self._arguments.tail
        factor = 1 - tail + tail * self._random.expovariate(1.0)
        await sleep(factor * self._delay / 1000)

    async def _announce_forever(self) -> None:
        while True:
            await self._announce_once()
            await sleep(_ANNOUNCEMENT_INTERVAL_SECONDS)

    async def _announce_once(self) -> None:
        """Try the instances in turn until one accepts the announcement."""
        for _ in range(len(self._entries)):
            address = self._entries[self._sequence % len(self._entries)]
            self._sequence += 1
            if await self._announce_to(address):
                return

    async def _announce_to(self, address: Address) -> bool:
        """Send an announcement to an instance; return whether it was accepted.

        The reply lists the instances that receive the next announcements.
        """
        timeout = timedelta(seconds=0.5)
        opened = await HttpConnection.open("entry", address, self._clock, timeout)
        match opened:
            case Result(tag="ok", ok=connection):
                body = encode(self._announcement())
                replied = await connection.exchange(
                    "POST", "/v1/announce", {}, body, timeout
                )
                await connection.close()
            case _:
                return False
        match replied:
            case Result(tag="ok", ok=HttpResponse(status=200, body=body)):
                listed = [
                    Address(instance["host"], instance["port"])
                    for instance in decode(body)["instances"]
                ]
                self._entries = listed or self._entries
                return True
            case Result(tag="ok", ok=HttpResponse(body=body)):
                print(body.decode(), file=stderr)
                return False
            case _:
                return False

    def _announcement(self) -> dict[str, Any]:
        arguments = self._arguments
        in_flight, queued = self._frozen_reports or (self._in_flight, 0)
        return {
            "service": arguments.service,
            "target": arguments.name,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "data_centre": arguments.data_centre,
            "host": "127.0.0.1",
            "port": self._port,
            "state": self._state,
            "holdings": [
                {
                    "version": version,
                    "layout": arguments.layout,
                    "shards": arguments.shards,
                    "shard": arguments.shard,
                }
                for version in sorted(self._versions)
            ],
            "slots": arguments.slots,
            "connections": arguments.connections,
            "connect_cost_ms": arguments.connect_cost,
            "in_flight": in_flight,
            "queued": queued,
        }


class _DelayedServer(HttpServer):
    """An HTTP server that delays the first exchange on each new connection.

    Parameters
    ----------
    connect_delay
        Delay in seconds.
    """

    def __init__(
        self,
        handler: Handler,
        clock: SystemClock,
        limits: HttpLimits,
        connect_delay: float,
    ) -> None:
        super().__init__(handler, encode_failure, clock, limits, cancel_on_close=True)
        self._connect_delay = connect_delay

    async def _serve(self, client: Any, peer: tuple[str, int]) -> None:
        await sleep(self._connect_delay)
        await super()._serve(client, peer)


def _searchable_words(invoice: Invoice) -> set[str]:
    text = f"{invoice.fields['text']} {invoice.fields['town']}"
    return {*text.lower().split(), invoice.id.lower()}


def _reply(
    status: int, document: dict[str, Any], request: HttpRequest, fault: str = ""
) -> HttpResponse:
    request_id = request.headers.get("x-request-id", "")
    headers = {
        "content-type": "application/json",
        "x-request-id": "crossed" if fault == "crossed" else request_id,
        "x-snapshot": request.headers.get("x-snapshot", ""),
        "x-shard": request.headers.get("x-shard", ""),
    }
    if fault == "mixed":
        headers["x-snapshot"] = "0/other/1"
    return HttpResponse(status, headers, encode(document))


def target_parser() -> ArgumentParser:
    """Return the parser for the command line options of a target."""
    parser = ArgumentParser(
        description=__doc__, formatter_class=ArgumentDefaultsHelpFormatter
    )
    parser.add_argument("--service", default="kallioniemi/invoices")
    parser.add_argument("--name", required=True)
    parser.add_argument("--entry", type=address_argument, action="append", default=[])
    parser.add_argument("--port", type=int, default=0, help="0 takes a free port")
    parser.add_argument("--data-centre", default="helsinki-1")
    parser.add_argument("--shard", type=int, default=0)
    parser.add_argument("--shards", type=int, default=1)
    parser.add_argument("--layout", default="mod")
    parser.add_argument("--version", type=int, action="append", default=[])
    parser.add_argument(
        "--records", type=int, default=3000, help="number over all shards"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slots", type=int, default=5)
    parser.add_argument("--connections", type=int, default=40)
    parser.add_argument("--connect-cost", type=float, default=6, help="announced, ms")
    parser.add_argument(
        "--connect-delay",
        type=float,
        default=0,
        help="real delay of a new connection, ms",
    )
    parser.add_argument(
        "--delay", type=float, default=5, help="mean time for a request, ms"
    )
    parser.add_argument(
        "--tail",
        type=float,
        default=1.0,
        help="share of the mean time that is distributed exponentially",
    )
    parser.add_argument(
        "--drain", type=float, default=4, help="time from signal to exit, s"
    )
    parser.add_argument("--fault", default="", choices=_FAULTS)
    return parser


def make_target(options: list[str]) -> Target:
    """Return the target that is described by command line options."""
    arguments = target_parser().parse_args(options)
    arguments.version = arguments.version or [1]
    return Target(arguments)


def main() -> None:
    """Run the target that the command line describes."""
    run(make_target(argv[1:]).run)


if __name__ == "__main__":
    main()
