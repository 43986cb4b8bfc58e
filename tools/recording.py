"""Planned requests of a load run and the recording of their latencies and outcomes."""

from collections import Counter
from collections.abc import Iterator, Sequence
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 3


class Arrival(NamedTuple):
    """A request of an open-loop plan; `offset` is its time after the phase's start."""

    offset: timedelta
    member: str
    number: int


class Phase(NamedTuple):
    """A period of constant load; `rate` in requests a second."""

    rate: float
    duration: timedelta


def arrivals(phase: Phase, members: Sequence[str], seed: int) -> Iterator[Arrival]:
    """Yield the requests of a phase as a Poisson process.

    The members send in turn, in an order that is shuffled each time. All send the same
    number of requests, give or take one, so that a difference between the numbers of
    their answers comes from the system.
    """
    random = Random(seed)
    seconds = 0.0
    number = 0
    while True:
        order = random.sample(list(members), len(members))
        for member in order:
            seconds += random.expovariate(phase.rate)
            if seconds >= phase.duration.total_seconds():
                return
            yield Arrival(timedelta(seconds=seconds), member, number)
            number += 1


class LatencyReport(TypedDict):
    """The number of latencies and their percentiles in milliseconds."""

    count: int
    p50: float
    p99: float
    p999: float
    highest: float


class Latencies:
    """A histogram of latencies."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)

    def add(self, latency: timedelta) -> None:
        """Add a latency to the histogram."""
        micros = int(latency / timedelta(microseconds=1))
        self._histogram.record_value(min(max(micros, _LOWEST_US), _HIGHEST_US))

    def report(self) -> LatencyReport:
        """Return the number of latencies and their percentiles."""
        histogram = self._histogram

        def percentile(percent: float) -> float:
            if not histogram.get_total_count():
                return 0.0
            micros: int = histogram.get_value_at_percentile(percent)
            return round(micros / 1000, 2)

        return LatencyReport(
            count=histogram.get_total_count(),
            p50=percentile(50),
            p99=percentile(99),
            p999=percentile(99.9),
            highest=percentile(100),
        )


class PhaseReport(TypedDict):
    """The figures of one phase.

    Parameters
    ----------
    whole_share
        Share of the answers that cover all shards.
    lost
        Number of requests without a valid response by reason.
    spread
        (largest - smallest) / mean of the members' answers per request.
    sub_requests
        Number of sub-requests by kind.
    sub_requests_over_least
        Sub-requests divided by the least number of them that the requests need, which
        is one for each shard and each request that was not refused as not run.
        None if no sub-requests were counted or none was needed.
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
    """A recorder of the outcomes of one phase.

    The latency of a request is counted from its planned send time, so that it includes
    the time for which the request waits behind a stall. No latency is recorded for a
    refusal; for a request without a valid response it is the time until the caller
    gave up.

    Parameters
    ----------
    latency_goal
        Latency up to which an answer counts as in time.
    """

    def __init__(
        self, phase: Phase, members: Sequence[str], latency_goal: timedelta
    ) -> None:
        self._phase = phase
        self._latency_goal = latency_goal
        self._latencies = Latencies()
        self._requests = 0
        self._in_time = 0
        self._coverage_sum = 0.0
        self._complete_answers = 0
        self._shards = 0
        self._refused: Counter[str] = Counter()
        self._refused_not_run = 0
        self._missing_replies: Counter[str] = Counter()
        self._answers_by_member: Counter[str] = Counter(
            {member: 0 for member in members}
        )
        self._requests_by_member: Counter[str] = Counter()
        self._sub_requests: dict[str, float] = {}

    def record_answer(self, member: str, latency: timedelta, coverage: Any) -> None:
        """Record an answer; its coverage has the keys ``shards`` and ``included``."""
        self._count_request(member)
        self._latencies.add(latency)
        self._in_time += latency <= self._latency_goal
        self._answers_by_member[member] += 1
        self._shards = max(self._shards, coverage["shards"])
        self._coverage_sum += len(coverage["included"]) / coverage["shards"]
        self._complete_answers += len(coverage["included"]) == coverage["shards"]

    def record_refusal(self, member: str, code: str, not_run: bool) -> None:
        """Record a request that was refused with an error code."""
        self._count_request(member)
        self._refused[code] += 1
        self._refused_not_run += not_run

    def record_no_reply(self, member: str, reason: str, latency: timedelta) -> None:
        """Record a request that got no valid response."""
        self._count_request(member)
        self._missing_replies[reason] += 1
        self._latencies.add(latency)

    def _count_request(self, member: str) -> None:
        self._requests += 1
        self._requests_by_member[member] += 1

    def count_sub_requests(self, by_kind: dict[str, float]) -> None:
        """Set the numbers of sub-requests, by kind, that were sent during the phase."""
        self._sub_requests = by_kind

    def report(self) -> PhaseReport:
        """Return the figures of the phase."""
        answered = sum(self._answers_by_member.values())
        seconds = self._phase.duration.total_seconds()
        least_sub_requests = self._shards * (self._requests - self._refused_not_run)
        sent = sum(self._sub_requests.values())
        return PhaseReport(
            rate=self._phase.rate,
            seconds=seconds,
            asked=self._requests,
            answered=answered,
            in_time=self._in_time,
            answers_per_second=round(answered / seconds, 2),
            in_time_per_second=round(self._in_time / seconds, 2),
            latency_ms=self._latencies.report(),
            mean_coverage=round(self._coverage_sum / answered, 5) if answered else 0.0,
            whole_share=(
                round(self._complete_answers / answered, 5) if answered else 0.0
            ),
            refused=dict(self._refused),
            refused_not_run=self._refused_not_run,
            lost=dict(self._missing_replies),
            members=dict(self._answers_by_member),
            spread=spread(
                [
                    self._answers_by_member[member] / requests
                    for member, requests in self._requests_by_member.items()
                ]
            ),
            sub_requests=self._sub_requests,
            sub_requests_over_least=(
                round(sent / least_sub_requests, 4)
                if sent and least_sub_requests
                else None
            ),
        )


def spread(shares: Sequence[float]) -> float:
    """Return (largest - smallest) / mean of shares, or 0 if they add up to 0."""
    total = sum(shares)
    if not total:
        return 0.0
    return round((max(shares) - min(shares)) * len(shares) / total, 4)


def table(reports: Sequence[PhaseReport]) -> str:
    """Return a table in text with a row for each phase."""
    lines = [
        "    rate  asked answered in time  p50 ms  p99 ms p99.9 ms coverage  whole"
        " spread extra  refused and lost"
    ]
    for report in reports:
        latency = report["latency_ms"]
        ratio = report["sub_requests_over_least"]
        failed = {**report["refused"], **report["lost"]}
        lines.append(
            f"{report['rate']:8.1f} {report['asked']:6d} {report['answered']:8d}"
            f" {report['in_time']:7d} {latency['p50']:7.1f} {latency['p99']:7.1f}"
            f" {latency['p999']:8.1f} {report['mean_coverage']:8.4f}"
            f" {report['whole_share']:6.4f} {report['spread']:6.3f}"
            f" {'    -' if ratio is None else f'{ratio - 1:5.3f}'}  {failed or '-'}"
        )
    return "\n".join(lines)
