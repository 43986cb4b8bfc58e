"""Steps for randomised runs and for the model that compares load balancing."""

from behave import then
from behave.runner import Context
from search_model import Workload, run_case
from search_runs import run_search_seed

_WORKLOAD = Workload(count=500)


@then("the runs with seeds {first:d} to {last:d} find no problem")
def check_runs(context: Context, first: int, last: int) -> None:
    for seed in range(first, last + 1):
        report = run_search_seed(seed)
        assert report.queries and not report.problems, (seed, report)


@then(
    "with one straggler p99 is at most a third of plain fan-out with "
    "{percent:d} percent more requests"
)
def check_straggler(context: Context, percent: int) -> None:
    plain = run_case("plain", "straggler", 1, _WORKLOAD)
    hedged = run_case("least+hedges", "straggler", 1, _WORKLOAD)
    assert hedged.p99 <= plain.p99 / 3, (plain, hedged)
    assert (
        hedged.sub_request_ratio <= 1 + percent / 100 and hedged.coverage == 1.0
    ), hedged


@then(
    "wrong and frozen load reports raise p99 of the cost policy "
    "at most {factor:g} times"
)
def check_load_reports(context: Context, factor: float) -> None:
    calm = run_case("cost+hedges", "calm", 1, _WORKLOAD)
    for case in ("wrong reports", "frozen reports"):
        outcome = run_case("cost+hedges", case, 1, _WORKLOAD)
        assert outcome.p99 <= factor * calm.p99, (case, calm, outcome)
