"""Stand-ins for the platform's replicas; one process runs many of them.

Each replica listens on its own port, sends notices to the gateways and answers
requests after a configurable time. Commands that change the replicas are read from
standard input, one JSON document a line; each is answered with one line on standard
output.
"""

import asyncio
from argparse import ArgumentParser, Namespace
from json import dumps, loads
from random import Random
from sys import stdin
from time import monotonic, time
from typing import Any, NamedTuple

RECORD_BYTES = 16
_HEARTBEAT_INTERVAL_SECONDS = 0.5
_CHUNK_BYTES = 16_000
# Time for which a replica in mode "refuse" asks for no requests.
REFUSAL_SECONDS = 1.5


class Behaviour(NamedTuple):
    """How a replica handles its requests.

    Parameters
    ----------
    work_ms
        Time from the request to the response.
    mode
        One of these:

        - ok: answers with status 200
        - shed: refuses with status 503 before the request is executed
        - refuse: the same, and asks for no requests for 1.5 s
        - leaving: answers, and says that it is leaving
        - error: answers with status 500
        - reset: resets the connection in place of a response
        - silence: sends no response
        - extra: sends the response twice
        - unframed: sends no Content-Length and ends the body with the connection
        - chunked: sends the body in chunks of 16,000 bytes
        - cut: closes the connection before the end of the body
        - encoded: labels the body as compressed with gzip
        - status X: answers with X in the place of the status
    """

    work_ms: float = 5.0
    mode: str = "ok"


