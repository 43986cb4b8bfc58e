"""Steps for admission control, in virtual time and without a network."""

from collections import Counter, defaultdict

from behave import given, then, when
from behave.runner import Context
from fakes.placement_run import Kind, Load, Request, Run

from lovagetray._gateway_settings import Placement
from lovagetray.queries.admission import Admit, Claim, Refuse, WorkspaceUse, decide
from lovagetray.queries.load_balancing import Room

_KINDS = (
    Kind("first", 0.3, 0.0138, target=0.1, time_limit=1.0, priority=0),
    Kind("second", 0.4, 0.042, target=0.3, time_limit=2.0, priority=1),
    Kind("third", 0.2, 0.0138, target=0.1, time_limit=1.0, priority=2),
    Kind("third and heavy", 0.1, 0.22, target=0.8, time_limit=4.0, priority=2),
)
_SECONDS = 30.0
# The replicas can serve 271 requests per second of these kinds.
_HALF, _NEARLY_ALL = 130.0, 240.0
_LOADS = {
    "a burst of 1.7 of all requests": {"rate": _NEARLY_ALL, "burst": 1.7},
    "a burst of 2.4 of all requests": {"rate": _NEARLY_ALL, "burst": 2.4},
    "a burst of 2.4 of all requests, of which the largest workspace has priority 0": {
        "rate": _NEARLY_ALL,
        "burst": 2.4,
        "priorities": {0: 0},
    },
    # It usually sends 28 of 100 requests.
    "a workspace at 7.5 times its usual rate": {
        "rate": _NEARLY_ALL * 0.6 * (0.72 + 0.28 * 7.5),
        "hot": (0, 7.5),
    },
    "half of the rate that replicas can serve": {},
    "half of the rate, estimates 10 times too high": {"distort": lambda random: 10.0},
    "half of the rate, estimates 10 times too low": {"distort": lambda random: 0.1},
    "half of the rate, estimates 10 times too high or too low": {
        "distort": lambda random: random.choice((0.1, 10.0))
    },
    "half of the rate, no load reports": {"reports": False},
}
# Callers that are refused or return within this time count as simultaneous.
_WINDOW = 0.1


@given(
    "a request of priority {priority:d} with {left:d} ms left, a target of {target:d} "
    "ms and a cost of {cost:d} ms"
)
def set_claim(
    context: Context, priority: int, left: int, target: int, cost: int
) -> None:
    context.claim = Claim(
        priority, left / 1000, target / 1000, cost / 1000, cost / 1000
    )
    context.use = WorkspaceUse()


@given(
    "a mean cost of {cost:d} ms, and others of priority 0 that can wait for {wait:d} ms"
)
def set_others(context: Context, cost: int, wait: int) -> None:
    context.claim = context.claim._replace(mean_cost=cost / 1000)
    if context.claim.priority > 0:
        context.claim = context.claim._replace(urgent_horizon=wait / 1000)


@given(
    "a workspace that is served {served:g} times as often as all and uses {use:g} of "
    "the replicas"
)
def set_use(context: Context, served: float, use: float) -> None:
    context.use = WorkspaceUse(served, use)


@when("the best replica has a wait of {wait:d} ms")
def decide_claim(context: Context, wait: int) -> None:
    room = Room(wait / 1000, context.claim.cost)
    context.decision = decide(context.claim, room, context.use)


@then("the request is admitted")
def check_admitted(context: Context) -> None:
    assert context.decision == Admit(), context.decision


@then("the request is refused for {code}")
def check_refused(context: Context, code: str) -> None:
    match context.decision:
        case Refuse(code=actual):
            assert actual == code, actual
        case decision:
            raise AssertionError(decision)


@given("a burst of {text}")
def set_burst(context: Context, text: str) -> None:
    _set_load(context, f"a burst of {text}")


@given("half of the rate{text}")
def set_half(context: Context, text: str) -> None:
    _set_load(context, f"half of the rate{text}")


@given("a workspace at {text}")
def set_hot(context: Context, text: str) -> None:
    _set_load(context, f"a workspace at {text}")


