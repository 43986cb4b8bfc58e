"""Writes the page of measurements and its plot from stored results."""

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NamedTuple, TypedDict

from matplotlib import use
from policies import (
    CALM,
    CASES,
    FROZEN_REPLICA,
    LOST_THIRD,
    OVERLOAD,
    PLAIN_FAN_OUT,
    POLICIES,
    SLOW_REPLICA,
    SYSTEM_POLICY,
    shapes,
)
from recording import PhaseReport

use("Agg")
from matplotlib import pyplot  # noqa: E402

_MAX_P99_MS = 330.0
_MAX_STRAGGLER_P99_RATIO = 1 / 3
_MAX_EXTRA_SHARE = 0.05
_MIN_OVERLOAD_THROUGHPUT_RATIO = 0.9
_MAX_SPREAD = 0.05


class Run(TypedDict):
    """The measurement of one case with one policy.

    Parameters
    ----------
    capacity
        Queries a second at which every slot of the service is in use, times the factor
        of ``--scale``.
    applied
        Whether the policy was in force.
    busy
        Share of the time of all cores that was not idle. Near 1, the machine limits the
        figures.
    """

    service: str
    capacity: float
    case: str
    policy: str
    applied: bool
    busy: float
    phases: list[PhaseReport]


class Results(TypedDict):
    """The results of one measuring command."""

    command: str
    date: str
    seed: int
    cores: int
    machine_load: float
    entries: int
    work_ms: float
    runs: list[Run]
    sweep: list[Run]


class Goal(NamedTuple):
    """A goal and the measured figure; `met` is None if it was not measured."""

    text: str
    measured: str
    met: bool | None


class PoliciesNotApplied(Exception):
    """An attempt to write the page from runs in which a policy was not in force."""


def write_page(results: Results, page: Path, trial: bool) -> None:
    """Write the page.

    Parameters
    ----------
    trial
        Whether the page is written, with a label, even if policies were not in force.

    Raises
    ------
    PoliciesNotApplied
        If a policy was not in force in some run and this is no trial.
    """
    applied = all(run["applied"] for run in [*results["runs"], *results["sweep"]])
    if not applied and not trial:
        raise PoliciesNotApplied(
            "a policy was not in force in at least one run; see --trial"
        )
    page.write_text("\n".join(_lines(results, applied)) + "\n")


def plot(results: Results, file: Path) -> None:
    """Draw latency against load for each policy."""
    figure, axes = pyplot.subplots(figsize=(8, 5))
    for number, run in enumerate(results["sweep"]):
        loads = [phase["rate"] / run["capacity"] for phase in run["phases"]]
        for name, style in (("p50", "--"), ("p99", "-")):
            values = [phase["latency_ms"][name] for phase in run["phases"]]
            label = f"{run['policy']}, {name}"
            axes.plot(loads, values, style, color=f"C{number}", label=label)
    axes.axhline(_MAX_P99_MS, color="grey", linewidth=0.8)
    axes.set_xlabel("load as a share of the capacity of all slots")
    axes.set_ylabel("latency from the planned send time, ms")
    axes.set_yscale("log")
    title = results["sweep"][0]["service"] if results["sweep"] else "not run"
    axes.set_title(f"{title}, {results['date']}")
    if results["sweep"]:
        axes.legend()
    figure.savefig(file, dpi=120)
    pyplot.close(figure)


def goals(results: Results, service: str) -> list[Goal]:
    """Return the goals of a service with the figures of the system's policy."""
    return [
        _calm_tail(results, service),
        *_straggler(results, service),
        _coverage_kept(results, service),
        *_overload(results, service),
        _fairness(results, service),
    ]


def _phases(results: Results, *key: str) -> list[PhaseReport]:
    """Return the phases of the run with a service, case and policy, if there is one."""
    for run in results["runs"]:
        if (run["service"], run["case"], run["policy"]) == key:
            return run["phases"]
    return []


def _calm_tail(results: Results, service: str) -> Goal:
    text = f"calm p99 at most {_MAX_P99_MS:.0f} ms"
    calm = _phases(results, service, CALM, SYSTEM_POLICY)
    if not calm:
        return Goal(text, "not run", None)
    p99 = calm[0]["latency_ms"]["p99"]
    return Goal(text, f"{p99:.0f} ms", p99 <= _MAX_P99_MS)


def _straggler(results: Results, service: str) -> Iterator[Goal]:
    for case in (SLOW_REPLICA, FROZEN_REPLICA):
        text = f"{case}: p99 at most a third of plain fan-out's"
        extra_text = f"{case}: at most 5% extra sub-requests"
        system = _phases(results, service, case, SYSTEM_POLICY)
        plain = _phases(results, service, case, PLAIN_FAN_OUT)
        if not system or not plain:
            yield Goal(text, "not run", None)
            yield Goal(extra_text, "not run", None)
            continue
        p99, plain_p99 = (phases[0]["latency_ms"]["p99"] for phases in (system, plain))
        measured = f"{p99:.0f} ms against {plain_p99:.0f} ms"
        yield Goal(text, measured, p99 <= plain_p99 * _MAX_STRAGGLER_P99_RATIO)
        ratio = system[0]["sub_requests_over_least"]
        if ratio is None:
            yield Goal(extra_text, "not counted", None)
        else:
            yield Goal(extra_text, f"{ratio - 1:.1%}", ratio - 1 <= _MAX_EXTRA_SHARE)


