"""Starts entry instances and target stand-ins on loopback for tools and tests."""

from collections.abc import Iterable, Sequence
from hashlib import sha256
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from socket import socket
from subprocess import DEVNULL, Popen, TimeoutExpired
from sys import executable
from time import monotonic, sleep
from typing import Any, NamedTuple
from urllib.error import URLError
from urllib.request import Request, urlopen

from msgspec.json import decode, encode

# Bearer token of the only operator in the settings of a fleet; it gives access to the
# administration interface of the instances.
OPERATOR_TOKEN = "fleet-operator"
_TARGET_PROGRAM = str(Path(__file__).with_name("target.py"))


class FleetTimeout(Exception):
    """A failure to reach a condition within its time limit."""


class EntryProcess(NamedTuple):
    """The process of an entry instance."""

    name: str
    http_port: int
    settings: Path
    process: Popen[bytes]


class TargetProcess(NamedTuple):
    """The process of a target stand-in."""

    name: str
    shard: int
    port: int
    process: Popen[bytes]


def reserve_ports(count: int) -> list[socket]:
    """Return sockets bound to free TCP ports on 127.0.0.1.

    Until they are closed, no other process is given their ports there.
    """
    sockets = [socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(("127.0.0.1", 0))
    return sockets


def free_ports(count: int) -> list[int]:
    """Return a number of TCP ports on 127.0.0.1 that are free at present."""
    sockets = reserve_ports(count)
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


class Fleet:
    """A set of entry instances and targets on loopback, stopped on exit.

    Parameters
    ----------
    folder
        Settings, data and logs of the processes.
    program
        Command that runs lovagetray; by default with the current interpreter.
    """

    def __init__(self, folder: Path, program: Sequence[str] = ()) -> None:
        self._folder = folder
        self._program = list(program) or [executable, "-m", "lovagetray"]
        self._logs: list[Any] = []
        self.entries: list[EntryProcess] = []
        self.targets: list[TargetProcess] = []
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *details: object) -> None:
        self.stop()

    def start_entries(
        self,
        count: int,
        voters: int = 3,
        data_centres: Sequence[str] = ("helsinki-1",),
    ) -> None:
        """Start entry instances and wait until each lists all of them as serving.

        Parameters
        ----------
        voters
            Number of instances that vote; these are the first ones.
        data_centres
            Assigned to the instances in turn.
        """
        voters = min(voters, count)
        names = [f"entry-{number}" for number in range(1, count + 1)]
        ports = free_ports(2 * count)
        http_ports, peer_ports = ports[:count], ports[count:]
        for number, name in enumerate(names):
            lines = [
                "[instance]",
                f"name = {name}",
                f"data_centre = {data_centres[number % len(data_centres)]}",
                "host = 127.0.0.1",
                f"http_port = {http_ports[number]}",
                f"peer_port = {peer_ports[number]}",
            ]
            if number < voters:
                lines.append(f"data_folder = {self._folder / name}")
            lines += ["[peers]"]
            lines += [
                f"{other} = 127.0.0.1:{port}"
                for other, port in zip(names, peer_ports)
                if other != name
            ]
            lines += ["[agreement]", f"voters = {' '.join(names[:voters])}"]
            lines += ["[operators]"]
            lines += [f"operator = {sha256(OPERATOR_TOKEN.encode()).hexdigest()}"]
            path = self._folder / f"{name}.ini"
            path.write_text("\n".join(lines) + "\n")
            self.entries.append(self._run_entry(name, http_ports[number], path))
        self.wait_until(
            lambda: all(self._lists_serving(entry, count) for entry in self.entries)
        )

    def restart_entry(self, number: int) -> None:
        """Start an ended entry instance again with the same settings."""
        old = self.entries[number]
        self.entries[number] = self._run_entry(old.name, old.http_port, old.settings)

    def start_targets(
        self,
        service: str,
        shards: int,
        replicas: int,
        options: Iterable[str] = (),
        data_centres: Sequence[str] = ("helsinki-1",),
        wait: bool = True,
    ) -> None:
        """Start the targets of a service.

        Parameters
        ----------
        options
            Command line options of every target.
        data_centres
            Assigned to the replicas of a shard in turn.
        wait
            Whether to wait until every instance counts the targets as usable and each
            target has an owner.
        """
        previous = len(self.targets)
        for number, port in enumerate(free_ports(shards * replicas)):
            replica, shard = divmod(number, shards)
            self.start_target(
                service,
                f"{service.split('/')[-1]}-{shard}-{replica}",
                shard,
                shards,
                port,
                [*options, "--data-centre", data_centres[replica % len(data_centres)]],
            )
        count = len(self.targets) - previous
        if wait:
            self.wait_until(lambda: self._targets_ready(service, count))

    def start_target(
        self,
        service: str,
        name: str,
        shard: int,
        shards: int,
        port: int,
        options: Iterable[str] = (),
    ) -> TargetProcess:
        """Start one target and return its process."""
        command = [executable, _TARGET_PROGRAM, "--service", service, "--name", name]
        command += ["--shard", str(shard), "--shards", str(shards)]
        command += ["--port", str(port), *options]
        for entry in self.entries:
            command += ["--entry", f"127.0.0.1:{entry.http_port}"]
        process = Popen(command, stdout=DEVNULL, stderr=self._open_log(name))
        target = TargetProcess(name, shard, port, process)
        self.targets.append(target)
        return target

    def status(self, entry: EntryProcess) -> dict[str, Any]:
        """Return the status document of an instance."""
        status: dict[str, Any] = self.get(entry, "/v1/status")
        return status

    def get(self, entry: EntryProcess, path: str) -> Any:
        """Return the decoded JSON document at a path of an instance."""
        url = f"http://127.0.0.1:{entry.http_port}{path}"
        with urlopen(url, timeout=5) as response:
            return decode(response.read())

    def post(
        self, port: int, path: str, document: Any, headers: dict[str, str] = {}
    ) -> Any:
        """Post a JSON document to a port and return the decoded reply."""
        url = f"http://127.0.0.1:{port}{path}"
        request = Request(url, encode(document), headers)
        with urlopen(request, timeout=10) as response:
            return decode(response.read())

    def change_settings(
        self, path: str, values: dict[str, str], entry: int = 0, base: int | None = None
    ) -> int:
        """Set values as the operator of the fleet and return the new revision.

        Parameters
        ----------
        path
            Branch of the settings tree.
        entry
            Number of the instance that receives the request.
        base
            Revision that the change is based on; the instance's present one if None.
        """
        instance = self.entries[entry]
        document = {
            "base": self.status(instance)["revision"] if base is None else base,
            "changes": [
                {"path": path, "key": key, "value": value}
                for key, value in values.items()
            ],
        }
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        port = instance.http_port
        reply = self.post(port, "/v1/settings/change", document, headers)
        revision: int = reply["revision"]
        return revision

    def in_force(self, revision: int) -> bool:
        """Return whether every running instance has reached a settings revision."""
        running = [entry for entry in self.entries if entry.process.poll() is None]
        return all(self.status(entry)["revision"] >= revision for entry in running)

    def metric(self, entry: EntryProcess, name: str) -> float:
        """Return the value of an instance's metric, summed over its labels."""
        url = f"http://127.0.0.1:{entry.http_port}/metrics"
        with urlopen(url, timeout=5) as response:
            lines = response.read().decode().splitlines()
        samples = [line for line in lines if line.split("{")[0].split(" ")[0] == name]
        return sum(float(line.rsplit(" ", 1)[1]) for line in samples)

    def control(self, target: TargetProcess, **change: Any) -> Any:
        """Change the delay, fault, versions or state of a target; return its reply."""
        return self.post(target.port, "/control", change)

    def pause(self, process: "EntryProcess | TargetProcess") -> None:
        """Suspend a process with SIGSTOP."""
        process.process.send_signal(SIGSTOP)

    def resume(self, process: "EntryProcess | TargetProcess") -> None:
        """Resume a process that was paused."""
        process.process.send_signal(SIGCONT)

    def wait_until(self, condition: Any, timeout: float = 30.0) -> None:
        """Wait until a condition holds.

        Connection errors are ignored, because an instance may not answer yet.

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
        while monotonic() < deadline:
            try:
                if condition():
                    return
            except (URLError, OSError):
                pass
            sleep(0.1)
        raise FleetTimeout(f"condition did not hold within {timeout} s")

    def kill(self, process: "EntryProcess | TargetProcess") -> None:
        """End a process with SIGKILL."""
        process.process.send_signal(SIGKILL)
        process.process.wait()

    def stop(self) -> None:
        """End all processes of the fleet with SIGKILL and close their logs."""
        processes = [started.process for started in [*self.entries, *self.targets]]
        for process in processes:
            if process.poll() is None:
                process.send_signal(SIGKILL)
        for process in processes:
            try:
                process.wait(5)
            except TimeoutExpired:
                pass
        for log in self._logs:
            log.close()

    def terminate(self, process: "EntryProcess | TargetProcess") -> None:
        """Send SIGTERM to a process, which asks it to stop."""
        process.process.send_signal(SIGTERM)

    def _run_entry(self, name: str, http_port: int, path: Path) -> EntryProcess:
        command = [*self._program, "entry", "--settings", str(path)]
        process = Popen(command, stdout=DEVNULL, stderr=self._open_log(name))
        return EntryProcess(name, http_port, path, process)

    def _targets_ready(self, service: str, count: int) -> bool:
        """Return whether all instances know the targets and each has an owner."""
        statuses = [
            self.status(entry)["services"].get(service, {"usable": 0, "owned": 0})
            for entry in self.entries
        ]
        known = all(status["usable"] >= count for status in statuses)
        return known and sum(status["owned"] for status in statuses) >= count

    def _lists_serving(self, entry: EntryProcess, count: int) -> bool:
        """Return whether an instance lists enough instances as serving."""
        instances = self.status(entry)["instances"]
        serving = [listed for listed in instances if listed["state"] == "serving"]
        return len(serving) >= count

    def _open_log(self, name: str) -> Any:
        log = (self._folder / f"{name}.log").open("ab")
        self._logs.append(log)
        return log