@when("the load runs with the choice by latency and with admission control")
def run_both(context: Context) -> None:
    context.present = Run(context.load, Placement.LATENCY).run()
    context.admitting = Run(context.load, Placement.EXPECTED_COST, True).run()


@when("the load runs with admission control and the choice by latency")
def run_default(context: Context) -> None:
    context.admitting = Run(context.load, Placement.LATENCY, True).run()


@then(
    "more requests of priority 0 are answered in time than with the choice by latency"
)
def check_first_priority(context: Context) -> None:
    present, admitting = (
        _answered(run, priority=0, in_time=True)
        for run in (context.present, context.admitting)
    )
    assert admitting > present, (present, admitting)


@then("priority 0 is answered more often than 1, and 1 more often than 2")
def check_order(context: Context) -> None:
    shares = [_answered(context.admitting, priority=number) for number in range(3)]
    assert shares[0] > shares[1] > shares[2], shares


@then("no workspace is served less than a quarter as often as all")
def check_fairness(context: Context) -> None:
    asked: dict[int, list[Request]] = defaultdict(list)
    for request in context.admitting.done:
        asked[request.workspace].append(request)
    all_served = _share_answered(context.admitting.done)
    for workspace, requests in asked.items():
        # With 30 requests and a share of a quarter, chance leaves none of them
        # answered in fewer than 1 of 1000 runs.
        if len(requests) >= 30:
            served = _share_answered(requests)
            assert served >= all_served / 4, (workspace, served, all_served)


@then("refused requests were not sent to a replica")
def check_not_sent(context: Context) -> None:
    refused = [
        request for request in context.admitting.done if request.refused_at is not None
    ]
    assert refused
    assert not any(request.tried for request in refused)


@then("the callers return over time")
def check_return(context: Context) -> None:
    """Check that callers who are refused within 0.1 s do not return within 0.1 s."""
    returns: dict[int, list[float]] = defaultdict(list)
    for at, delay in context.admitting.refusals:
        returns[int(at / _WINDOW)].append(at + delay)
    crowded = [times for times in returns.values() if len(times) >= 20]
    assert crowded
    for times in crowded:
        windows = Counter(int(time / _WINDOW) for time in times)
        assert max(windows.values()) <= len(times) / 2, windows


@then("the queues of replicas are shorter than with the choice by latency")
def check_queues(context: Context) -> None:
    present, admitting = (
        max(replica.peak for replica in run.replicas.values())
        for run in (context.present, context.admitting)
    )
    assert admitting < present, (present, admitting)


@then("at most 1 of 1000 requests is refused")
def check_few_refused(context: Context) -> None:
    refusals = len(context.admitting.refusals)
    assert refusals * 1000 <= len(context.admitting.done), refusals


@then("as many requests are answered in time, but for 1 of 200")
def check_in_time(context: Context) -> None:
    present, admitting = (
        _answered(run, in_time=True) for run in (context.present, context.admitting)
    )
    assert admitting >= present - 1 / 200, (present, admitting)


@then("the largest workspace is answered more often than the others")
def check_largest(context: Context) -> None:
    largest = [r for r in _in_burst(context.admitting) if r.workspace == 0]
    others = [r for r in _in_burst(context.admitting) if r.workspace != 0]
    shares = _share_answered(largest), _share_answered(others)
    assert shares[0] > shares[1], shares


@then("no request is refused")
def check_none_refused(context: Context) -> None:
    assert not context.admitting.refusals


def _set_load(context: Context, name: str) -> None:
    base = {"rate": _HALF, "shards": 1, "seconds": _SECONDS}
    context.load = Load(_KINDS, **{**base, **_LOADS[name]})


def _in_burst(run: Run) -> list[Request]:
    third = _SECONDS / 3
    return [r for r in run.done if third <= r.at - 1000 < 2 * third]


def _answered(run: Run, priority: int | None = None, in_time: bool = False) -> float:
    requests = [
        request
        for request in _in_burst(run)
        if priority is None or request.kind.priority == priority
    ]
    return _share_answered(requests, in_time)


def _share_answered(requests: list[Request], in_time: bool = False) -> float:
    answered = [
        request
        for request in requests
        if request.latency is not None
        and (not in_time or request.latency <= request.kind.target)
    ]
    return len(answered) / len(requests)
