"""A small deployment on loopback for the scripts of the second review.

Starts gateways with the command of the deploy file and with settings like those of the
site kallio-lasku, and plays the operator and the platform. Every machine has an address
of its own in 127.0.0.0/8 and the same ports, as DEPLOY.md says.
"""

import os
import socket
import sys
import time
import traceback
from http.client import HTTPConnection, HTTPException
from json import dumps
from pathlib import Path
from shutil import rmtree
from subprocess import Popen
from tempfile import mkdtemp

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "haku.example"
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 262144,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
_PORT_NAMES = ("front", "ready", "control", "directory", "peer")
_SETTINGS = """\
NodeName = "front-{number}"
Role = "gateway"
MachineClass = "front"
Serves = ["front","control","directory"]
Ip = "{ip}"
Zone = "etela-{zone}"
Region = "suomi-etela"
PortRange = [{peer},{peer}]
SeedNodes = {seeds}
FirstStart = {first_start}
FaultCounted = true
{data_dir}
Discovery = "registry"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","scatter"]
config_mode = "highest"
[Zones]
etela-a = "suomi-etela"
etela-b = "suomi-etela"
etela-c = "suomi-etela"
[BindAddrs]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
directory = "{ip}:{directory}"
[Limits]
CpuShare = 0.968
CpuCores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 64
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
CoreSkewMs = 12000
RetryBudgetRatio = 0.2
RetryWindowS = 10
RetrySlack = 62
RecoveryS = 12
ttl_max_s = 5
"""


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


def _free_ports(ips):
    """Return ports that are free on all addresses, one for each name."""
    ports = []
    while len(ports) < len(_PORT_NAMES):
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        try:
            for ip in ips[1:]:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return dict(zip(_PORT_NAMES, ports))


class SmallDeployment:
    """Gateways of one deployment; `count` machines, all of them with a disk."""

    def __init__(self, count=3):
        self.folder = Path(mkdtemp(prefix="review-"))
        # Another address range for each script, so that two can run at the same time.
        self.ips = [f"127.{16 + os.getpid() % 64}.7.{n + 1}" for n in range(count)]
        self.ports = _free_ports(self.ips)
        self.processes = {}

    @property
    def control_addresses(self):
        """Control addresses of all machines."""
        return [f"{ip}:{self.ports['control']}" for ip in self.ips]

    def start(self, number, first_start):
        """Start the gateway of a machine with the command of the deploy file."""
        ip = self.ips[number]
        data = self.folder / f"data-{number}"
        data.mkdir(exist_ok=True)
        settings = self.folder / f"settings-{number}.toml"
        settings.write_text(
            _SETTINGS.format(
                number=number + 1,
                ip=ip,
                zone="abc"[number % 3],
                seeds=dumps(self.control_addresses[:3]),
                first_start=str(first_start).lower(),
                data_dir=f'DataDir = "{data}"',
                **self.ports,
            )
        )
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "LOVAGETRAY_SETTINGS": str(settings),
        }
        with (self.folder / f"gateway-{number}.log").open("ab") as log:
            self.processes[number] = Popen(
                ["python3", "-m", "lovagetray.platform"],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def stop(self):
        """End all gateways that still run."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    def remove_files(self):
        """Remove the settings, data and logs of the gateways."""
        rmtree(self.folder, ignore_errors=True)

    def call(self, number, port_name, method, path, body=b"", timeout=1.0):
        """Return status and body of a call; status 0 without an answer."""
        address = self.ips[number], self.ports[port_name]
        connection = HTTPConnection(*address, timeout=timeout)
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, HTTPException):
            return 0, b""
        finally:
            connection.close()

    def is_ready(self, number):
        """Return whether the platform's readiness check of a machine gets 200."""
        return self.call(number, "ready", "GET", "/-/readiness")[0] == 200

    def put_configuration(self, document, seconds):
        """Send a configuration to one machine after the other until it is acknowledged.

        Returns the number of the machine that acknowledged it, or None after `seconds`.
        """
        body = dumps(document).encode()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for number in range(len(self.ips)):
                status, _ = self.call(
                    number, "control", "POST", "/-/config/put", body, timeout=2.0
                )
                if status == 200:
                    return number
            time.sleep(0.2)
        return None


def wait_until(condition, seconds, what):
    """Wait for a condition; raise `CannotRun` if it does not come true."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"not within {seconds} s: {what}")
        time.sleep(0.05)


class Record:
    """The file record.txt in the folder of a case."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def add(self, text, at=None):
        """Write a line with the time since the begin."""
        at = time.monotonic() if at is None else at
        self._file.write(f"{at - self._began:9.3f} s  {text}\n")
        self._file.flush()


def run_case(play, folder):
    """Run `play(record, trouble)`; exit with 0 if it returns True, 1 if False."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"TROUBLE={int(trouble)}")
    try:
        held = play(record, trouble)
    except CannotRun as error:
        record.add(f"could not run: {error}")
        sys.exit(2)
    except Exception as error:
        # An error of the script says nothing of the rule.
        record.add(f"could not run: {error!r}")
        traceback.print_exc()
        sys.exit(2)
    record.add("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
