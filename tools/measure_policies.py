"""Measures replica policies side by side on services of the users' sizes.

Each service runs on its own fleet of entry instances and target stand-ins. Each case is
measured once with each policy; a sweep over loads gives latency against load. The
results are written to a folder as JSON, with a plot; the page is written from the JSON.
A condition begins when the warm-up is over, so that its onset is part of the figures.
"""

from argparse import ArgumentDefaultsHelpFormatter, ArgumentParser, Namespace
from collections.abc import Iterator, Sequence
from datetime import datetime, timezone
from math import ceil
from os import cpu_count, getloadavg
from pathlib import Path
from shlex import join
from subprocess import PIPE, Popen
from sys import argv, executable
from tempfile import TemporaryDirectory
from time import sleep
from typing import Any

from conditions import ServiceOnHosts, condition_in_force
from fleet import Fleet
from load import MEASURING
from measurement_page import Results, Run, plot, write_page
from msgspec.json import Decoder, decode, encode, format as format_json
from policies import (
    CASES,
    POLICIES,
    Calm,
    Case,
    Overload,
    Policy,
    Shape,
    select_policy,
    shapes,
)

_LOAD_PROGRAM = str(Path(__file__).with_name("load.py"))
# Shares of the capacity.
_SWEEP_LOADS = (0.3, 0.5, 0.7, 0.85, 1.0, 1.1)
_SETTLING_SECONDS = 1.5
_WARM_UP_SECONDS = 1.5
# The instances use all slots of a newly started target only after 10 s.
_RAMP_SECONDS = 11
_MEMBERS = 4
_MAX_CALLERS_PER_MEMBER = 128


class ServiceMeasurement:
    """The measurements of one service on its fleet."""

    def __init__(
        self, fleet: Fleet, hosts: ServiceOnHosts, shape: Shape, arguments: Namespace
    ) -> None:
        self._fleet = fleet
        self._hosts = hosts
        self._shape = shape
        self._arguments = arguments
        self._capacity = shape.capacity * arguments.scale

    def cases(self, cases: Sequence[Case], policies: Sequence[Policy]) -> Iterator[Run]:
        """Measure each case with each policy and yield the runs."""
        for case in cases:
            for policy in policies:
                yield self._run(case, policy, self._phases(case))

    def sweep(self, policies: Sequence[Policy]) -> Iterator[Run]:
        """Measure a range of loads without faults; yield a run for each policy."""
        case = Case("sweep", Calm(), _SWEEP_LOADS[0], CASES[0].deadline)
        seconds = self._arguments.duration
        phases = [(share * self._capacity, seconds) for share in _SWEEP_LOADS]
        for policy in policies:
            yield self._run(case, policy, phases)

    def _phases(self, case: Case) -> list[tuple[float, float]]:
        """Return the rate (queries a second) and duration (s) of each phase."""
        seconds = self._arguments.duration
        usual = (case.load * self._capacity, seconds)
        match case.condition:
            case Overload(factor=factor):
                return [usual, (factor * self._capacity, seconds), usual]
            case _:
                return [usual]

    def _run(
        self, case: Case, policy: Policy, phases: list[tuple[float, float]]
    ) -> Run:
        applied = select_policy(self._fleet, self._shape.service, policy)
        sleep(_SETTLING_SECONDS)
        idle_before, total_before = _cpu_times()
        with TemporaryDirectory() as folder:
            output = Path(folder) / "load.json"
            command = self._command(case, phases, output)
            with Popen(command, stdout=PIPE, text=True) as process:
                assert process.stdout is not None
                if process.stdout.readline().strip() != MEASURING:
                    raise RuntimeError("load.py ended before its warm-up was over")
                with condition_in_force(
                    self._hosts, case.condition, self._shape.work_ms
                ):
                    print(process.stdout.read(), end="", flush=True)
                    process.wait()
            measured = decode(output.read_bytes())["phases"]
        idle_after, total_after = _cpu_times()
        busy = round(1 - (idle_after - idle_before) / (total_after - total_before), 3)
        return Run(
            service=self._shape.title,
            capacity=self._capacity,
            case=case.name,
            policy=policy.name,
            applied=applied,
            busy=busy,
            phases=measured,
        )

    def _command(
        self, case: Case, phases: list[tuple[float, float]], output: Path
    ) -> list[str]:
        shape = self._shape
        deadline = case.deadline.total_seconds()
        max_rate = max(rate for rate, _ in phases)
        callers = min(
            ceil(2 * max_rate * deadline / _MEMBERS) + 8, _MAX_CALLERS_PER_MEMBER
        )
        command = [executable, _LOAD_PROGRAM, "--service", shape.service]
        command += ["--deadline", str(deadline * 1000), "--members", str(_MEMBERS)]
        command += ["--callers", str(callers), "--output", str(output)]
        command += ["--data-centres", ",".join(shape.data_centres)]
        command += ["--warm-up", str(_WARM_UP_SECONDS)]
        command += ["--seed", str(self._arguments.seed)]
        for rate, seconds in phases:
            command += ["--phase", f"{rate:.2f}:{seconds}"]
        for entry in self._fleet.entries:
            command += ["--entry", f"127.0.0.1:{entry.http_port}"]
        for port in self._hosts.control_ports:
            command += ["--count-targets", f"127.0.0.1:{port}"]
        return command


