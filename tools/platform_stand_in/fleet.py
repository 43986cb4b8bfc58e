"""Starts gateways and stand-ins for the platform's replicas on loopback."""

from collections.abc import Sequence
from http.client import HTTPConnection, HTTPException
from json import dumps, loads
from os import environ
from pathlib import Path
from signal import SIGHUP, SIGKILL, SIGTERM
from subprocess import PIPE, Popen, TimeoutExpired
from sys import executable
from threading import Lock
from time import monotonic, sleep
from typing import Any, NamedTuple

from fleet import reserve_ports

_REPLICAS_PROGRAM = str(Path(__file__).with_name("replicas.py"))
HOST = "search.example"
_PORT_NAMES = ("front", "ready", "control", "directory", "peer")
SEED_HOSTS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")


class FleetTimeout(Exception):
    """A failure to reach a condition within its time limit."""


class GatewayProcess(NamedTuple):
    """A running gateway.

    Parameters
    ----------
    front_port, ready_port, control_port, directory_port
        Ports for callers, for the readiness check, for replicas and operators, and for
        the addresses of the gateways.
    settings
        Path of the settings file.
    """

    name: str
    front_port: int
    ready_port: int
    control_port: int
    directory_port: int
    settings: Path
    process: Popen[bytes]


class Response(NamedTuple):
    """A response as a caller receives it, with header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class PlatformFleet:
    """A set of gateway and replica processes with the operator's and callers' requests.

    Each gateway listens on its own address in 127.0.0.0/8, because a port has the same
    number on all machines of the platform.

    Parameters
    ----------
    folder
        Settings, data and logs of the gateways.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        # Held until the end: the gateways of fleets that run at the same time have the
        # same addresses, and would take each other's ports.
        self._reserved = reserve_ports(len(_PORT_NAMES))
        self._ports = [bound.getsockname()[1] for bound in self._reserved]
        self.gateways: list[GatewayProcess] = []
        self._replicas: Popen[str] | None = None
        self._replica_count = 0
        # Commands and their answers must not mix between threads.
        self._command_lock = Lock()
        self._configuration_version = 0
        # Folder of the sources that gateways start with from now on; by default those
        # of this program.
        self.sources: Path | None = None
        # Settings in the table Bounds, as TOML lines, that gateways start with.
        self.bounds: tuple[str, ...] = ()
        # Further lines of the table Limits in the settings of gateways.
        self.limits: tuple[str, ...] = ()
        folder.mkdir(parents=True, exist_ok=True)

    def stop(self) -> None:
        """End all processes of the fleet and release its ports."""
        for gateway in self.gateways:
            gateway.process.kill()
            gateway.process.wait()
        if self._replicas is not None:
            self._replicas.kill()
            self._replicas.wait()
        for bound in self._reserved:
            bound.close()

    def port(self, name: str) -> int:
        """Return a port that all gateways have: front, ready, control, ..., or peer."""
        return self._ports[_PORT_NAMES.index(name)]

    def start(self, gateways: int = 3, disks: int = 3) -> None:
        """Start gateways for the first time.

        Parameters
        ----------
        disks
            Number of gateways with a data folder; these are the first ones.
        """
        for number in range(gateways):
            self.start_gateway(number, number < disks, first_start=True)

    def start_gateway(
        self,
        number: int,
        disk: bool,
        first_start: bool,
        seeds: Sequence[str] = SEED_HOSTS,
    ) -> None:
        """Start a gateway, or start it again under the number that it had.

        Parameters
        ----------
        disk
            Whether it has a data folder, which lets it vote.
        first_start
            Whether the platform says that the system starts for the first time.
        seeds
            Hosts of the instances in its setting SeedNodes.
        """
        name = f"entry-{number + 1}"
        ip = f"127.0.1.{number + 1}"
        front_port, ready_port, control_port, directory_port, peer_port = self._ports
        seed_addresses = [f"{host}:{control_port}" for host in seeds]
        lines = [
            f'NodeName = "{name}"',
            f'Ip = "{ip}"',
            f'Zone = "zone-{number % 3 + 1}"',
            f"PortRange = [{peer_port},{peer_port}]",
            f"SeedNodes = {dumps(seed_addresses)}",
            f"FirstStart = {str(first_start).lower()}",
            "HeartbeatMs = 500",
        ]
        if disk:
            lines.append(f'DataDir = "{self._folder / name}"')
        lines += [
            "[BindAddrs]",
            f'Front = "{ip}:{front_port}"',
            f'Ready = "{ip}:{ready_port}"',
            f'Control = "{ip}:{control_port}"',
            f'directory = "{ip}:{directory_port}"',
            "[Limits]",
            "CpuShare = 0.5",
            "LinkMbps = 100.0",
            *self.limits,
            "[FaultTolerance]",
            "Machines = 1",
            "[Bounds]",
            "GraceS = 6",
            "RetryBudgetRatio = 0.2",
            "RetryWindowS = 10",
            "RetrySlack = 60",
            "WarmupOvershoot = 1.5",
            "WarmupSlack = 5",
            *self.bounds,
        ]
        path = self._folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        log = (self._folder / f"{name}.log").open("ab")
        environment = dict(environ, LOVAGETRAY_SETTINGS=str(path))
        if self.sources is not None:
            environment["PYTHONPATH"] = str(self.sources)
        process = Popen(
            [executable, "-m", "lovagetray.platform"],
            stdout=log,
            stderr=log,
            env=environment,
        )
        gateway = GatewayProcess(
            name, front_port, ready_port, control_port, directory_port, path, process
        )
        if number < len(self.gateways):
            self.gateways[number] = gateway
        else:
            self.gateways.append(gateway)

    def start_replicas(
        self,
        services: Sequence[str],
        replicas: int = 3,
        work_ms: float = 5.0,
        records: int = 25,
        slots: int = 5,
    ) -> None:
        """Start the replicas of services in one process.

        Parameters
        ----------
        replicas
            Number of replicas of each service.
        work_ms
            Time from a request to its response.
        records
            Records of 16 bytes in each response.
        slots
            Requests that each replica runs at the same time.
        """
        self._replica_count = len(services) * replicas
        control_addresses = [
            f"127.0.1.{number + 1}:{gateway.control_port}"
            for number, gateway in enumerate(self.gateways)
        ]
        self._replicas = Popen(
            [
                executable,
                _REPLICAS_PROGRAM,
                *services,
                "--control",
                ",".join(control_addresses),
                "--replicas",
                str(replicas),
                "--work-ms",
                str(work_ms),
                "--records",
                str(records),
                "--slots",
                str(slots),
            ],
            stdin=PIPE,
            stdout=PIPE,
            text=True,
        )

    def send_command(self, **fields: Any) -> Any:
        """Send a command, given as its fields, to the replicas; return their answer."""
        assert self._replicas is not None
        assert self._replicas.stdin is not None and self._replicas.stdout is not None
        with self._command_lock:
            self._replicas.stdin.write(dumps(fields) + "\n")
            self._replicas.stdin.flush()
            return loads(self._replicas.stdout.readline())

    def next_configuration(
        self, shards: Sequence[str], single_services: Sequence[str] = (), **changes: Any
    ) -> dict[str, Any]:
        """Return a configuration with the next version.

        Parameters
        ----------
        shards
            Services that the route ``/all/`` searches together.
        single_services
            Services with a route of their own.
        changes
            Top-level fields of the document that replace the defaults.
        """
        self._configuration_version += 1
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
        for service in single_services:
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
            "Version": self._configuration_version,
            "Routes": routes,
            "Services": [
                {"Name": name, "HealthPath": "/health", "MaxConnections": 40}
                for name in (*shards, *single_services)
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
        """Send a configuration to a gateway and return the response."""
        body = document if isinstance(document, bytes) else dumps(document).encode()
        port = self.gateways[number].control_port
        return self.call(number, port, "POST", "/-/config/put", body)

    def get(self, path: str, number: int = 0, **headers: str) -> Response:
        """Send a caller's request to a gateway and return the response."""
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
        """Send a request to a port of a gateway and return the response.

        The status is 0 if there is no response.
        """
        connection = HTTPConnection(f"127.0.1.{number + 1}", port, timeout=10)
        try:
            request_headers = {"Host": HOST} | (headers or {})
            connection.request(method, path, body, request_headers)
            response = connection.getresponse()
            response_headers = {
                name.lower(): value for name, value in response.getheaders()
            }
            return Response(response.status, response_headers, response.read())
        except (OSError, HTTPException):
            return Response(0, {}, b"")
        finally:
            connection.close()

    def ready(self, number: int) -> bool:
        """Return whether a gateway reports that it is ready."""
        port = self.gateways[number].ready_port
        return self.call(number, port, "GET", "/-/readiness").status == 200

    def kill(self, number: int) -> None:
        """End a gateway with SIGKILL."""
        self.gateways[number].process.send_signal(SIGKILL)
        self.gateways[number].process.wait()

    def terminate(self, number: int) -> None:
        """Send SIGTERM to a gateway, which asks it to stop."""
        self.gateways[number].process.send_signal(SIGTERM)

    def reload(self, number: int) -> None:
        """Send SIGHUP to a gateway, which asks it to read its settings again."""
        self.gateways[number].process.send_signal(SIGHUP)

    def wait_until(self, condition: Any, timeout: float = 30) -> None:
        """Wait until a condition holds.

        Parameters
        ----------
        timeout
            Longest time to wait, in seconds.

        Raises
        ------
        FleetTimeout
            If the condition does not hold within the timeout.
        """
        deadline = monotonic() + timeout
        while not condition():
            if monotonic() > deadline:
                raise FleetTimeout(str(condition))
            sleep(0.05)

    def wait_stopped(self, number: int, seconds: float) -> int:
        """Return the exit code of a gateway that was asked to stop.

        Raises
        ------
        FleetTimeout
            If it still runs after the given time.
        """
        try:
            return self.gateways[number].process.wait(seconds)
        except TimeoutExpired:
            raise FleetTimeout(f"gateway {number} did not stop in time") from None

    def wait_serving(self, shards: int, path: str = "/all/q") -> None:
        """Wait until every gateway answers a query over all shards.

        Parameters
        ----------
        shards
            Number of shards that an answer must include.
        """

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

    def wait_replicas_known(self) -> None:
        """Wait until every gateway uses all replicas.

        A gateway serves as soon as it has a configuration; right after the start of a
        fleet the first notices of some replicas may still be on their way.
        """
        line = f'lovagetray_known_replicas{{state="usable"}} {self._replica_count:.1f}'

        def all_known() -> bool:
            return all(
                line in self.metrics(number) for number in range(len(self.gateways))
            )

        self.wait_until(all_known)

    def metrics(self, number: int) -> list[str]:
        """Return the lines of a gateway's metrics, or none if it does not answer."""
        port = self.gateways[number].control_port
        return self.call(number, port, "GET", "/metrics").body.decode().splitlines()
