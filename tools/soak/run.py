"""One run of the fault soak: a fleet, callers, and a seeded series of faults."""

from collections import Counter
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from json import dumps, loads
from pathlib import Path
from random import Random
from shutil import rmtree
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from threading import Event, Thread
from time import monotonic, sleep
from typing import Any, NamedTuple

from platform_stand_in.fleet import HOST, FleetTimeout, PlatformFleet
from platform_stand_in.replicas import REFUSAL_SECONDS
from soak.link_proxy import LinkProxies, LinkState
from soak.promises import Answer, ConfigRead, Promises
from soak.replica_promises import DRAIN_SECONDS, Delivery, Disturbance, ReplicaEvent

_GATEWAYS = 5
_DISKS = 3
_SHARDS = ("shard-a", "shard-b", "shard-c", "shard-d")
_SERVICE = "booking"
# Its requests last longer than the rest of the grace period of most planned stops.
_SLOW_SERVICE = "archive"
_SLOW_WORK_MS = 2600.0
_CALLERS = 4
_SLOW_CALLERS = 8
_LOST_FOR = (0.2, 2.0)
# The platform kills a process this long after SIGTERM.
_GRACE_SECONDS = 6.0
_RECOVERY_SECONDS = 15.0
_REPLICA_FAULTS = (
    "shed",
    "refuse",
    "error",
    "reset",
    "silence",
    "extra",
    "unframed",
    "cut",
)
_LINK_FAULTS = ("delay", "reset", "silent", "one_way")


class SoakReport(NamedTuple):
    """Broken promises of a run, and counts of what it did."""

    problems: list[str]
    counts: dict[str, int]


