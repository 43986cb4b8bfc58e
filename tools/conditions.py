"""Runs a service on stand-ins and puts it into the condition of a case."""

from collections.abc import Callable, Sequence
from contextlib import contextmanager
from itertools import count
from pathlib import Path
from subprocess import Popen
from sys import executable
from threading import Event, Thread
from typing import Any, Iterator

from fleet import Fleet, free_ports
from policies import (
    Calm,
    Condition,
    FrozenReplica,
    FrozenReports,
    LostThird,
    Overload,
    Shape,
    Straggler,
    VersionChanges,
)
from target_host import target_name

_HOST = str(Path(__file__).with_name("target_host.py"))
_RECORDS = 10
_TAIL = 0.2
_SEED = 1


class ServiceOnHosts:
    """The targets of one service, spread over a few host processes.

    Parameters
    ----------
    processes
        Host processes; each serves some of the shards, or all of them if there is one.
    """

    def __init__(self, fleet: Fleet, shape: Shape, processes: int) -> None:
        self._fleet = fleet
        self._shape = shape
        self._processes: list[Popen[bytes]] = []
        self._versions = count(2)
        self.control_ports = free_ports(min(processes, shape.shards))
        self._shards_per_host = -(-shape.shards // len(self.control_ports))

    def __enter__(self) -> "ServiceOnHosts":
        for number, port in enumerate(self.control_ports):
            first = number * self._shards_per_host
            last = min(first + self._shards_per_host, self._shape.shards)
            self._processes.append(Popen(self._command(port, first, last)))
        self.wait_until_usable()
        return self

    def __exit__(self, *details: object) -> None:
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            process.wait()

    def wait_until_usable(self) -> None:
        """Wait until every instance counts all replicas as usable."""
        wanted = self._shape.shards * self._shape.replicas

        def usable(entry: Any) -> int:
            services = self._fleet.status(entry)["services"]
            told = services.get(self._shape.service, {})
            return int(told.get("usable", 0))

        self._fleet.wait_until(
            lambda: all(usable(entry) == wanted for entry in self._fleet.entries), 60
        )

    def change(self, change: dict[str, Any], names: Sequence[str] = ()) -> None:
        """Change the named targets, or all."""
        for number, port in enumerate(self.control_ports):
            first = number * self._shards_per_host
            mine = {
                name
                for shard in range(first, first + self._shards_per_host)
                for name in self._replicas_of(shard)
            }
            chosen = [name for name in names if name in mine]
            if chosen or not names:
                document = {"targets": chosen, "change": change}
                self._fleet.post(port, "/control", document)

    def replica(self, shard: int, replica: int) -> str:
        """Return the name of a target."""
        return target_name(self._shape.service, shard, replica)

    @property
    def third(self) -> list[str]:
        """A third of the replicas, at most all but one of each shard."""
        shape = self._shape
        lost = max(1, shape.replicas // 3)
        return [
            self.replica(shard, (shard + number) % shape.replicas)
            for shard in range(shape.shards)
            for number in range(lost)
        ]

    def roll_out(self, stop: Event, every: float) -> None:
        """Replace the index version replica by replica until told to stop."""
        old = 1
        while not stop.is_set():
            new = next(self._versions)
            for replica in range(self._shape.replicas):
                names = [
                    self.replica(shard, replica) for shard in range(self._shape.shards)
                ]
                self.change({"versions": [old, new]}, names)
                if stop.wait(every / self._shape.replicas):
                    break
            old = new
        self.change({"versions": [1]})

    def _replicas_of(self, shard: int) -> list[str]:
        return [self.replica(shard, number) for number in range(self._shape.replicas)]

    def _command(self, port: int, first: int, last: int) -> list[str]:
        shape = self._shape
        options = {
            "control-port": port,
            "service": shape.service,
            "shards": shape.shards,
            "first-shard": first,
            "last-shard": last,
            "replicas": shape.replicas,
            "data-centres": ",".join(shape.data_centres),
            "slots": shape.slots,
            "connections": shape.connections,
            "connect-cost": shape.connect,
            "connect-delay": shape.connect,
            "delay": shape.work,
            "tail": _TAIL,
            "records": _RECORDS * shape.shards,
            "seed": _SEED,
        }
        command = [executable, _HOST]
        for name, value in options.items():
            command += [f"--{name}", str(value)]
        for entry in self._fleet.entries:
            command += ["--entry", f"127.0.0.1:{entry.http_port}"]
        return command


@contextmanager
def condition_in_force(
    hosts: ServiceOnHosts, condition: Condition, work: float
) -> Iterator[None]:
    """Put a service into a condition and take it back afterwards."""
    straggler = [hosts.replica(0, 0)]
    match condition:
        case Calm() | Overload():
            yield
        case Straggler(factor=factor):
            hosts.change({"delay": work * factor}, straggler)
            yield
            hosts.change({"delay": work}, straggler)
        case FrozenReplica():
            hosts.change({"fault": "silent"}, straggler)
            yield
            # The stuck requests end only with the target, so it starts anew.
            hosts.change({"fault": "", "alive": False}, straggler)
            hosts.change({"alive": True}, straggler)
        case LostThird():
            lost = hosts.third
            hosts.change({"alive": False}, lost)
            yield
            hosts.change({"alive": True}, lost)
        case FrozenReports(factor=factor):
            hosts.change({"freeze_reports": True})
            hosts.change({"delay": work * factor}, straggler)
            yield
            hosts.change({"freeze_reports": False})
            hosts.change({"delay": work}, straggler)
        case VersionChanges(every=every):
            with _in_thread(lambda stop: hosts.roll_out(stop, every.total_seconds())):
                yield
    hosts.wait_until_usable()


@contextmanager
def _in_thread(work: Callable[[Event], None]) -> Iterator[None]:
    stop = Event()
    thread = Thread(target=work, args=(stop,))
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()
