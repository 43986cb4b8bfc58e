"""Replicas of the platform's kind: many of them in one process.

Each listens on a port of its own, announces itself to the gateways and answers requests
after a set time. Its control port takes JSON documents that change what it does.
"""

import asyncio
from argparse import ArgumentParser, Namespace
from json import dumps, loads
from random import Random
from sys import stdin
from time import time
from typing import Any, NamedTuple

RECORD_BYTES = 16
_BEAT_SECONDS = 0.5


class Behaviour(NamedTuple):
    """What a replica does with its requests.

    Parameters
    ----------
    work_ms
        Time from the request to the response.
    mode
        ok, shed, error, reset, silence, extra, unframed, cut, encoded.
    """

    work_ms: float = 5.0
    mode: str = "ok"


class Replica:
    """One replica with its own port."""

    def __init__(self, name: str, service: str, zone: str, records: int) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.records = records
        self.behaviour = Behaviour()
        self.state = "ready"
        self.sequence = 0
        self.born = int(time() * 1000)
        self.port = 0
        self.running = 0
        self.arrived: list[list[Any]] = []
        self.cancelled = 0
        self.connections = 0
        self._random = Random(name)

    async def listen(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def announce(self, controls: list[str]) -> None:
        """Announce to any gateway until the replica leaves."""
        while True:
            for address in self._random.sample(controls, len(controls)):
                if await self.tell(address, "heartbeat") == 200:
                    break
            await asyncio.sleep(_BEAT_SECONDS)

    async def tell(self, address: str, call: str) -> int:
        """Send one announcement; return the status, 0 without an answer."""
        self.sequence += 1
        body = dumps(
            {
                "Service": self.service,
                "Address": f"127.0.0.1:{self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 5,
                "State": self.state,
                "WarmupLeftMs": 0,
                "Sequence": self.sequence,
                "born": self.born,
            }
        )
        return await http(address, "POST", f"/-/instances/{self.name}/{call}", body)

    async def _serve(self, reader: Any, writer: Any) -> None:
        self.connections += 1
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def _serve_request(self, reader: Any, writer: Any) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance") != self.name:
            writer.write(_response(421, {"Instance-Id": self.name}, b""))
            return True
        behaviour = self.behaviour
        if behaviour.mode == "shed":
            writer.write(_response(503, {"Not-Executed": "1"}, b""))
            return True
        self.arrived.append([request_id, first, len(body), headers.get("deadline")])
        self.running += 1
        try:
            gone = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({gone}, timeout=behaviour.work_ms / 1000)
            if done:
                self.cancelled += 1
                return False
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
        finally:
            self.running -= 1
        return await self._respond(writer, behaviour.mode, request_id)

    async def _respond(self, writer: Any, mode: str, request_id: str) -> bool:
        headers = {
            "Request-Id": request_id,
            "Server-Stamp": f"{self.name}.{len(self.arrived)}",
            "Server-Load": f"{self.running},0,5",
        }
        body = b"".join(
            self._random.randbytes(RECORD_BYTES) for _ in range(self.records)
        )
        match mode:
            case "silence":
                await asyncio.sleep(3600)
                return False
            case "reset":
                writer.transport.abort()
                return False
            case "error":
                writer.write(_response(500, headers, b"broken"))
            case "encoded":
                headers["Content-Encoding"] = "gzip"
                writer.write(_response(200, headers, body))
            case "cut":
                writer.write(_response(200, headers, body)[:-3])
                return False
            case "unframed":
                writer.write(_response(200, headers, body, framed=False))
                await writer.drain()
                return False
            case "extra":
                writer.write(_response(200, headers, body) * 2)
            case _:
                writer.write(_response(200, headers, body))
        return True


def _response(
    status: int, headers: dict[str, str], body: bytes, framed: bool = True
) -> bytes:
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers.items()]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def http(address: str, method: str, path: str, body: str = "") -> int:
    """Send a request and return the status, 0 without an answer."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1
        )
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        line = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return int(line.split()[1])
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0


async def _control(replicas: dict[str, Replica], controls: list[str]) -> None:
    """Read one JSON order a line from standard input and answer each with a line."""
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, stdin.readline):
        order = loads(line)
        names = order.get("names") or list(replicas)
        chosen = [replicas[name] for name in names]
        for replica in chosen:
            if "mode" in order or "work_ms" in order:
                replica.behaviour = replica.behaviour._replace(
                    **{key: order[key] for key in ("mode", "work_ms") if key in order}
                )
            if "state" in order:
                replica.state = order["state"]
        told = {}
        if "tell" in order:
            for replica in chosen:
                told[replica.name] = await replica.tell(
                    order.get("to", controls[0]), order["tell"]
                )
        answer = {
            "told": told,
            "replicas": {
                replica.name: {
                    "port": replica.port,
                    "arrived": replica.arrived,
                    "cancelled": replica.cancelled,
                    "connections": replica.connections,
                    "running": replica.running,
                }
                for replica in chosen
            },
        }
        print(dumps(answer), flush=True)


async def _run(arguments: Namespace) -> None:
    replicas: dict[str, Replica] = {}
    for service in arguments.service:
        for number in range(arguments.replicas):
            name = f"{service}-{number}"
            zone = f"zone-{number % arguments.zones + 1}"
            replicas[name] = Replica(name, service, zone, arguments.records)
    for replica in replicas.values():
        replica.behaviour = Behaviour(arguments.work_ms)
        await replica.listen()
    controls = arguments.control.split(",")
    beats = [asyncio.ensure_future(one.announce(controls)) for one in replicas.values()]
    await _control(replicas, controls)
    for beat in beats:
        beat.cancel()


def main() -> None:
    """Run replicas until standard input ends."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("service", nargs="+", help="names of services")
    parser.add_argument("--control", required=True, help="gateways, host:port,...")
    parser.add_argument("--replicas", type=int, default=3, help="for each service")
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--records", type=int, default=25, help="in each part")
    parser.add_argument("--work-ms", type=float, default=5.0)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
