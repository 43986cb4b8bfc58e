"""Steps for withdrawn keys, on a simulated replicated log in virtual time."""

from behave import then, when
from behave.runner import Context
from fakes.revocation_run import Situation, run_revocations

# The phases of the heartbeats at which a situation begins differ by the seed.
_SEEDS = range(3)
# Seconds in which a key must be accepted without news: 0.6 of the limit of 5 s.
_MIN_SERVED = 3.0


@when("{situation} for 8 s and a key is withdrawn")
def run_situation(context: Context, situation: str) -> None:
    context.situations = [Situation(situation, seed) for seed in _SEEDS]
    for one in context.situations:
        one.run()


@then(
    "a request with that key is {first} first and {last} last, never accepted too late"
)
def check_answers(context: Context, first: str, last: str) -> None:
    for situation in context.situations:
        assert not situation.cluster.find_problems(), situation.cluster.find_problems()
        assert situation.watch.newest_acknowledged_at is not None
        answers = situation.answers
        match first.split(" ", 2):
            case code, "for", _:
                early = {answer for at, answer in answers if at <= _MIN_SERVED}
                assert early == {code}, answers
            case code, "after", _:
                later = {answer for at, answer in answers if 1 <= at <= _MIN_SERVED}
                assert later == {code}, answers
            case code, *_:
                assert answers[0][1] == code, answers[0]
        assert answers[-1][1] == last, answers[-1]


@then("the instance refuses that key with key_unknown and accepts the other afterwards")
def check_end(context: Context) -> None:
    for situation in context.situations:
        assert situation.final_answers == ("key_unknown", "accepted")


@when("operators withdraw keys in runs {first:d} to {last:d} with the log {way}")
def run_random(context: Context, first: int, last: int, way: str) -> None:
    passes_on = way == "passed on by followers"
    context.reports = [
        run_revocations(seed, passes_on) for seed in range(first, last + 1)
    ]


@then(
    "no run finds a problem, and keys were accepted, wrong, and refused for old state"
)
def check_runs(context: Context) -> None:
    for report in context.reports:
        assert not report.problems, report
        for answer in ("accepted", "key_unknown", "state_too_old"):
            assert report.counts.get(f"key {answer}", 0) > 0, report