def _cpu_times() -> tuple[float, float]:
    """Return the idle and the total time of all cores since the machine started."""
    with open("/proc/stat", encoding="ascii") as file:
        times = [float(field) for field in file.readline().split()[1:9]]
    return times[3] + times[4], sum(times)


def measure(arguments: Namespace) -> Results:
    """Measure the selected services, cases and policies; return the results."""
    policies = [policy for policy in POLICIES if policy.name in arguments.policies]
    cases = [case for case in CASES if case.name in arguments.cases]
    results = Results(
        command=join(["python", *argv]),
        date=f"{datetime.now(timezone.utc):%Y-%m-%d %H:%M} UTC",
        seed=arguments.seed,
        cores=cpu_count() or 0,
        machine_load=round(getloadavg()[0], 2),
        entries=arguments.entries,
        work_ms=arguments.work,
        runs=[],
        sweep=[],
    )
    for shape in shapes(arguments.work):
        if shape.title not in arguments.services:
            continue
        with TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
            fleet.start_entries(
                arguments.entries, voters=3, data_centres=shape.data_centres
            )
            with ServiceOnHosts(fleet, shape, arguments.hosts) as hosts:
                sleep(_RAMP_SECONDS)
                measurement = ServiceMeasurement(fleet, hosts, shape, arguments)
                # The first run only opens connections and fills averages; discard it.
                for _ in measurement.cases(CASES[:1], policies[:1]):
                    pass
                for run in measurement.cases(cases, policies):
                    print(f"{run['service']}: {run['case']}: {run['policy']}")
                    results["runs"].append(run)
                if arguments.sweep == shape.title:
                    results["sweep"].extend(measurement.sweep(policies))
    return results


def _parser() -> ArgumentParser:
    titles = [shape.title for shape in shapes(1)]
    parser = ArgumentParser(
        description=__doc__, formatter_class=ArgumentDefaultsHelpFormatter
    )

    def add_selection(flag: str, names: list[str]) -> None:
        parser.add_argument(
            flag,
            nargs="*",
            choices=names,
            default=names,
            metavar="NAME",
            help=str(names),
        )

    parser.add_argument(
        "folder", type=Path, help="folder for results.json and latency.png"
    )
    add_selection("--services", titles)
    add_selection("--cases", [case.name for case in CASES])
    add_selection("--policies", [policy.name for policy in POLICIES])
    parser.add_argument(
        "--sweep", default=titles[0], help="service to sweep; none if empty"
    )
    parser.add_argument(
        "--duration", type=float, default=5, help="duration of each phase, s"
    )
    parser.add_argument(
        "--work", type=float, default=80, help="mean time for a sub-request, ms"
    )
    parser.add_argument("--scale", type=float, default=1, help="factor on all loads")
    parser.add_argument("--entries", type=int, default=9)
    parser.add_argument(
        "--hosts", type=int, default=4, help="processes with target stand-ins"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--page", type=Path, help="file for the page")
    parser.add_argument(
        "--from-json", action="store_true", help="measure nothing; read results.json"
    )
    parser.add_argument(
        "--trial",
        action="store_true",
        help="write the page although policies were not applied",
    )
    return parser


def main() -> None:
    """Measure, or read stored results, and write results, plot and page."""
    arguments = _parser().parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    file = arguments.folder / "results.json"
    if arguments.from_json:
        results: Any = Decoder(Results).decode(file.read_bytes())
    else:
        results = measure(arguments)
        file.write_bytes(format_json(encode(results), indent=2))
    plot(results, arguments.folder / "latency.png")
    if arguments.page:
        write_page(results, arguments.page, arguments.trial)
        plot(results, arguments.page.with_name("latency.png"))


if __name__ == "__main__":
    main()
