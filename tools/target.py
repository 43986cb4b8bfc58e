"""Target stand-in: serves one shard of invoice records; not part of the program."""

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
_JSON = {"content-type": "application/json"}
_ANNOUNCE_EVERY = 1.0
_FAULTS = ("", "silent", "silent_reused", "shed", "crossed", "mixed")
_WORDS = "wedding portrait press family studio print album travel retouch express"
_TOWNS = "Helsinki Turku Tampere Oulu Kuopio Vaasa Pori Lahti Kotka Joensuu"


class Invoice(NamedTuple):
    """One searchable record."""

    id: str
    score: float
    fields: dict[str, str]


def make_invoices(count: int, seed: int) -> list[Invoice]:
    """Return reproducible invoice records."""
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
    """One replica of one shard, with slots, versions and faults that can be set."""

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
        self._exchanges: dict[int, int] = {}
        self._received = 0
        self._port = 0
        self._frozen_reports: tuple[int, int] | None = None
        self._entries: list[Address] = list(arguments.entry)
        self._clock = SystemClock()

    @property
    def name(self) -> str:
        """The name under which the target announces itself."""
        return str(self._arguments.name)

    async def run(self) -> None:
        """Serve and announce until SIGTERM, then drain."""
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
        cost = self._arguments.connect_delay / 1000
        server = _SlowToConnect(self._handle, self._clock, limits, cost)
        listener = server.listen(Address("127.0.0.1", self._arguments.port))
        self._port = listener._socket.getsockname()[1]
        async with TaskGroup(wait=any) as group:
            await group.spawn(server.run, listener)
            await group.spawn(self._announce_forever)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        connection = request.peer_port
        used = self._exchanges.get(connection, 0)
        self._exchanges[connection] = used + 1
        if self._fault == "silent_reused" and used and request.path != "/control":
            await Event().wait()
        match request.method, request.path:
            case "POST", "/search":
                return await self._search(request)
            case "POST", "/execute":
                return await self._execute(request)
            case "POST", "/control":
                document = self.change(decode(request.body))
                return HttpResponse(200, dict(_JSON), encode(document))
            case _:
                return _reply(404, {"code": "unknown"}, request)

    def change(self, change: dict[str, Any]) -> dict[str, Any]:
        """Change delay, fault, versions, state or reports while the target runs."""
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
        asked = decode(request.body)
        words = set(asked["terms"].lower().split())
        found = [one for one in self._shard_records if words & _words_of(one)]
        found.sort(key=lambda one: (one.score, one.id), reverse=True)
        records = [one._asdict() for one in found[: asked["limit"]]]
        return _reply(200, {"records": records}, request, self._fault)

    async def _execute(self, request: HttpRequest) -> HttpResponse:
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        asked = decode(request.body)
        self._executed.append(asked["key"])
        await self._work()
        return _reply(200, {"outcome": f"done {len(self._executed)}"}, request)

    def _refusal(self, request: HttpRequest) -> HttpResponse | None:
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
        if self._fault == "silent":
            await Event().wait()
        tail = self._arguments.tail
        factor = 1 - tail + tail * self._random.expovariate(1.0)
        await sleep(factor * self._delay / 1000)

    async def _announce_forever(self) -> None:
        while True:
            await self._announce_once()
            await sleep(_ANNOUNCE_EVERY)

    async def _announce_once(self) -> None:
        for _ in range(len(self._entries)):
            address = self._entries[self._sequence % len(self._entries)]
            self._sequence += 1
            if await self._post(address):
                return

    async def _post(self, address: Address) -> bool:
        limit = timedelta(seconds=0.5)
        opened = await HttpConnection.open("entry", address, self._clock, limit)
        match opened:
            case Result(tag="ok", ok=connection):
                body = encode(self._announcement())
                replied = await connection.exchange(
                    "POST", "/v1/announce", {}, body, limit
                )
                await connection.close()
            case _:
                return False
        match replied:
            case Result(tag="ok", ok=HttpResponse(status=200, body=body)):
                told = [
                    Address(one["host"], one["port"])
                    for one in decode(body)["instances"]
                ]
                self._entries = told or self._entries
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


class _SlowToConnect(HttpServer):
    """A server whose new connections each cost time before the first exchange."""

    def __init__(
        self, handler: Handler, clock: SystemClock, limits: HttpLimits, cost: float
    ) -> None:
        super().__init__(handler, encode_failure, clock, limits, cancel_on_close=True)
        self._cost = cost

    async def _serve(self, client: Any, peer: tuple[str, int]) -> None:
        await sleep(self._cost)
        await super()._serve(client, peer)


def _words_of(invoice: Invoice) -> set[str]:
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
    """Return the parser of the options of one target."""
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
    parser.add_argument("--records", type=int, default=3000, help="over all shards")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slots", type=int, default=5)
    parser.add_argument("--connections", type=int, default=40)
    parser.add_argument("--connect-cost", type=float, default=6, help="milliseconds")
    parser.add_argument(
        "--connect-delay", type=float, default=0, help="time a connection takes, ms"
    )
    parser.add_argument("--delay", type=float, default=5, help="mean work, ms")
    parser.add_argument(
        "--tail", type=float, default=1.0, help="share of the work that is exponential"
    )
    parser.add_argument("--drain", type=float, default=4, help="seconds")
    parser.add_argument("--fault", default="", choices=_FAULTS)
    return parser


def make_target(options: list[str]) -> Target:
    """Return the target that command line options describe."""
    arguments = target_parser().parse_args(options)
    arguments.version = arguments.version or [1]
    return Target(arguments)


def main() -> None:
    """Run one target."""
    run(make_target(argv[1:]).run)


if __name__ == "__main__":
    main()
