"""Steps for randomised runs and for the model that compares ways to choose."""

from behave import then
from behave.runner import Context
from search_model import Workload, run_case
from search_runs import run_seed

_LOAD = Workload(count=500)


@then("the runs with seeds {first:d} to {last:d} find no problem")
def check_runs(context: Context, first: int, last: int) -> None:
    for seed in range(first, last + 1):
        counts = run_seed(seed)
        assert counts.queries and not counts.problems, (seed, counts)


@then("with one straggler p99 is a third of plain fan-out with {extra:d} percent extra")
def check_straggler(context: Context, extra: int) -> None:
    plain = run_case("plain", "straggler", 1, _LOAD)
    ours = run_case("least+hedges", "straggler", 1, _LOAD)
    assert ours.p99 <= plain.p99 / 3, (plain, ours)
    assert ours.sub_requests <= 1 + extra / 100 and ours.coverage == 1.0, ours


@then("wrong and frozen reports raise p99 of the cost policy at most {times:g} times")
def check_reports(context: Context, times: float) -> None:
    calm = run_case("cost+hedges", "calm", 1, _LOAD)
    for case in ("wrong reports", "frozen reports"):
        found = run_case("cost+hedges", case, 1, _LOAD)
        assert found.p99 <= times * calm.p99, (case, calm, found)
