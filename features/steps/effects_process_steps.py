"""Steps that send non-idempotent requests to instance processes."""

from concurrent.futures import ThreadPoolExecutor
from datetime import datetime, timezone
from time import sleep
from typing import Any
from urllib.error import HTTPError, URLError

from behave import then, when
from behave.runner import Context
from msgspec.json import decode

_SERVICE = "kallioniemi/invoices"


@when("a hold is sent through instance 1 and then through 2 and 3")
def send_through_all(context: Context) -> None:
    context.hold = _hold()
    context.answers = [_send(context, number) for number in range(3)]


@then("all answers are the same and the hold ran once")
def check_same(context: Context) -> None:
    bodies = {answer["body"] for answer in context.answers}
    assert {answer["outcome"] for answer in context.answers} == {"done"}
    assert len(bodies) == 1, context.answers
    assert [answer["repeated"] for answer in context.answers] == [False, True, True]
    assert _executions(context) == 1


@when("a slow hold is sent through instance 1, which is killed while it runs")
def kill_during_hold(context: Context) -> None:
    for target in context.fleet.targets:
        context.fleet.post(target.port, "/control", {"delay": 1000})
    context.hold = _hold()
    with ThreadPoolExecutor(1) as threads:
        threads.submit(_send, context, 0)
        context.fleet.wait_until(lambda: _executions(context) == 1, 10)
        context.fleet.kill(context.fleet.entries[0])


@when("the hold is sent again through instance 2")
def resend(context: Context) -> None:
    context.answers = []

    def answered() -> bool:
        answer = _send(context, 1)
        context.answers.append(answer)
        return "outcome" in answer

    context.fleet.wait_until(answered)


@then("the answer does not claim an outcome that differs from the run")
def check_outcome(context: Context) -> None:
    answer = context.answers[-1]
    assert answer["repeated"], answer
    assert answer["outcome"] in ("done", "unknown"), answer


@then("the hold ran at most once")
def check_at_most_once(context: Context) -> None:
    sleep(1)
    assert _executions(context) <= 1


@when("two of three voters are killed")
def kill_majority(context: Context) -> None:
    for entry in context.fleet.entries[:2]:
        context.fleet.kill(entry)


@when("a hold is sent through the remaining voter")
def send_without_majority(context: Context) -> None:
    context.hold = _hold()
    context.answers = [_send(context, 2)]


@then("the hold is refused as not run and did not run")
def check_not_run(context: Context) -> None:
    error = context.answers[0]["error"]
    assert error["not_run"], error
    assert _executions(context) == 0


def _hold() -> dict[str, Any]:
    return {
        "service": _SERVICE,
        "key": "hold-1",
        "issued_at": datetime.now(timezone.utc).isoformat(),
        "body": "table 4",
        "member": "athens",
        "deadline_ms": 3000,
    }


def _send(context: Context, number: int) -> dict[str, Any]:
    port = context.fleet.entries[number].http_port
    try:
        answer: dict[str, Any] = context.fleet.post(port, "/v1/effects", context.hold)
    except HTTPError as error:
        answer = decode(error.read())
    except (URLError, OSError) as error:
        answer = {"lost": str(error)}
    return answer


def _executions(context: Context) -> int:
    return sum(
        len(context.fleet.post(target.port, "/control", {})["executed"])
        for target in context.fleet.targets
    )
