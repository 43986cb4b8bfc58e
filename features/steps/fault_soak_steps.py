"""Steps for the fault soak and its checks."""

from behave import then, when
from behave.runner import Context
from platform_stand_in.fleet import FleetTimeout, PlatformFleet
from soak.promises import Answer, ConfigRead, Promises
from soak.replica_promises import (
    Delivery,
    Disturbance,
    ReplicaEvent,
    leaving_problems,
)
from soak.run import SoakRun, recovery_problems

_LOW, _HIGH = b"a" * 16, b"b" * 16
# The requests that two replicas ran, in order.
_ARRIVED = {"s1-0": [["q1"], ["q2"]], "s2-0": [["q1"]], "o-0": [["o1"], ["o2"]]}


@when("the fault soak runs with seed {seed:d} for {seconds:d} seconds")
def run_soak(context: Context, seed: int, seconds: int) -> None:
    report = SoakRun(seed, seconds, context.folder / "soak").run()
    context.problems = report.problems
    assert report.counts["query 200"] > 0, report.counts


@then("no promise is broken")
def check_kept(context: Context) -> None:
    assert not context.problems, context.problems


class _SilentFleet(PlatformFleet):
    """A fleet that never serves."""

    def wait_serving(self, shards: int, path: str = "/all/q") -> None:
        """Fail as if the time limit had passed."""
        raise FleetTimeout("a condition did not hold")


@when("a fleet does not serve within its time limit after the last fault")
def end_without_recovery(context: Context) -> None:
    context.fleet = _SilentFleet(context.folder / "soak")
    context.problems = recovery_problems(context.fleet)


@when("a caller sees an answer of a replica that left 4 s before")
def see_answer_after_leaving(context: Context) -> None:
    events = [
        ReplicaEvent("leaving", "q0", 1.0, 1),
        ReplicaEvent("arrived", "q4", 5.2, 1),
    ]
    _check_replica_events(context, events, Disturbance(0, 1.5, 2.0))


@when("a caller sees 3 answers of a replica that wants none")
def see_answers_of_refusing(context: Context) -> None:
    events = [ReplicaEvent("refused", "q0", 1.0, 1)]
    events += [ReplicaEvent("arrived", f"q{number}", 1.7, 1) for number in (1, 2, 3)]
    _check_replica_events(context, events, Disturbance(0, 1.1, 1.2))


@when("a caller sees {answer}")
def see_answer(context: Context, answer: str) -> None:
    promises = Promises(2)
    arrived = dict(_ARRIVED)
    # The same answer without the defect breaks no promise.
    promises.record_answer(_query_answer("s1-0.1, s2-0.1"))
    assert not promises.problems(arrived)
    match answer:
        case "a part that was sent for another request":
            promises.record_answer(_query_answer("s1-0.2, s2-0.1", request_id="q2"))
        case "two parts of one shard":
            promises.record_answer(_query_answer("s1-0.1, s1-0.1"))
        case "a part less than it states":
            promises.record_answer(_query_answer("s1-0.1"))
        case "its records in rising order":
            promises.record_answer(_query_answer("s1-0.1, s2-0.1", _LOW + _HIGH))
        case "a refusal of a request that ran":
            promises.record_answer(Answer("o1", "once", 503, {}, b""))
        case "an answer to a request that ran at 2 replicas":
            arrived["o-1"] = [["o1"]]
            headers = {"server-stamp": "o-0.1"}
            promises.record_answer(Answer("o1", "once", 200, headers, b""))
        case "no answer to a request that ran":
            # A planned stop excuses no lost request, a kill does.
            promises.record_answer(
                Answer("o1", "once", 0, {}, b"", Delivery(1, 2, 0, 3))
            )
            promises.record_answer(
                Answer("o2", "once", 0, {}, b"", Delivery(2, 2, 0, 3))
            )
            promises.disturbances.append(Disturbance(1, 1.0, 9.0, planned=True))
            promises.disturbances.append(Disturbance(2, 1.0, 9.0))
        case "a single answer that was sent for another":
            headers = {"server-stamp": "o-0.1"}
            promises.record_answer(Answer("o2", "once", 200, headers, b""))
        case _:
            promises.acknowledged.append(ConfigRead(10.0, 4))
            promises.reads.append(ConfigRead(13.5, 3))
    context.problems = promises.problems(arrived)


@then('the soak reports "{problem}"')
def check_reported(context: Context, problem: str) -> None:
    assert len(context.problems) == 1, context.problems
    assert problem in context.problems[0], context.problems


def _check_replica_events(
    context: Context, events: list[ReplicaEvent], excuse: Disturbance
) -> None:
    """Check events of a replica, also with a disturbance that excuses them."""
    promises = Promises(2)
    for number in range(5):
        delivery = Delivery(0, 1.0 + number, 1.1 + number)
        headers = {"part-stamps": "s1-0.1, s2-0.1"}
        promises.record_answer(
            Answer(f"q{number}", "query", 200, headers, b"", delivery)
        )
    context.problems = promises.replica_problems({"s1-0": events}, 1.5)
    # A response that is lost on the link tells the gateway nothing of its replica.
    assert not leaving_problems(
        "s1-0",
        events,
        {f"q{number}": Delivery(0, 1.0 + number, 1.1 + number) for number in range(5)},
        (),
    )
    promises.disturbances.append(excuse)
    assert not promises.replica_problems({"s1-0": events}, 1.5)


def _query_answer(
    stamps: str, body: bytes = _HIGH + _LOW, request_id: str = "q1"
) -> Answer:
    headers = {"part-stamps": stamps, "missing-parts": "0"}
    return Answer(request_id, "query", 200, headers, body)
