"""A small deployment on loopback: gateways, replicas, an operator and clients.

The gateways are the project's own program, started with the command of the deploy file.
Everything else is a stand-in that follows the users' pages.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-m", "lovagetray.platform")
ZONES = ("etela-a", "etela-b", "etela-c", "etela-d")
# Bounds of the site kallio-lasku, as its sheet names them.
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250,
    "CoreSkewMs": 12000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 62,
    "RecoveryS": 12,
    "ttl_max_s": 5,
}
HEARTBEAT_MS = 1200
HOST = "tile33.example"


class CannotRun(Exception):
    """The case could not be set up; this says nothing of the rule."""


class Record:
    """The record of a run: a line for each event, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self._started_at:9.3f} s  {text}"
        print(line, file=self._file, flush=True)

    def verdict(self, text: str) -> None:
        self(text)
        print(text, flush=True)


class Answer:
    """What a client received; status 0 if no complete response came."""

    def __init__(self, status: int, headers: list, body: bytes, error: str) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.error = error

    def header(self, name: str) -> str | None:
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    def __str__(self) -> str:
        if not self.status:
            return f"no answer ({self.error})"
        shown = "; ".join(
            f"{key}: {value}"
            for key, value in self.headers
            if key.lower() not in ("date", "content-type")
        )
        return f"{self.status} [{shown}] body of {len(self.body)} B"


