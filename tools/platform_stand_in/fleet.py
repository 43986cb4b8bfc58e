"""Starts gateways and replicas of the platform's kind on loopback."""

from collections.abc import Sequence
from http.client import HTTPConnection, HTTPException
from json import dumps, loads
from os import environ
from pathlib import Path
from signal import SIGHUP, SIGKILL, SIGTERM
from subprocess import PIPE, Popen, TimeoutExpired
from sys import executable
from time import monotonic, sleep
from typing import Any, NamedTuple

from fleet import free_ports

_REPLICAS = str(Path(__file__).with_name("replicas.py"))
HOST = "search.example"
SEED_HOSTS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")


class FleetTimeout(Exception):
    """A condition did not hold within its limit."""


class GatewayProcess(NamedTuple):
    """A running gateway and its addresses."""

    name: str
    front: int
    ready: int
    control: int
    directory: int
    settings: Path
    process: Popen[bytes]


class Response(NamedTuple):
    """A response as a caller sees it; header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class PlatformFleet:
    """Gateways, replicas and an operator, which end with the fleet.

    Each gateway listens on an address of its own in 127.0.0.0/8, because ports are the
    same on all machines of the platform.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._ports = free_ports(5)
        self.gateways: list[GatewayProcess] = []
        self._replicas: Popen[str] | None = None
        self._version = 0
        folder.mkdir(parents=True, exist_ok=True)

    def stop(self) -> None:
        """End all processes of the fleet."""
        for gateway in self.gateways:
            gateway.process.kill()
            gateway.process.wait()
        if self._replicas is not None:
            self._replicas.kill()
            self._replicas.wait()

    def start(self, gateways: int = 3, disks: int = 3) -> None:
        """Start gateways, the first of them with disks."""
        for number in range(gateways):
            self.start_gateway(number, number < disks, first_start=True)

    def start_gateway(
        self,
        number: int,
        disk: bool,
        first_start: bool,
        seeds: Sequence[str] = SEED_HOSTS,
    ) -> None:
        """Start one gateway; an existing number starts again.

        Parameters
        ----------
        seeds
            Hosts of the instances that it is told of.
        """
        name = f"entry-{number + 1}"
        ip = f"127.0.1.{number + 1}"
        front, ready, control, directory, peer = self._ports
        seed_addresses = [f"{host}:{control}" for host in seeds]
        lines = [
            f'NodeName = "{name}"',
            f'Ip = "{ip}"',
            f'Zone = "zone-{number % 3 + 1}"',
            f"PortRange = [{peer},{peer}]",
            f"SeedNodes = {dumps(seed_addresses)}",
            f"FirstStart = {str(first_start).lower()}",
            "HeartbeatMs = 500",
        ]
        if disk:
            lines.append(f'DataDir = "{self._folder / name}"')
        lines += [
            "[BindAddrs]",
            f'Front = "{ip}:{front}"',
            f'Ready = "{ip}:{ready}"',
            f'Control = "{ip}:{control}"',
            f'directory = "{ip}:{directory}"',
            "[FaultTolerance]",
            "Machines = 1",
            "[Bounds]",
            "GraceS = 6",
            "RetryBudgetRatio = 0.2",
            "RetryWindowS = 10",
            "RetrySlack = 60",
        ]
        path = self._folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        log = (self._folder / f"{name}.log").open("ab")
        process = Popen(
            [executable, "-m", "lovagetray.platform"],
            stdout=log,
            stderr=log,
            env=dict(environ, LOVAGETRAY_SETTINGS=str(path)),
        )
        gateway = GatewayProcess(name, front, ready, control, directory, path, process)
        if number < len(self.gateways):
            self.gateways[number] = gateway
        else:
            self.gateways.append(gateway)

    def start_replicas(
        self, services: Sequence[str], replicas: int = 3, work_ms: float = 5.0
    ) -> None:
        """Start replicas of services in one process."""
        controls = [
            f"127.0.1.{number + 1}:{gateway.control}"
            for number, gateway in enumerate(self.gateways)
        ]
        self._replicas = Popen(
            [
                executable,
                _REPLICAS,
                *services,
                "--control",
                ",".join(controls),
                "--replicas",
                str(replicas),
                "--work-ms",
                str(work_ms),
            ],
            stdin=PIPE,
            stdout=PIPE,
            text=True,
        )

    def send_command(self, **fields: Any) -> Any:
        """Give the replicas an order and return what they report."""
        assert self._replicas is not None
        assert self._replicas.stdin is not None and self._replicas.stdout is not None
        self._replicas.stdin.write(dumps(fields) + "\n")
        self._replicas.stdin.flush()
        return loads(self._replicas.stdout.readline())

    def configuration(
        self, shards: Sequence[str], single: Sequence[str] = (), **changes: Any
    ) -> dict[str, Any]:
        """Return the next configuration: a route over shards and one for a service."""
        self._version += 1
        routes: list[dict[str, Any]] = [
            {
                "Name": "all",
                "Host": HOST,
                "PathPrefix": "/all/",
                "RouteType": "safe",
                "TimeoutMs": 2000,
                "TargetLatencyMs": 300,
                "Priority": 1,
                "Gather": list(shards),
                "MaxAttempts": 2,
                "TopK": 5,
                "MinCoverage": 0.75,
            }
        ]
        for service in single:
            routes.append(
                {
                    "Name": service,
                    "Host": HOST,
                    "PathPrefix": f"/{service}/",
                    "RouteType": "unsafe",
                    "TimeoutMs": 3000,
                    "TargetLatencyMs": 800,
                    "Priority": 2,
                    "Service": service,
                    "MaxAttempts": 2,
                }
            )
        document = {
            "Version": self._version,
            "Routes": routes,
            "Services": [
                {"Name": name, "HealthPath": "/health", "MaxConnections": 40}
                for name in (*shards, *single)
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
        return document | changes

    def put_configuration(self, document: Any, number: int = 0) -> Response:
        """Send a configuration to one gateway."""
        body = document if isinstance(document, bytes) else dumps(document).encode()
        port = self.gateways[number].control
        return self.call(number, port, "POST", "/-/config/put", body)

    def get(self, path: str, number: int = 0, **headers: str) -> Response:
        """Send a caller's request to one gateway."""
        return self.call(number, self._ports[0], "GET", path, b"", headers)

    def call(
        self,
        number: int,
        port: int,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a request to one port of one gateway; status 0 without an answer."""
        connection = HTTPConnection(f"127.0.1.{number + 1}", port, timeout=10)
        try:
            sent = {"Host": HOST} | (headers or {})
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            found = {name.lower(): value for name, value in response.getheaders()}
            return Response(response.status, found, response.read())
        except (OSError, HTTPException):
            return Response(0, {}, b"")
        finally:
            connection.close()

    def ready(self, number: int) -> bool:
        """Tell whether a gateway counts as ready."""
        port = self.gateways[number].ready
        return self.call(number, port, "GET", "/-/readiness").status == 200

    def kill(self, number: int) -> None:
        """Kill a gateway."""
        self.gateways[number].process.send_signal(SIGKILL)
        self.gateways[number].process.wait()

    def terminate(self, number: int) -> None:
        """Ask a gateway to stop."""
        self.gateways[number].process.send_signal(SIGTERM)

    def reload(self, number: int) -> None:
        """Ask a gateway to read its settings again."""
        self.gateways[number].process.send_signal(SIGHUP)

    def wait_until(self, condition: Any, seconds: float = 30) -> None:
        """Wait for a condition; raise `FleetTimeout` without it."""
        until = monotonic() + seconds
        while not condition():
            if monotonic() > until:
                raise FleetTimeout(str(condition))
            sleep(0.05)

    def wait_stopped(self, number: int, seconds: float) -> int:
        """Return the exit code of a gateway that was asked to stop."""
        try:
            return self.gateways[number].process.wait(seconds)
        except TimeoutExpired:
            raise FleetTimeout(f"gateway {number} still runs") from None

    def wait_serving(self, shards: int, path: str = "/all/q") -> None:
        """Wait until every gateway answers with all shards."""

        def complete() -> bool:
            answers = [
                self.get(path, number, **{"Request-Id": f"w{monotonic()}"})
                for number in range(len(self.gateways))
            ]
            return all(
                answer.status == 200
                and answer.headers.get("missing-parts") == "0"
                and len(answer.headers["part-stamps"].split(",")) == shards
                for answer in answers
            )

        self.wait_until(complete)
