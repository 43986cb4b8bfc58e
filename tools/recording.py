"""What a load run records: latency from the intended send time, and outcomes."""

from collections import Counter
from collections.abc import Iterator, Sequence
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 3


class Arrival(NamedTuple):
    """One request of an open-loop plan; `at` is counted from the start of its phase."""

    at: timedelta
    member: str
    number: int


class Phase(NamedTuple):
    """A stretch of constant load; `rate` in requests for each second."""

    rate: float
    duration: timedelta


def arrivals(phase: Phase, members: Sequence[str], seed: int) -> Iterator[Arrival]:
    """Yield the requests of a phase, with exponential gaps.

    The members take turns in a shuffled order, so that each asks for the same number
    and a difference between their answers comes from the system.
    """
    random = Random(seed)
    at = 0.0
    number = 0
    while True:
        turn = random.sample(list(members), len(members))
        for member in turn:
            at += random.expovariate(phase.rate)
            if at >= phase.duration.total_seconds():
                return
            yield Arrival(timedelta(seconds=at), member, number)
            number += 1


class LatencyReport(TypedDict):
    """Percentiles in milliseconds."""

    count: int
    p50: float
    p99: float
    p999: float
    highest: float


class Latencies:
    """A histogram of latencies."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)

    def add(self, latency: timedelta) -> None:
        """Count one latency."""
        micros = int(latency / timedelta(microseconds=1))
        self._histogram.record_value(min(max(micros, _LOWEST_US), _HIGHEST_US))

    def report(self) -> LatencyReport:
        """Return the percentiles."""
        histogram = self._histogram

        def percentile(share: float) -> float:
            if not histogram.get_total_count():
                return 0.0
            micros: int = histogram.get_value_at_percentile(share)
            return round(micros / 1000, 2)

        return LatencyReport(
            count=histogram.get_total_count(),
            p50=percentile(50),
            p99=percentile(99),
            p999=percentile(99.9),
            highest=percentile(100),
        )


class PhaseReport(TypedDict):
    """The outcome of one phase.

    `spread` is (largest - smallest) / mean over the members' answers per request.
    """

    rate: float
    seconds: float
    asked: int
    answered: int
    in_time: int
    answers_per_second: float
    in_time_per_second: float
    latency_ms: LatencyReport
    mean_coverage: float
    whole_share: float
    refused: dict[str, int]
    refused_not_run: int
    lost: dict[str, int]
    members: dict[str, int]
    spread: float
    sub_requests: dict[str, float]
    sub_requests_over_least: float | None


class PhaseRecorder:
    """Counts the outcomes of one phase.

    The latency of a request runs from its intended send time, so that requests that
    wait behind a stall show the stall. A refusal has no latency; a request without any
    answer has the time until it was given up.

    Parameters
    ----------
    deadline
        An answer after this time does not count as in time.
    """

    def __init__(
        self, phase: Phase, members: Sequence[str], deadline: timedelta
    ) -> None:
        self._phase = phase
        self._deadline = deadline
        self._latencies = Latencies()
        self._asked = 0
        self._in_time = 0
        self._coverage = 0.0
        self._whole = 0
        self._shards = 0
        self._refused: Counter[str] = Counter()
        self._not_run = 0
        self._lost: Counter[str] = Counter()
        self._members: Counter[str] = Counter({member: 0 for member in members})
        self._asked_by: Counter[str] = Counter()
        self._sub_requests: dict[str, float] = {}

    def record_answer(self, member: str, latency: timedelta, coverage: Any) -> None:
        """Count an answer with its coverage as ``shards`` and ``included``."""
        self._ask(member)
        self._latencies.add(latency)
        self._in_time += latency <= self._deadline
        self._members[member] += 1
        self._shards = max(self._shards, coverage["shards"])
        self._coverage += len(coverage["included"]) / coverage["shards"]
        self._whole += len(coverage["included"]) == coverage["shards"]

    def record_refusal(self, member: str, code: str, not_run: bool) -> None:
        """Count a request that was refused with an error code."""
        self._ask(member)
        self._refused[code] += 1
        self._not_run += not_run

    def record_no_reply(self, member: str, reason: str, latency: timedelta) -> None:
        """Count a request that got no response."""
        self._ask(member)
        self._lost[reason] += 1
        self._latencies.add(latency)

    def _ask(self, member: str) -> None:
        self._asked += 1
        self._asked_by[member] += 1

    def count_sub_requests(self, by_kind: dict[str, float]) -> None:
        """Set the sub-requests that were sent during the phase."""
        self._sub_requests = by_kind

    def report(self) -> PhaseReport:
        """Return all figures of the phase."""
        answered = sum(self._members.values())
        seconds = self._phase.duration.total_seconds()
        least = self._shards * (self._asked - self._not_run)
        sent = sum(self._sub_requests.values())
        return PhaseReport(
            rate=self._phase.rate,
            seconds=seconds,
            asked=self._asked,
            answered=answered,
            in_time=self._in_time,
            answers_per_second=round(answered / seconds, 2),
            in_time_per_second=round(self._in_time / seconds, 2),
            latency_ms=self._latencies.report(),
            mean_coverage=round(self._coverage / answered, 5) if answered else 0.0,
            whole_share=round(self._whole / answered, 5) if answered else 0.0,
            refused=dict(self._refused),
            refused_not_run=self._not_run,
            lost=dict(self._lost),
            members=dict(self._members),
            spread=spread(
                [self._members[name] / asked for name, asked in self._asked_by.items()]
            ),
            sub_requests=self._sub_requests,
            sub_requests_over_least=round(sent / least, 4) if sent and least else None,
        )


def spread(shares: Sequence[float]) -> float:
    """Return (largest - smallest) / mean, or 0 without any."""
    total = sum(shares)
    if not total:
        return 0.0
    return round((max(shares) - min(shares)) * len(shares) / total, 4)


def table(reports: Sequence[PhaseReport]) -> str:
    """Return reports as a table with one line for each phase."""
    lines = [
        "    rate  asked answered in time  p50 ms  p99 ms p99.9 ms coverage  whole"
        " spread extra  refused and lost"
    ]
    for report in reports:
        latency = report["latency_ms"]
        over = report["sub_requests_over_least"]
        failed = {**report["refused"], **report["lost"]}
        lines.append(
            f"{report['rate']:8.1f} {report['asked']:6d} {report['answered']:8d}"
            f" {report['in_time']:7d} {latency['p50']:7.1f} {latency['p99']:7.1f}"
            f" {latency['p999']:8.1f} {report['mean_coverage']:8.4f}"
            f" {report['whole_share']:6.4f} {report['spread']:6.3f}"
            f" {'    -' if over is None else f'{over - 1:5.3f}'}  {failed or '-'}"
        )
    return "\n".join(lines)