class Connection:
    """A client's connection; one request at a time, kept open between them."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "Connection":
        opening = asyncio.open_connection(*address)
        return cls(*await asyncio.wait_for(opening, 1))

    async def send(self, method: str, path: str, headers: dict, body: bytes = b""):
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self._writer.drain()

    async def receive(self, timeout: float) -> Answer:
        try:
            return await asyncio.wait_for(self._receive(), timeout)
        except asyncio.TimeoutError:
            return Answer(0, [], b"", f"nothing within {timeout} s")
        except asyncio.IncompleteReadError:
            return Answer(0, [], b"", "connection closed")
        except OSError as error:
            return Answer(0, [], b"", f"connection lost: {error}")

    async def _receive(self) -> Answer:
        head = await self._reader.readuntil(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = []
        for line in lines:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
        length = next(
            (int(value) for name, value in headers if name.lower() == "content-length"),
            0,
        )
        body = await self._reader.readexactly(length)
        return Answer(int(status_line.split()[1]), headers, body, "")

    def close(self) -> None:
        self._writer.close()


async def call(address, method, path, headers=None, body=b"", timeout=2.0) -> Answer:
    """Send one request on a connection of its own."""
    try:
        connection = await Connection.open(address)
    except (OSError, asyncio.TimeoutError) as error:
        return Answer(0, [], b"", f"no connection: {error!r}")
    try:
        await connection.send(method, path, {"Host": HOST} | (headers or {}), body)
        return await connection.receive(timeout)
    except OSError as error:
        return Answer(0, [], b"", f"connection lost: {error}")
    finally:
        connection.close()


class Run:
    """One request that a replica has begun to work on."""

    def __init__(self, request_id: str, at: float, line: str) -> None:
        self.request_id = request_id
        self.at = at
        self.line = line
        self.ended_at: float | None = None
        self.outcome = "at work"


class Replica:
    """A sound replica; a case changes single answers with `edit`."""

    def __init__(self, deployment, name: str, service: str, zone: str) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.slots = 4
        self.warmup_ms = 0
        self.address = ("", 0)
        self.runs: list[Run] = []
        self.working = 0
        self.work_s = 0.02
        # Returns the seconds of work of a request; by default `work_s`.
        self.draw_work = lambda: self.work_s
        # Requests that wait for a slot; further ones are rejected.
        self.queue = 16
        # Whether the replica stops reading its connections.
        self.silent = False
        # Called with (replica, run, headers, body) before a response is sent; returns
        # the header lines and the body to send.
        self.edit = None
        self.beating = True
        self._slots_free: asyncio.Semaphore | None = None
        self._waiting = 0
        self._deployment = deployment
        self._server = None
        self._tasks: set = set()
        self._writers: set = set()
        self._random = random.Random(name)

    async def start(self) -> None:
        listener = socket.socket()
        # The windows of a link between machines, in place of those of loopback: a peer
        # that does not read blocks the writer.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        listener.bind(("127.0.0.1", 0))
        listener.listen(200)
        listener.setblocking(False)
        # A small limit, or the stream itself would take in a long body.
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=8192
        )
        self.address = listener.getsockname()
        self._spawn(self._beat())

    async def stop(self) -> None:
        self.beating = False
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """End as a killed process does: the system closes its sockets."""
        self._deployment.record(f"{self.name} crashes")
        self.beating = False
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def about(self) -> bytes:
        """The body of what a replica says of itself; each has a new number."""
        self.sequence += 1
        return json.dumps(
            {
                "Service": self.service,
                "Address": f"{self.address[0]}:{self.address[1]}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": self.state,
                "WarmupLeftMs": self.warmup_ms,
                "Sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def tell(self, action: str, body: bytes, gateways=None) -> bool:
        """Send a call to gateways in turn until one acknowledges it."""
        chosen = list(gateways or self._deployment.gateways)
        if gateways is None:
            self._random.shuffle(chosen)
        for gateway in chosen:
            path = f"/-/instances/{self.name}/{action}"
            answer = await call(gateway.control, "POST", path, {}, body, timeout=1.0)
            if answer.status // 100 == 2:
                return True
        return False

    async def _beat(self) -> None:
        while True:
            if self.beating:
                await self.tell("heartbeat", self.about())
            await asyncio.sleep(HEARTBEAT_MS / 1000 * self._random.uniform(0.9, 1.1))

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *lines = head.split("\r\n")[:-2]
        headers = {}
        for line in lines:
            key, _, value = line.partition(":")
            headers[key.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            await reader.readexactly(length)
            self._write(writer, 421, [("Not-Executed", "1")], b"")
            return True
        if self.silent:
            self._deployment.record(f"{self.name} is silent, {request_id} has arrived")
            writer.transport.pause_reading()
            await asyncio.sleep(60)
            return False
        if self._slots_free is None:
            self._slots_free = asyncio.Semaphore(self.slots)
        if self._waiting >= self.queue:
            await reader.readexactly(length)
            self._deployment.record(f"{self.name} rejects {request_id}: it is full")
            rejection = [("Request-Id", request_id), ("Not-Executed", "1")]
            self._write(writer, 503, rejection, b"")
            return True
        # The body is read once there is a slot for the request.
        self._waiting += 1
        await self._slots_free.acquire()
        self._waiting -= 1
        try:
            await reader.readexactly(length)
            return await self._run(reader, writer, request_id, request_line)
        finally:
            self._slots_free.release()

    async def _run(self, reader, writer, request_id, request_line) -> bool:
        run = Run(request_id, time.monotonic(), request_line)
        self.runs.append(run)
        self._deployment.record(f"{self.name} runs {request_id} ({request_line})")
        self.working += 1
        closed = asyncio.ensure_future(reader.read(1))
        try:
            done, _ = await asyncio.wait({closed}, timeout=self.draw_work())
        finally:
            self.working -= 1
        run.ended_at = time.monotonic()
        if done:
            run.outcome = "dropped, its connection was closed"
            self._deployment.record(f"{self.name} drops {request_id}: {run.outcome}")
            return False
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        stamp = f"{self.name}.{len(self.runs)}.{request_id}"
        answer = [
            ("Request-Id", request_id),
            ("Server-Stamp", stamp),
            ("Server-Load", f"{self.working},0,{self.slots}"),
        ]
        body = f"answer of {self.name} to {request_id}".encode()
        if self.edit is not None:
            answer, body = self.edit(self, run, answer, body)
        run.outcome = "answered 200"
        self._deployment.record(
            f"{self.name} answers {request_id}: 200 {dict(answer)} {len(body)} B"
        )
        self._write(writer, 200, answer, body)
        return True

    @staticmethod
    def _write(writer, status: int, headers: list, body: bytes) -> None:
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)


class Gateway:
    """One machine of the system and its process."""

    def __init__(self, number: int, ip: str, ports: list[int], folder: Path) -> None:
        self.number = number
        self.name = f"front-{ZONES[number % len(ZONES)]}-{number // len(ZONES) + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.ip = ip
        self.ports = ports
        self.folder = folder
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0

    @property
    def front(self) -> tuple[str, int]:
        return self.ip, self.ports[0]

    @property
    def ready(self) -> tuple[str, int]:
        return self.ip, self.ports[1]

    @property
    def control(self) -> tuple[str, int]:
        return self.ip, self.ports[2]

    @property
    def directory(self) -> tuple[str, int]:
        return self.ip, self.ports[3]


class Deployment:
    """Gateways and replicas of one case, and the operator."""

    def __init__(self, case_folder: Path, gateways: int = 4, disks: int = 4) -> None:
        self.record = Record(case_folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        folder = Path(self._temporary.name)
        prefix, ports = _free_addresses(gateways)
        self.gateways = [
            Gateway(number, f"{prefix}.{number + 1}", ports, folder)
            for number in range(gateways)
        ]
        self._disks = disks
        self.replicas: list[Replica] = []
        self.version = 0

    async def start(self) -> None:
        for gateway in self.gateways:
            self.start_gateway(gateway, first_start=True)

    def start_gateway(self, gateway: Gateway, first_start: bool = False) -> None:
        """Start the process of a machine, with the command of the deploy file."""
        path = gateway.folder / f"{gateway.name}.toml"
        path.write_text(self._settings(gateway, first_start))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["LOVAGETRAY_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (gateway.folder / f"{gateway.name}.log").open("ab") as log:
            gateway.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        gateway.started_at = time.monotonic()
        self.record(f"{gateway.name} starts (process {gateway.process.pid})")

    def signal(self, gateway: Gateway, number: signal.Signals) -> None:
        assert gateway.process is not None
        self.record(f"{gateway.name} gets {number.name}")
        gateway.process.send_signal(number)

    def log_of(self, gateway: Gateway) -> str:
        return (gateway.folder / f"{gateway.name}.log").read_text()

    async def add_replica(
        self, name: str, service: str, zone: str, **values
    ) -> Replica:
        replica = Replica(self, name, service, zone)
        for key, value in values.items():
            setattr(replica, key, value)
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def put(self, configuration: dict, gateways=None) -> int:
        """Send a configuration until it is acknowledged; return the last status."""
        self.version = configuration["Version"]
        body = json.dumps(configuration).encode()
        until = time.monotonic() + 20
        while time.monotonic() < until:
            for gateway in gateways or self.gateways:
                answer = await call(
                    gateway.control, "POST", "/-/config/put", {}, body, timeout=2.0
                )
                if answer.status in (200, 400, 409, 412, 413, 422):
                    self.record(
                        f"operator: version {self.version} at {gateway.name}: "
                        f"{answer.status}"
                    )
                    return answer.status
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration is not acknowledged")

    async def wait_serving(self, path: str, method: str = "GET") -> None:
        """Wait until each gateway is ready and answers a request on a route."""
        until = time.monotonic() + 30
        for gateway in self.gateways:
            while True:
                ready = await call(gateway.ready, "GET", "/-/readiness")
                if ready.status == 200:
                    answer = await call(
                        gateway.front,
                        method,
                        path,
                        {"Request-Id": new_id(), "Deadline": "1500"},
                    )
                    if answer.status == 200:
                        break
                if time.monotonic() > until:
                    raise CannotRun(f"{gateway.name} does not serve")
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        for replica in self.replicas:
            await replica.stop()
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.kill()
                gateway.process.wait()
        await asyncio.sleep(0.2)
        self._temporary.cleanup()

    def _settings(self, gateway: Gateway, first_start: bool) -> str:
        seeds = [f"{other.ip}:{other.ports[2]}" for other in self.gateways[:3]]
        lines = [
            f'NodeName = "{gateway.name}"',
            'Role = "gateway"',
            'MachineClass = "front"',
            'Serves = ["front","control","directory"]',
            f'Ip = "{gateway.ip}"',
            f'Zone = "{gateway.zone}"',
            'Region = "suomi-etela"',
            f"PortRange = [{gateway.ports[4]},{gateway.ports[4]}]",
            f"SeedNodes = {json.dumps(seeds)}",
            f"FirstStart = {str(first_start).lower()}",
        ]
        if gateway.number < self._disks:
            data = gateway.folder / f"data-{gateway.name}"
            data.mkdir(exist_ok=True)
            lines += ["FaultCounted = true", f'DataDir = "{data}"']
        lines += [
            'Discovery = "registry"',
            'Entry = "directory"',
            f"HeartbeatMs = {HEARTBEAT_MS}",
            'Contracts = ["base","drain","config","cost","retry","recover","scatter"]',
            'config_mode = "highest"',
            "[Zones]",
            *(f'{zone} = "suomi-etela"' for zone in ZONES),
            "[BindAddrs]",
            f'Front = "{gateway.ip}:{gateway.ports[0]}"',
            f'Ready = "{gateway.ip}:{gateway.ports[1]}"',
            f'Control = "{gateway.ip}:{gateway.ports[2]}"',
            f'directory = "{gateway.ip}:{gateway.ports[3]}"',
            "[Limits]",
            "CpuShare = 0.968",
            "CpuCores = 2",
            "MemoryMb = 300",
            "MaxFds = 4100",
            "LinkMbps = 1000.0",
            "DiskMb = 64",
            "[FaultTolerance]",
            "Machines = 1",
            "Zones = 0",
            "Regions = 0",
            "[Bounds]",
            *(f"{name} = {value}" for name, value in BOUNDS.items()),
        ]
        return "\n".join(lines) + "\n"


def route(name: str, prefix: str, kind: str, service: str, **fields) -> dict:
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 800,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
    } | fields


def configuration(version: int, routes: list, services: list[str], **limits) -> dict:
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConnections": 130,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        | limits,
    }


def new_id() -> str:
    return f"{random.getrandbits(64):016x}"


def _free_addresses(gateways: int) -> tuple[str, list[int]]:
    """Return the first three parts of free loopback addresses, and five ports."""
    for _ in range(50):
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        ports = random.sample(range(20000, 32000), 5)
        try:
            for number in range(gateways):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{number + 1}", port))
            return prefix, ports
        except OSError:
            continue
    raise CannotRun("no free addresses")


def main(case, folder: Path, **options) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    `case` is called with the deployment and whether the disruption is played, and
    returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        deployment = Deployment(folder, **options)
        deployment.record(f"disruption: {'yes' if trouble else 'no'}")
        try:
            held = await asyncio.wait_for(case(deployment, trouble), 110)
            deployment.record.verdict(
                "the rule held" if held else "the rule was broken"
            )
            return 0 if held else 1
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
            deployment.record.verdict(f"could not run: {error!r}")
            return 2
        finally:
            await deployment.stop()

    try:
        code = asyncio.run(run())
    except Exception as error:
        print(f"could not run: {error!r}", flush=True)
        code = 2
    # Without the clean-up of the interpreter, which reports open streams.
    sys.stdout.flush()
    os._exit(code)