class Replica:
    """A replica that listens on its own port."""

    def __init__(
        self, name: str, service: str, zone: str, records: int, slots: int
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.records = records
        self.slots = slots
        self.behaviour = Behaviour()
        self.state = "ready"
        self.sequence = 0
        # Monotonic time at which the replica is warm.
        self.warm_at = 0.0
        # Start time in Unix milliseconds; orders the runs under one name.
        self.born = int(time() * 1000)
        self.port = 0
        # Port of a proxy before the replica, if there is one.
        self.announced_port: int | None = None
        self.in_flight = 0
        # Request id, request line, body size and Deadline header of each request.
        self.received_requests: list[list[Any]] = []
        # Request id, and Tenant and Authorization headers, of each request.
        self.identities: list[list[Any]] = []
        # Kind, request id, monotonic time and start time of the run of each event.
        self.events: list[list[Any]] = []
        self.cancelled = 0
        self.connections = 0
        self._random = Random(name)
        # Control address for the next notice, if a gateway has named one.
        self._notice_address: str | None = None

    async def listen(self) -> None:
        """Start to accept connections on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def send_notices_forever(self, control_addresses: list[str]) -> None:
        """Send heartbeats until cancelled.

        Each heartbeat is sent to the address that the last response named or, if that
        fails, to the gateways in random order until one accepts it.
        """
        while True:
            in_random_order = self._random.sample(
                control_addresses, len(control_addresses)
            )
            named = [] if self._notice_address is None else [self._notice_address]
            for address in named + in_random_order:
                if await self.send_notice(address, "heartbeat") == 200:
                    break
                self._notice_address = None
            await asyncio.sleep(_HEARTBEAT_INTERVAL_SECONDS)

    async def send_notice(self, address: str, action: str) -> int:
        """Send a notice to a gateway and return the status of the response.

        Parameters
        ----------
        address
            Control address of the gateway.
        action
            The last part of the path: heartbeat or deregister.

        Returns
        -------
        int
            The HTTP status, or 0 if there is no response.
        """
        self.sequence += 1
        body = dumps(
            {
                "Service": self.service,
                "Address": f"127.0.0.1:{self.announced_port or self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": self.state,
                "WarmupLeftMs": max(0, int((self.warm_at - monotonic()) * 1000)),
                "Sequence": self.sequence,
                "born": self.born,
            }
        )
        path = f"/-/instances/{self.name}/{action}"
        status, answer = await send_request(address, "POST", path, body)
        if status == 200 and action == "heartbeat":
            self._notice_address = loads(answer).get("HeartbeatAddr")
        return status

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
        """Answer one request; return whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *lines = head.split("\r\n")
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
        self._record("arrived", request_id)
        if behaviour.mode == "refuse":
            self._record("refused", request_id)
            refusal = {"Not-Executed": "1", "Retry-After": str(REFUSAL_SECONDS)}
            writer.write(_response(503, refusal, b""))
            return True
        if behaviour.mode == "shed":
            writer.write(_response(503, {"Not-Executed": "1"}, b""))
            return True
        self.received_requests.append(
            [request_id, request_line, len(body), headers.get("deadline")]
        )
        self.identities.append(
            [request_id, headers.get("tenant"), headers.get("authorization")]
        )
        self.in_flight += 1
        try:
            # Ends early if the gateway closes the connection to cancel the request.
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({closed}, timeout=behaviour.work_ms / 1000)
            if done:
                self.cancelled += 1
                return False
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
        finally:
            self.in_flight -= 1
        if request_line.startswith("HEAD "):
            writer.write(self._response_to_head(request_id))
            return True
        return await self._respond(writer, behaviour.mode, request_id)

    def _record(self, kind: str, request_id: str) -> None:
        self.events.append([kind, request_id, monotonic(), self.born])

    def restart(self) -> None:
        """Begin a new run under the same name and at the same address."""
        self.born = int(time() * 1000)
        self.sequence = 0
        self.behaviour = self.behaviour._replace(mode="ok")

    def _response_to_head(self, request_id: str) -> bytes:
        headers = {"Request-Id": request_id, "Server-Stamp": f"{self.name}.head"}
        body = b"x" * self.records * RECORD_BYTES
        return _response(200, headers, body).removesuffix(body)

    async def _respond(self, writer: Any, mode: str, request_id: str) -> bool:
        """Send the response of a mode; return whether the connection stays open."""
        headers = {
            "Request-Id": request_id,
            "Server-Stamp": f"{self.name}.{len(self.received_requests)}",
            "Server-Load": f"{self.in_flight},0,{self.slots}",
        }
        body = self._random.randbytes(RECORD_BYTES * self.records)
        if mode == "leaving":
            headers["Server-Leaving"] = "1"
            self._record("leaving", request_id)
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
            case "chunked":
                writer.write(_chunked(_response(200, headers, b"", framed=False), body))
            case "cut":
                writer.write(_response(200, headers, body)[:-3])
                return False
            case "unframed":
                writer.write(_response(200, headers, body, framed=False))
                await writer.drain()
                return False
            case "extra":
                writer.write(_response(200, headers, body) * 2)
            case _ if mode.startswith("status "):
                status = mode.removeprefix("status ")
                writer.write(_response(status, headers, body))
            case _:
                writer.write(_response(200, headers, body))
        return True


def _response(
    status: int | str, headers: dict[str, str], body: bytes, framed: bool = True
) -> bytes:
    lines = [f"HTTP/1.1 {status} X"] + [
        f"{name}: {value}" for name, value in headers.items()
    ]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def _chunked(head: bytes, body: bytes) -> bytes:
    chunks = [
        b"%x\r\n%b\r\n" % (len(chunk), chunk)
        for start in range(0, len(body), _CHUNK_BYTES)
        if (chunk := body[start : start + _CHUNK_BYTES])
    ]
    framing = b"Transfer-Encoding: chunked\r\n\r\n"
    return b"".join([head[:-2], framing, *chunks, b"0\r\n\r\n"])


async def send_request(
    address: str, method: str, path: str, body: str = ""
) -> tuple[int, bytes]:
    """Send a request; return status and body, or 0 if there is no response."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1
        )
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        response = await asyncio.wait_for(reader.read(), 1)
        writer.close()
        head, _, answer = response.partition(b"\r\n\r\n")
        return int(head.split()[1]), answer
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""


async def _serve_commands(
    replicas: dict[str, Replica], control_addresses: list[str]
) -> None:
    """Run the JSON commands from standard input, one a line, until it ends.

    A command changes the replicas under ``names``, or all replicas, and may let them
    send a notice, to the first gateway or to the control address under ``to``. The
    answer to each is one line with their statistics.
    """
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, stdin.readline):
        command = loads(line)
        names = command.get("names") or list(replicas)
        chosen = [replicas[name] for name in names]
        for replica in chosen:
            if "mode" in command or "work_ms" in command:
                replica.behaviour = replica.behaviour._replace(
                    **{
                        key: command[key]
                        for key in ("mode", "work_ms")
                        if key in command
                    }
                )
            if command.get("restart"):
                replica.restart()
            if "warm_up_ms" in command:
                replica.warm_at = monotonic() + command["warm_up_ms"] / 1000
            if "records" in command:
                replica.records = command["records"]
            if "state" in command:
                replica.state = command["state"]
            if "announced_port" in command:
                replica.announced_port = command["announced_port"]
        statuses = {}
        if "tell" in command:
            for replica in chosen:
                statuses[replica.name] = await replica.send_notice(
                    command.get("to", control_addresses[0]), command["tell"]
                )
        answer = {
            "told": statuses,
            "replicas": {
                replica.name: {
                    "port": replica.port,
                    "arrived": replica.received_requests,
                    "identities": replica.identities,
                    "cancelled": replica.cancelled,
                    "connections": replica.connections,
                    "running": replica.in_flight,
                    "events": replica.events,
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
            replicas[name] = Replica(
                name, service, zone, arguments.records, arguments.slots
            )
    for replica in replicas.values():
        replica.behaviour = Behaviour(arguments.work_ms)
        await replica.listen()
    control_addresses = arguments.control.split(",")
    notice_tasks = [
        asyncio.ensure_future(replica.send_notices_forever(control_addresses))
        for replica in replicas.values()
    ]
    await _serve_commands(replicas, control_addresses)
    for notice_task in notice_tasks:
        notice_task.cancel()


def main() -> None:
    """Run replicas until standard input ends."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("service", nargs="+", help="names of the services")
    parser.add_argument(
        "--control",
        required=True,
        help="control addresses of the gateways, HOST:PORT,...",
    )
    parser.add_argument(
        "--replicas", type=int, default=3, help="number for each service"
    )
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument(
        "--records", type=int, default=25, help="records in the response of a replica"
    )
    parser.add_argument(
        "--slots", type=int, default=5, help="requests that a replica runs at a time"
    )
    parser.add_argument("--work-ms", type=float, default=5.0)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