class SoakRun:
    """A run with one seed.

    Parameters
    ----------
    folder
        Settings, data and logs of the gateways.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self._random = Random(seed)
        self._seconds = seconds
        self._folder = folder
        self._fleet = PlatformFleet(folder)
        self._promises = Promises(len(_SHARDS))
        self._counts: Counter[str] = Counter()
        self._ended = Event()
        self._sent = 0
        # Services with a route of their own.
        self._services: tuple[str, ...] = (_SERVICE, _SLOW_SERVICE)
        # Threads of callers by what they run.
        self._callers: list[Callable[[], None]] = [
            *[self._call] * _CALLERS,
            *[self._call_slow] * _SLOW_CALLERS,
            self._read_configuration,
        ]
        # Faults during which all processes go on; any number of them at a time.
        self._harmless: list[Callable[[], None]] = [
            self._harm_replica,
            self._let_replica_leave,
            self._harm_link,
            self._reload,
            self._change_configuration,
        ]
        self._faults: list[Callable[[], None]] = [
            self._kill,
            self._kill,
            self._pause,
            self._pause,
            self._stop,
            self._reload,
            self._harm_replica,
            self._harm_replica,
            self._let_replica_leave,
            self._harm_link,
            self._harm_link,
            self._change_configuration,
            self._lose_disk,
            self._kill_all,
        ]

    def run(self) -> SoakReport:
        """Run and return the report; ends all processes that it started."""
        fleet = self._fleet
        try:
            self._start()
            threads = [Thread(target=caller) for caller in self._callers]
            for thread in threads:
                thread.start()
            try:
                self._inject_faults()
                problems = self._recovery_problems()
            finally:
                self._ended.set()
                for thread in threads:
                    thread.join()
            replicas = fleet.send_command()["replicas"]
            (self._folder / "replicas.json").write_text(dumps(replicas))
            arrived = {name: state["arrived"] for name, state in replicas.items()}
            problems += self._promises.problems(arrived)
            events = {
                name: [ReplicaEvent(*event) for event in state["events"]]
                for name, state in replicas.items()
            }
            problems += self._promises.replica_problems(events, REFUSAL_SECONDS)
            problems += self._further_problems(replicas)
            self._counts["told leaving"] = sum(
                event.kind == "leaving" for of in events.values() for event in of
            )
            self._counts["refused"] = sum(
                event.kind == "refused" for of in events.values() for event in of
            )
            return SoakReport(problems + self._log_problems(), dict(self._counts))
        finally:
            fleet.stop()

    def _further_problems(self, replicas: dict[str, Any]) -> list[str]:
        """Return broken promises that only runs of another kind check.

        Parameters
        ----------
        replicas
            What each replica saw, as in the answer to a command.
        """
        return []

    def _start(self) -> None:
        fleet = self._fleet
        fleet.start(_GATEWAYS, _DISKS)
        fleet.start_replicas((*_SHARDS, *self._services))
        slow = [f"{_SLOW_SERVICE}-{number}" for number in range(3)]
        fleet.send_command(names=slow, work_ms=_SLOW_WORK_MS)
        states = fleet.send_command()["replicas"]
        self._links = LinkProxies(
            {name: state["port"] for name, state in states.items()}
        )
        for name, port in self._links.ports.items():
            fleet.send_command(names=[name], announced_port=port)
        fleet.wait_until(self._put_configuration)
        fleet.wait_serving(len(_SHARDS))

    def _inject_faults(self) -> None:
        """Inject faults one after the other; most last on while the next begin."""
        running: list[Thread] = []
        end = monotonic() + self._seconds
        while monotonic() < end:
            sleep(self._random.uniform(0.1, 1.0))
            running = [thread for thread in running if thread.is_alive()]
            # One process at a time is down, so that the fleet can go on.
            is_free = not running
            fault = self._random.choice(self._faults)
            if not is_free and fault not in self._harmless:
                continue
            self._counts[fault.__name__.strip("_")] += 1
            if fault in self._harmless:
                fault()
                continue
            thread = Thread(target=fault)
            thread.start()
            running.append(thread)
        for thread in running:
            thread.join()

    def _recovery_problems(self) -> list[str]:
        """End all faults; return a problem if the fleet does not serve in time."""
        for name in self._links.ports:
            self._links.change(name, LinkState())
        self._fleet.send_command(restart=True)
        return recovery_problems(self._fleet)

    def _note(self, fault: str) -> None:
        """Add a fault and its monotonic time to the logs of the run."""
        with (self._folder / "faults.log").open("a") as log:
            log.write(f"{monotonic():.3f} {fault}\n")

    # Faults.

    def _kill(self) -> None:
        number = self._random.randrange(_GATEWAYS)
        self._end_process(number, SIGKILL)
        sleep(self._random.uniform(*_LOST_FOR))
        self._restart(number)

    def _kill_all(self) -> None:
        for number in range(_GATEWAYS):
            self._end_process(number, SIGKILL)
        sleep(self._random.uniform(*_LOST_FOR))
        for number in range(_GATEWAYS):
            self._restart(number)
        sleep(_LOST_FOR[1])

    def _stop(self) -> None:
        """Stop one or two gateways, whose grace periods overlap."""
        numbers = self._random.sample(range(_GATEWAYS), self._random.choice((1, 1, 2)))
        stops = [Thread(target=self._stop_one, args=(number,)) for number in numbers]
        for stop in stops:
            stop.start()
            sleep(self._random.uniform(0, 1))
        for stop in stops:
            stop.join()

    def _stop_one(self, number: int) -> None:
        self._end_process(number, SIGTERM)
        self._restart(number)

    def _pause(self) -> None:
        self._suspend(*_LOST_FOR)

    def _suspend(self, shortest: float, longest: float) -> None:
        """Suspend a gateway for a random time, in seconds."""
        number = self._random.randrange(_GATEWAYS)
        process = self._fleet.gateways[number].process
        started_at = monotonic()
        process.send_signal(SIGSTOP)
        sleep(self._random.uniform(shortest, longest))
        process.send_signal(SIGCONT)
        self._note(f"gateway {number} suspended from {started_at:.3f}")
        self._promises.disturbances.append(Disturbance(number, started_at, monotonic()))

    def _lose_disk(self) -> None:
        number = self._random.randrange(_DISKS)
        self._end_process(number, SIGKILL)
        name = self._fleet.gateways[number].name
        for folder in (self._folder / name).iterdir():
            rmtree(folder)
        self._restart(number)
        # A second disk may be lost only once the first has caught up.
        sleep(_GRACE_SECONDS)

    def _reload(self) -> None:
        process = self._fleet.gateways[self._random.randrange(_GATEWAYS)].process
        if process.poll() is None:
            process.send_signal(SIGHUP)

    def _harm_replica(self) -> None:
        name = self._random.choice(list(self._links.ports))
        mode = self._random.choice((*_REPLICA_FAULTS, "ok", "ok"))
        self._fleet.send_command(names=[name], mode=mode)
        self._note(f"{name} {mode}")

    def _let_replica_leave(self) -> None:
        """Let the first replica of a service say that it leaves, and restart later.

        The other two are never told to, so that the service goes on.
        """
        name = f"{self._random.choice((*_SHARDS, _SERVICE))}-0"
        self._fleet.send_command(names=[name], mode="leaving")
        self._note(f"{name} leaving")

        def restart() -> None:
            self._ended.wait(DRAIN_SECONDS + 2)
            self._fleet.send_command(names=[name], restart=True)

        Thread(target=restart, daemon=True).start()

    def _harm_link(self) -> None:
        name = self._random.choice(list(self._links.ports))
        mode = self._random.choice((*_LINK_FAULTS, "pass", "pass"))
        delay = self._random.uniform(0.02, 0.5)
        self._links.change(name, LinkState(mode, delay))
        self._note(f"link to {name} {mode} {delay:.3f}")

    def _change_configuration(self) -> None:
        self._put_configuration()

    def _end_process(self, number: int, signal: int) -> None:
        process = self._fleet.gateways[number].process
        # The restart that follows lets the gateway forget what replicas have said.
        ended_at = monotonic() + 2 * _GRACE_SECONDS
        planned = signal == SIGTERM
        self._note(f"gateway {number} signal {signal}")
        self._promises.disturbances.append(
            Disturbance(number, monotonic(), ended_at, planned)
        )
        process.send_signal(signal)
        if planned and self._random.random() < 0.5:
            # Further signals do not change a stop that has begun.
            sleep(self._random.uniform(0, 1))
            process.send_signal(self._random.choice((SIGHUP, SIGTERM)))
        process.wait(2 * _GRACE_SECONDS)
        if signal == SIGTERM and process.returncode != 0:
            self._counts[f"stops with code {process.returncode}"] += 1

    def _restart(self, number: int) -> None:
        self._fleet.start_gateway(number, number < _DISKS, first_start=False)

    def _put_configuration(self) -> bool:
        """Send the next configuration; return whether it was acknowledged."""
        return self._put(self._next_configuration())

    def _next_configuration(self) -> dict[str, Any]:
        return self._fleet.next_configuration(_SHARDS, self._services)

    def _put(self, document: dict[str, Any]) -> bool:
        number = self._random.randrange(_GATEWAYS)
        if self._fleet.put_configuration(document, number).status != 200:
            return False
        self._promises.acknowledged.append(ConfigRead(monotonic(), document["Version"]))
        return True

    # Callers.

    def _call(self) -> None:
        kinds = (("query", "/all/q"), ("query", "/all/q"), ("once", f"/{_SERVICE}/x"))
        self._call_until_end(kinds, 1500)

    def _call_slow(self) -> None:
        self._call_until_end((("slow", f"/{_SLOW_SERVICE}/x"),), 6000)

    def _identity(self, kind: str, request_id: str, random: Random) -> dict[str, str]:
        """Return the headers with which a caller identifies itself."""
        return {}

    def _call_until_end(
        self,
        kinds: tuple[tuple[str, str], ...],
        deadline_ms: int,
        pause: float = 0.005,
        active: Event | None = None,
    ) -> None:
        """Send requests on kept connections until the run ends.

        Parameters
        ----------
        kinds
            Kind and path of the requests; each request is of a random one.
        pause
            Seconds between an answer and the next request.
        active
            Requests are sent only while this is set; None for always.
        """
        random = Random(self._random.random())
        connections: dict[int, HTTPConnection] = {}
        while not self._ended.wait(pause):
            if active is not None and not active.wait(0.1):
                continue
            number = random.randrange(_GATEWAYS)
            self._sent += 1
            kind, path = random.choice(kinds)
            request_id = f"{kind}-{self._sent}-{random.getrandbits(32):08x}"
            connection = connections.pop(number, None) or HTTPConnection(
                f"127.0.1.{number + 1}",
                self._fleet.gateways[number].front_port,
                timeout=2.5 + deadline_ms / 1000,
            )
            identity = self._identity(kind, request_id, random)
            sent_at = monotonic()
            answer = _send(connection, kind, path, request_id, deadline_ms, identity)
            ended_at = monotonic()
            answered_at = ended_at if answer.status else 0.0
            delivery = Delivery(number, sent_at, answered_at, ended_at)
            answer = answer._replace(delivery=delivery)
            self._promises.record_answer(answer)
            self._counts[f"{kind} {answer.status}"] += 1
            if answer.status and answer.headers.get("connection") != "close":
                connections[number] = connection
            else:
                connection.close()

    def _read_configuration(self) -> None:
        random = Random(self._random.random())
        while not self._ended.wait(0.05):
            number = random.randrange(_GATEWAYS)
            sent_at = monotonic()
            control = self._fleet.gateways[number].control_port
            answer = self._fleet.call(number, control, "GET", "/-/config/get")
            if answer.status == 200:
                version = loads(answer.body)["Version"]
                self._promises.reads.append(ConfigRead(sent_at, version))

    def _log_problems(self) -> list[str]:
        """Return exceptions and violations in the logs of the gateways."""
        return [
            f"{log.name}: {line[:300]}"
            for log in sorted(self._folder.glob("entry-*.log"))
            for line in log.read_text(errors="replace").splitlines()
            if "invariant_violated" in line
            or "task_failed" in line
            or line.startswith("Traceback")
        ]


def _send(
    connection: HTTPConnection,
    kind: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    identity: dict[str, str],
) -> Answer:
    headers = {"Host": HOST, "Request-Id": request_id, "Deadline": str(deadline_ms)}
    headers |= identity
    try:
        connection.request("GET", path, headers=headers)
        response = connection.getresponse()
        body = response.read()
    except (OSError, HTTPException):
        return Answer(request_id, kind, 0, {}, b"")
    lowered = {name.lower(): value for name, value in response.getheaders()}
    return Answer(request_id, kind, response.status, lowered, body)


def recovery_problems(fleet: PlatformFleet) -> list[str]:
    """Return a problem if a fleet without faults does not serve in time."""
    try:
        fleet.wait_serving(len(_SHARDS))
    except FleetTimeout as error:
        return [f"no complete answers after the last fault: {error}"]
    return []
