"""Steps for randomised runs and for the model that compares ways to choose."""

from behave import then, when
from behave.runner import Context
from search_model import Load, compare
from search_runs import run_seed

_LOAD = Load(count=800)


@then("the runs with seeds {first:d} to {last:d} find no problem")
def check_runs(context: Context, first: int, last: int) -> None:
    for seed in range(first, last + 1):
        counts = run_seed(seed)
        assert counts.queries and not counts.problems, (seed, counts)


@when('a model with one straggler runs "plain" and the default way')
def run_straggler(context: Context) -> None:
    context.plain = compare("plain", "straggler", 1, _LOAD)
    context.ours = compare("cost+hedges", "straggler", 1, _LOAD)


@then("p99 is at most a third with at most 5 percent extra sub-requests")
def check_straggler(context: Context) -> None:
    assert context.ours.p99 <= context.plain.p99 / 3, (context.plain, context.ours)
    assert context.ours.sub_requests <= 1.05, context.ours
    assert context.ours.coverage == 1.0, context.ours


@when('a model with "{case}" runs the default way')
def run_case(context: Context, case: str) -> None:
    context.calm = compare("cost+hedges", "calm", 1, _LOAD)
    context.case = compare("cost+hedges", case, 1, _LOAD)


@then("p99 is at most {times:g} times that of a calm run")
def check_case(context: Context, times: float) -> None:
    assert context.case.p99 <= times * context.calm.p99, (context.calm, context.case)
