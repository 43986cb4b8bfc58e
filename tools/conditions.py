"""Runs a service on target stand-ins and puts it into the condition of a case."""

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

_TARGET_HOST_PROGRAM = str(Path(__file__).with_name("target_host.py"))
_RECORDS_PER_SHARD = 10
_EXPONENTIAL_SHARE = 0.2
_SEED = 1


class ServiceOnHosts:
    """The targets of a service, distributed over several host processes.

    Parameters
    ----------
    processes
        Number of host processes; each serves a range of the shards.
    """

    def __init__(self, fleet: Fleet, shape: Shape, processes: int) -> None:
        self._fleet = fleet
        self._shape = shape
        self._processes: list[Popen[bytes]] = []
        self._new_versions = count(2)
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
        """Wait until every entry instance counts all replicas as usable."""
        expected = self._shape.shards * self._shape.replicas

        def usable(entry: Any) -> int:
            services = self._fleet.status(entry)["services"]
            service = services.get(self._shape.service, {})
            return int(service.get("usable", 0))

        self._fleet.wait_until(
            lambda: all(usable(entry) == expected for entry in self._fleet.entries), 60
        )

    def change(self, change: dict[str, Any], names: Sequence[str] = ()) -> None:
        """Change the named targets, or all if no name is given."""
        for number, port in enumerate(self.control_ports):
            first = number * self._shards_per_host
            hosted = {
                name
                for shard in range(first, first + self._shards_per_host)
                for name in self._replicas_of(shard)
            }
            chosen = [name for name in names if name in hosted]
            if chosen or not names:
                document = {"targets": chosen, "change": change}
                self._fleet.post(port, "/control", document)

    def replica(self, shard: int, replica: int) -> str:
        """Return the name of the target that is a replica of a shard."""
        return target_name(self._shape.service, shard, replica)

    @property
    def third_of_replicas(self) -> list[str]:
        """Names of about a third of the replicas, as many in each shard.

        With two or more replicas, each shard keeps at least one.
        """
        shape = self._shape
        lost_per_shard = max(1, shape.replicas // 3)
        return [
            self.replica(shard, (shard + number) % shape.replicas)
            for shard in range(shape.shards)
            for number in range(lost_per_shard)
        ]

    def replace_versions(self, stop: Event, interval: float) -> None:
        """Replace the index version, one replica of each shard at a time, until `stop`.

        Parameters
        ----------
        interval
            Time in which all replicas get a new version, in seconds.
        """
        old = 1
        while not stop.is_set():
            new = next(self._new_versions)
            for replica in range(self._shape.replicas):
                names = [
                    self.replica(shard, replica) for shard in range(self._shape.shards)
                ]
                self.change({"versions": [old, new]}, names)
                if stop.wait(interval / self._shape.replicas):
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
            "connect-cost": shape.connect_ms,
            "connect-delay": shape.connect_ms,
            "delay": shape.work_ms,
            "tail": _EXPONENTIAL_SHARE,
            "records": _RECORDS_PER_SHARD * shape.shards,
            "seed": _SEED,
        }
        command = [executable, _TARGET_HOST_PROGRAM]
        for name, value in options.items():
            command += [f"--{name}", str(value)]
        for entry in self._fleet.entries:
            command += ["--entry", f"127.0.0.1:{entry.http_port}"]
        return command


@contextmanager
def condition_in_force(
    hosts: ServiceOnHosts, condition: Condition, work_ms: float
) -> Iterator[None]:
    """Put a service into a condition and restore it afterwards.

    Parameters
    ----------
    work_ms
        Mean time for a sub-request, to which slowed targets return.
    """
    slow_replica = [hosts.replica(0, 0)]
    match condition:
        case Calm() | Overload():
            yield
        case Straggler(factor=factor):
            hosts.change({"delay": work_ms * factor}, slow_replica)
            yield
            hosts.change({"delay": work_ms}, slow_replica)
        case FrozenReplica():
            hosts.change({"fault": "silent"}, slow_replica)
            yield
            # Requests without an answer end only when the target stops, so restart it.
            hosts.change({"fault": "", "alive": False}, slow_replica)
            hosts.change({"alive": True}, slow_replica)
        case LostThird():
            lost = hosts.third_of_replicas
            hosts.change({"alive": False}, lost)
            yield
            hosts.change({"alive": True}, lost)
        case FrozenReports(factor=factor):
            hosts.change({"freeze_reports": True})
            hosts.change({"delay": work_ms * factor}, slow_replica)
            yield
            hosts.change({"freeze_reports": False})
            hosts.change({"delay": work_ms}, slow_replica)
        case VersionChanges(interval=interval):
            with _running_in_thread(
                lambda stop: hosts.replace_versions(stop, interval.total_seconds())
            ):
                yield
    hosts.wait_until_usable()


@contextmanager
def _running_in_thread(work: Callable[[Event], None]) -> Iterator[None]:
    """Run a function in a thread; on exit set its event and wait for its end."""
    stop = Event()
    thread = Thread(target=work, args=(stop,))
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()
