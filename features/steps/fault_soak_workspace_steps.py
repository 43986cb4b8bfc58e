"""Steps for the checks of the fault soak on workspaces, evacuations and cold replicas.

Each case is checked together with the nearest one that breaks no promise.
"""

from behave import when
from behave.runner import Context
from soak.promises import Answer
from soak.replica_promises import Delivery, Disturbance
from soak.workspace_promises import (
    Arrival,
    Bounds,
    Document,
    Quota,
    Span,
    cold_problems,
    evacuation_problems,
    identity_problems,
    key_problems,
    quota_problems,
    untrue_refusals,
)
from soak.workspace_run import WorkspaceSoakRun

_BOUNDS = Bounds()
# The limits of a workspace in a window of 5 s are 86 and then 58 requests.
_FIRST = Document(1, 0.0, 0.1, {"k": "hot", "gone": "a"}, {"hot": Quota(10, 10)})
# Moves a key, withdraws the other one and lowers the quota.
_SECOND = Document(2, 19.9, 20.0, {"k": "moved"}, {"hot": Quota(5, 10)})
# Was not acknowledged; brings the key back.
_THIRD = Document(3, 30.0, None, {"gone": "a"}, {"hot": Quota(10, 10)})


@when("the fault soak with workspaces runs with seed {seed:d} for {seconds:d} seconds")
def run_soak(context: Context, seed: int, seconds: int) -> None:
    report = WorkspaceSoakRun(seed, seconds, context.folder / "soak").run()
    context.problems = report.problems
    assert report.counts["rotating 200"] > 0, report.counts


@when("replicas get a request with its key")
def get_key(context: Context) -> None:
    context.problems = _identity("k", Arrival("o-0", "q", 1, True, "hot", "Token k"))


@when("replicas get a request with the workspace that a caller forged")
def get_forged(context: Context) -> None:
    assert not _identity(None, Arrival("o-0", "q", 1))
    context.problems = _identity(None, Arrival("o-0", "q", 1, True, "hot"))


@when("replicas get a request without the workspace of its key")
def get_unnamed(context: Context) -> None:
    assert not _identity("k", Arrival("o-0", "q", 1, True, "hot"))
    context.problems = _identity("k", Arrival("o-0", "q", 1))


@when("replicas get a request with the former workspace of a moved key")
def get_former(context: Context) -> None:
    assert not _identity("k", Arrival("o-0", "q", 23.9, True, "hot"))
    context.problems = _identity("k", Arrival("o-0", "q", 24.1, True, "hot"))


@when("replicas get a request with a key that no document held")
def get_unknown(context: Context) -> None:
    assert not _keys("k", 1.0)
    context.problems = _keys("x", 1.0)


@when("replicas get a request with a key withdrawn 3.1 s before")
def get_withdrawn(context: Context) -> None:
    assert not _keys("gone", 22.9)
    # A document that was sent may be in force, acknowledged or not.
    assert not _keys("gone", 30.1)
    context.problems = _keys("gone", 23.1)


@when("replicas get 87 requests of a workspace in 5 s")
def get_too_many(context: Context) -> None:
    assert not _quota(_spread(86, 1.0) + _spread(86, 6.1))
    # Requests that replicas refused did not run; a gathered one counts once.
    refused = [arrival._replace(ran=False) for arrival in _spread(9, 3.0)]
    assert not _quota(_spread(86, 1.0) + refused + _spread(86, 1.0))
    context.problems = _quota(_spread(87, 1.0))


@when("replicas get 59 requests of a workspace after its limit is lower")
def get_above_lowered(context: Context) -> None:
    assert not _quota(_spread(58, 20.1))
    assert not _quota(_spread(59, 19.9)) and not _quota(_spread(59, 30.1))
    context.problems = _quota(_spread(59, 20.1))


@when("replicas get a request 3.1 s after an evacuation")
def get_evacuated(context: Context) -> None:
    kept = Arrival("o-0", "a", 12.9), Arrival("o-0", "b", 20.1), Arrival("o-1", "c", 14)
    assert not _evacuated(*kept)
    # The gateway is out of touch with the others for 5 s after a suspension.
    answer = Answer("d", "query", 200, {}, b"", Delivery(1, 13.0, 13.2))
    late = Arrival("o-0", "d", 13.1)
    assert not _evacuated(late, answer=answer, disturbance=Disturbance(1, 8, 8.2))
    assert _evacuated(late, answer=answer, disturbance=Disturbance(1, 7, 8))
    assert _evacuated(late, answer=answer, disturbance=Disturbance(2, 8, 13))
    context.problems = _evacuated(*kept, Arrival("o-0", "d", 13.1))


@when("replicas get 13 requests of a cold service in 1 s")
def get_cold(context: Context) -> None:
    assert not _cold(12, 10.1) and not _cold(13, 8.9) and not _cold(13, 20.1)
    context.problems = _cold(13, 10.1)


@when("replicas get a request that was refused with 429")
def get_refused(context: Context) -> None:
    context.problems = _refused("once", 429)


@when("replicas get a query that was refused with 503")
def get_refused_query(context: Context) -> None:
    context.problems = _refused("query", 503)


def _identity(key: str | None, arrival: Arrival) -> list[str]:
    return identity_problems([arrival], {"q": key}, [_FIRST, _SECOND], _BOUNDS)


def _keys(key: str, sent_at: float) -> list[str]:
    answer = Answer("q", "once", 200, {}, b"", Delivery(0, sent_at, sent_at))
    arrivals = [Arrival("o-0", "q", sent_at + 0.01)]
    documents = [_FIRST, _SECOND, _THIRD]
    return key_problems([answer], arrivals, {"q": key}, documents, (), _BOUNDS)


def _spread(count: int, start: float) -> list[Arrival]:
    """Return requests of one workspace, spread over just less than a window."""
    return [
        Arrival("o-0", f"{start}-{n}", start + 4.9 * n / count, True, "hot")
        for n in range(count)
    ]


def _quota(arrivals: list[Arrival]) -> list[str]:
    return quota_problems(arrivals, [_FIRST, _SECOND, _THIRD], _BOUNDS)


def _evacuated(
    *arrivals: Arrival,
    answer: Answer | None = None,
    disturbance: Disturbance | None = None,
) -> list[str]:
    zones = {"o-0": "z", "o-1": "y"}
    return evacuation_problems(
        arrivals,
        zones,
        [Span("z", 10, 20)],
        () if answer is None else (answer,),
        () if disturbance is None else (disturbance,),
        _BOUNDS,
    )


def _cold(count: int, start: float) -> list[str]:
    arrivals = [
        Arrival("o-0", str(n), start + 0.9 * n / count, False) for n in range(count)
    ]
    return cold_problems(arrivals, [Span("o-0", 10, 20)], 5.0, _BOUNDS)


def _refused(kind: str, status: int) -> list[str]:
    answers = [Answer("a", kind, status, {}, b""), Answer("b", kind, 200, {}, b"")]
    # Refused by the replica, so that the first request has not run.
    arrivals = [Arrival("o-0", "a", 1, False), Arrival("o-0", "b", 1)]
    assert not untrue_refusals(answers, arrivals)
    return untrue_refusals(answers, [*arrivals, Arrival("o-1", "a", 2)])
