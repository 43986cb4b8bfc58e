"""Replicas that start again under the ids that they had, as PROTOCOL.md describes them.

All replicas of a script run in one thread of its process.
"""

import asyncio
import random
import time
from json import dumps
from threading import Thread

_HEARTBEAT_SECONDS = 1.2
# "A second without a response": the next node is called.
_CALL_SECONDS = 1.0
_WORK_SECONDS = 0.02
_BODY = b"answer"


class Replica:
    """A replica; each start is a new run with its own `born` and `Sequence`."""

    def __init__(self, name, service, zone, control_addresses, record):
        self.name = name
        self.service = service
        self._zone = zone
        self._control = list(control_addresses)
        self._record = record
        self._server = None
        self._heartbeats = None
        self._sequence = 0
        self.born = 0
        self.port = 0
        self.ran = 0

    async def start(self):
        """Begin a new run: listen, and send heartbeats."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._record.add(f"{self.name} starts at port {self.port}, born {self.born}")
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())

    async def deregister(self, first_address=None):
        """Say that this run leaves; return whether a machine has acknowledged it."""
        self._heartbeats.cancel()
        return await self._call("deregister", dumps({"born": self.born}), first_address)

    async def exit(self):
        """End this run."""
        self._server.close()
        self._record.add(f"{self.name} exits, born {self.born}")

    async def _send_heartbeats(self):
        while True:
            self._sequence += 1
            body = dumps(
                {
                    "Service": self.service,
                    "Address": f"127.0.0.1:{self.port}",
                    "Zone": self._zone,
                    "Version": "v1",
                    "Slots": 4,
                    "State": "ready",
                    "WarmupLeftMs": 0,
                    "Sequence": self._sequence,
                    "born": self.born,
                }
            )
            await self._call("heartbeat", body)
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _call(self, action, body, first_address=None):
        """Call one machine after the other until one acknowledges with a 2xx."""
        addresses = random.sample(self._control, len(self._control))
        if first_address is not None:
            addresses.remove(first_address)
            addresses.insert(0, first_address)
        for address in addresses:
            status = await self._post(address, action, body)
            if action == "deregister" or self._sequence == 1:
                self._record.add(
                    f"{self.name} sends {action} {body} to {address}: "
                    f"{status or 'no answer within a second'}"
                )
            if 200 <= status < 300:
                return True
        return False

    async def _post(self, address, action, body):
        """Return the status of a call; 0 without a response within a second."""
        host, _, port = address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(_CALL_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f"POST /-/instances/{self.name}/{action} HTTP/1.1\r\n"
                    f"Host: {address}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
                )
                status_line = await reader.readline()
                return int(status_line.split()[1]) if status_line else 0
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                request_id = headers.get("request-id", "")
                if headers.get("expect-instance") != self.name:
                    writer.write(
                        f"HTTP/1.1 421 X\r\nRequest-Id: {request_id}\r\n"
                        "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
                    )
                    continue
                self.ran += 1
                await asyncio.sleep(_WORK_SECONDS)
                writer.write(
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                    f"Server-Stamp: {self.name}.{self.born}.{self.ran}\r\n"
                    f"Content-Length: {len(_BODY)}\r\n\r\n".encode() + _BODY
                )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class ReplicaThread:
    """The thread that runs replicas; `do` runs a coroutine there and waits for it."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        Thread(target=self._loop.run_forever, daemon=True).start()

    def do(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def begin(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)