def _coverage_kept(results: Results, service: str) -> Goal:
    text = "no coverage lost while one replica of each shard lives"
    lost = _phases(results, service, LOST_THIRD, SYSTEM_POLICY)
    if not lost:
        return Goal(text, "not run", None)
    coverage = lost[0]["mean_coverage"]
    return Goal(text, f"mean coverage {coverage:.4f}", coverage == 1.0)


def _overload(results: Results, service: str) -> Iterator[Goal]:
    text = "1.2 times capacity: at least 90% of the throughput below it in time"
    rest_text = "1.2 times capacity: the rest refused as not run"
    phases = _phases(results, service, OVERLOAD, SYSTEM_POLICY)
    if not phases:
        yield Goal(text, "not run", None)
        yield Goal(rest_text, "not run", None)
        return
    below, above = phases[0], phases[1]
    ratio = above["in_time_per_second"] / max(below["in_time_per_second"], 1e-9)
    yield Goal(text, f"{ratio:.1%}", ratio >= _MIN_OVERLOAD_THROUGHPUT_RATIO)
    rest = above["asked"] - above["in_time"]
    failed = rest - above["refused_not_run"]
    yield Goal(
        rest_text, f"{failed} of {rest} late, lost or otherwise refused", not failed
    )


def _fairness(results: Results, service: str) -> Goal:
    text = "answers of equal members within 5%"
    spreads = [
        phase["spread"]
        for run in results["runs"]
        if run["service"] == service and run["policy"] == SYSTEM_POLICY
        for phase in run["phases"]
    ]
    if not spreads:
        return Goal(text, "not run", None)
    return Goal(text, f"largest spread {max(spreads):.1%}", max(spreads) <= _MAX_SPREAD)


def _lines(results: Results, applied: bool) -> Iterator[str]:
    yield "# Measurements"
    yield ""
    if not applied:
        yield "**Trial page: no policy was in force, the figures only show the tools.**"
        yield ""
    yield f"Written by `{results['command']}`"
    yield f"on {results['date']}, seed {results['seed']}, from its `results.json`:"
    yield f"{results['entries']} entry instances on {results['cores']} cores of one"
    yield f"machine, load average {results['machine_load']} at the start. Targets are"
    yield f"stand-ins that share processes; their work ({results['work_ms']:.0f} ms on"
    yield "average, a fifth of it exponential) is sleep. Loopback adds no delay between"
    yield "data centres. Latency runs from the planned send time. A condition begins"
    yield "together with the measured phase, so that its onset is part of the figures."
    yield "Requests state a deadline of 330 ms, or 3 s where a straggler's latency"
    yield "is compared, which cuts the latency off. Extra is sub-requests over one"
    yield "for each shard and query that ran; those in flight at the end of a phase"
    yield "fall into the next one, so that short phases show a few percent of"
    yield "error."
    for service in dict.fromkeys(run["service"] for run in results["runs"]):
        yield from _service(results, service)
    if results["sweep"]:
        yield ""
        yield f"## Latency against load, {results['sweep'][0]['service']}"
        yield ""
        yield "![latency against load for the three policies](latency.png)"
        yield ""
        yield from _table(results["sweep"])
    yield ""
    yield "## Not run"
    yield ""
    yield from (f"- {line}" for line in _not_run(results))
    yield "- Services whose shape equals a measured one (payment matching, reminders,"
    yield "  kiosk desk, receipts, release board) have no runs of their own."


def _service(results: Results, service: str) -> Iterator[str]:
    yield ""
    yield f"## {service[0].upper()}{service[1:]}"
    yield ""
    yield "| Goal | Measured | Met |"
    yield "|---|---|---|"
    verdicts = {True: "yes", False: "**no**", None: "not measured"}
    for goal in goals(results, service):
        yield f"| {goal.text} | {goal.measured} | {verdicts[goal.met]} |"
    yield ""
    yield from _table([run for run in results["runs"] if run["service"] == service])


def _table(runs: Sequence[Run]) -> Iterator[str]:
    yield (
        "| Case | Policy | Asked/s | Answered/s | In time/s"
        " | p50 ms | p99 ms | p99.9 ms | Coverage | Whole | Extra | Spread | Cores busy"
        " | Refused, lost |"
    )
    yield "|---|---|" + "---:|" * 11 + "---|"
    for run in runs:
        for phase in run["phases"]:
            latency = phase["latency_ms"]
            ratio = phase["sub_requests_over_least"]
            failed = {**phase["refused"], **phase["lost"]}
            failures = ", ".join(f"{code} {count}" for code, count in failed.items())
            yield (
                f"| {run['case']} | {run['policy']} | {phase['rate']:.0f}"
                f" | {phase['answers_per_second']:.0f}"
                f" | {phase['in_time_per_second']:.0f} | {latency['p50']:.0f}"
                f" | {latency['p99']:.0f} | {latency['p999']:.0f}"
                f" | {phase['mean_coverage']:.4f} | {phase['whole_share']:.4f}"
                f" | {'-' if ratio is None else f'{ratio - 1:.1%}'}"
                f" | {phase['spread']:.1%} | {run['busy']:.0%} | {failures or '-'} |"
            )


def _not_run(results: Results) -> list[str]:
    """Return a line for each service and case, with the policies not measured."""
    measured = {(run["service"], run["case"], run["policy"]) for run in results["runs"]}
    lines = []
    for shape in shapes(1):
        for case in CASES:
            missing = [
                policy.name
                for policy in POLICIES
                if (shape.title, case.name, policy.name) not in measured
            ]
            if missing:
                lines.append(f"{shape.title}, {case.name}: {', '.join(missing)}")
    return lines
