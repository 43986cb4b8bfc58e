"""Steps for the arithmetic of the measuring tools."""

from datetime import timedelta
from pathlib import Path
from shutil import copy
from subprocess import run
from sys import executable
from typing import Any

from behave import given, then, when
from behave.runner import Context
from expression import Ok, Result
from fakes.virtual_time import run_in_virtual_time
from load import LoadGenerator, LoadPlan
from msgspec.json import encode
from recording import Phase, PhaseRecorder
from slope import fit_line, read_slopes, store_slopes

from lovagetray import SystemClock
from lovagetray.wire import HttpResponse

_REPOSITORY = Path(__file__).parent.parent.parent
_ANSWER = {"coverage": {"shards": 10, "included": list(range(10))}}
_SECOND = timedelta(seconds=1)
_STALLED_CALL = 300


class _StallingCaller:
    """A caller whose calls take 1 ms, except for one that stalls."""

    def __init__(self, stall: timedelta) -> None:
        self._stall = stall
        self._calls = 0
        self._clock = SystemClock()

    async def call(self, *arguments: Any) -> Result[HttpResponse, Any]:
        self._calls += 1
        stalled = self._calls == _STALLED_CALL
        await self._clock.sleep(self._stall if stalled else timedelta(milliseconds=1))
        return Ok(HttpResponse(200, {}, encode(_ANSWER)))

    async def close(self) -> None:
        pass


@given("{rate:d} requests a second for {seconds:d} s from one caller")
def plan_load(context: Context, rate: int, seconds: int) -> None:
    context.plan = LoadPlan(
        service="kallioniemi/invoices",
        terms="wedding",
        entries=(),
        data_centres=("helsinki-1",),
        members=("member-1",),
        callers=1,
        timeout=_SECOND,
        latency_goal=_SECOND,
        phases=(Phase(rate, seconds * _SECOND),),
        warm_up=timedelta(0),
        seed=1,
    )


@when("one request stalls for {seconds:d} s and every other takes 1 ms")
def run_load(context: Context, seconds: int) -> None:
    def make_caller(name: str, data_centre: str) -> Any:
        return _StallingCaller(seconds * _SECOND)

    generator = LoadGenerator(context.plan, SystemClock(), make_caller)
    (context.report,) = run_in_virtual_time(generator.run)


@then("p99 is at least {limit:d} ms")
def check_tail(context: Context, limit: int) -> None:
    assert context.report["latency_ms"]["p99"] >= limit, context.report


@then("p50 is below {limit:d} ms")
def check_median(context: Context, limit: int) -> None:
    assert context.report["latency_ms"]["p50"] < limit, context.report


@then("every planned request is recorded")
def check_count(context: Context) -> None:
    report = context.report
    planned = report["rate"] * report["seconds"]
    # The number of arrivals follows a Poisson distribution: allow five standard
    # deviations around the planned number.
    assert abs(report["asked"] - planned) < 5 * planned**0.5, report
    assert report["answered"] == report["asked"], report


@given("{answers:d} answers over 10 shards and {refusals:d} refusals as not run")
def record_answers(context: Context, answers: int, refusals: int) -> None:
    context.recorder = PhaseRecorder(Phase(100, _SECOND), ["member-1"], _SECOND)
    for _ in range(answers):
        context.recorder.record_answer("member-1", timedelta(0), _ANSWER["coverage"])
    for _ in range(refusals):
        context.recorder.record_refusal("member-1", "overloaded", True)


@when("{count:d} sub-requests were counted")
def count_sub_requests(context: Context, count: int) -> None:
    context.recorder.count_sub_requests({"first": 1000.0, "hedge": count - 1000.0})


@then("{factor:g} times the least possible number of sub-requests is reported")
def check_extra(context: Context, factor: float) -> None:
    assert context.recorder.report()["sub_requests_over_least"] == factor


@given("two members that each asked {count:d} times")
def two_members(context: Context, count: int) -> None:
    context.asked = count
    context.recorder = PhaseRecorder(Phase(100, _SECOND), ["one", "other"], _SECOND)


@when("one got {more:d} answers and the other {fewer:d}")
def answer_members(context: Context, more: int, fewer: int) -> None:
    for member, answers in (("one", more), ("other", fewer)):
        for number in range(context.asked):
            if number < answers:
                context.recorder.record_answer(
                    member, timedelta(0), _ANSWER["coverage"]
                )
            else:
                context.recorder.record_refusal(member, "overloaded", True)


@then("the spread is {expected:g}")
def check_spread(context: Context, expected: float) -> None:
    assert context.recorder.report()["spread"] == expected


@then("points on a line give slope 3, intercept 2 and residual 0")
def check_line(context: Context) -> None:
    fit = fit_line([(x, 3.0 * x + 2.0) for x in (1, 10, 100)])
    for value, expected in zip(fit, (3, 2, 0)):
        assert abs(value - expected) < 1e-9, fit


@then("points on a square give a residual above 0.1")
def check_square(context: Context) -> None:
    assert fit_line([(x, float(x * x)) for x in (1, 10, 100)])[2] > 0.1


@given("a copy of the capacity page and its slopes")
def copy_page(context: Context) -> None:
    for name in ("CAPACITY.md", "capacity-slopes.json"):
        copy(_REPOSITORY / "docs" / name, context.folder)
    context.page = context.folder / "CAPACITY.md"
    context.slopes = context.folder / "capacity-slopes.json"


@when("a figure in a table of the page is edited")
def edit_page(context: Context) -> None:
    text = context.page.read_text()
    edited = text.replace("| 1500 nodes |", "| 150 nodes |")
    assert edited != text
    context.page.write_text(edited)


@when("a slope is doubled")
def double_slope(context: Context) -> None:
    slope = read_slopes(context.slopes)["bytes_heartbeat"]
    slope["slope"] *= 2
    store_slopes(context.slopes, [slope])


def _run_page_check(context: Context) -> int:
    command = [executable, str(_REPOSITORY / "tools" / "capacity.py"), "--check"]
    command += ["--page", str(context.page), "--slopes", str(context.slopes)]
    return run(command, capture_output=True).returncode


@then("the page check passes")
def check_passes(context: Context) -> None:
    assert _run_page_check(context) == 0


@then("the page check fails")
def check_fails(context: Context) -> None:
    assert _run_page_check(context) == 1
