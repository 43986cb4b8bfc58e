"""Steps for queries over many shards, in virtual time."""

from datetime import timedelta
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import spawn
from expression import Result
from fakes.replica_script import (
    ScriptedBehaviour,
    caller_request,
    make_dispatch_harness,
)
from fakes.virtual_time import run_in_virtual_time

from lovagetray import SystemClock
from lovagetray._routing_types import GatherShards, ReplicaState, RetrySafety, Route
from lovagetray.queries.gathering import gather, greatest_records

_TARGET = timedelta(milliseconds=100)
_LIMIT = timedelta(milliseconds=800)


@given("{shards:d} shards with {replicas:d} replicas each")
def set_up(context: Context, shards: int, replicas: int) -> None:
    context.shards = tuple(f"shard{number}" for number in range(shards))
    context.services = dict.fromkeys(context.shards, replicas)
    context.setups = []
    context.budget = {}
    context.lead = None


@given("all replicas of {count:d} shards are silent")
def silence(context: Context, count: int) -> None:
    _play_all(context, count, ScriptedBehaviour("silence"))


@given("all replicas of {count:d} shards fail")
def fail(context: Context, count: int) -> None:
    _play_all(context, count, ScriptedBehaviour("fail"))


@given("all replicas of {count:d} shards answer after {delay:d} ms")
def delay(context: Context, count: int, delay: int) -> None:
    _play_all(context, count, ScriptedBehaviour(delay=timedelta(milliseconds=delay)))


@given("{count:d} shards have no replicas")
def no_replicas(context: Context, count: int) -> None:
    for shard in context.shards[:count]:
        del context.services[shard]


@given("no budget for second attempts")
def no_budget(context: Context) -> None:
    context.budget = {"ratio": 0.0, "fixed": 0}


@given("the other replicas answer after {delay:d} ms")
def delay_others(context: Context, delay: int) -> None:
    _play_all(
        context,
        len(context.shards),
        ScriptedBehaviour(delay=timedelta(milliseconds=delay)),
    )


@given("another query began {lead:d} ms before")
def begin_before(context: Context, lead: int) -> None:
    context.lead = timedelta(milliseconds=lead)


@given("the first choice of one shard is silent")
def first_silent(context: Context) -> None:
    context.setups.append(
        lambda setup: _play_first(context, setup, ScriptedBehaviour("silence"))
    )


@given("the first choice of one shard sheds")
def first_sheds(context: Context) -> None:
    context.setups.append(
        lambda setup: _play_first(context, setup, ScriptedBehaviour("shed"))
    )


@when("a query for the {top_k:d} greatest records runs")
def run(context: Context, top_k: int) -> None:
    async def work() -> None:
        setup = context.harness = make_dispatch_harness(
            context.services, **context.budget
        )
        for change in context.setups:
            change(setup)
        destination = GatherShards(context.shards, top_k, 0.75)
        route = Route(
            "r", "host", "/", RetrySafety.IDEMPOTENT, _LIMIT, _TARGET, 1, 2, destination
        )
        clock = SystemClock()
        if context.lead is not None:
            other = caller_request()._replace(request_id="request-0")
            await spawn(
                gather, setup.dependencies, other, route, destination, daemon=True
            )
            await clock.sleep(context.lead)
        began = clock.monotonic_time()
        context.result = await gather(
            setup.dependencies, caller_request(), route, destination
        )
        context.took = clock.monotonic_time() - began

    run_in_virtual_time(work)


@then("the answer includes {count:d} shards")
def check_included(context: Context, count: int) -> None:
    answer = _answer(context)
    assert len(answer.signatures) == count, context.result
    assert len(set(answer.signatures)) == count
    assert answer.missing == len(context.shards) - count


@then(
    "the answer includes {count:d} shards and the {top_k:d} greatest records, falling"
)
def check_records(context: Context, count: int, top_k: int) -> None:
    check_included(context, count)
    arrived = [
        replica.encode()
        for _, replica in context.harness.connection_pool.received_requests
    ]
    expected = sorted((name.ljust(16, b".") for name in arrived), reverse=True)
    assert _answer(context).records == b"".join(expected[:top_k])


@then("the answer includes {count:d} shards and states {missing:d} missing")
def check_missing(context: Context, count: int, missing: int) -> None:
    check_included(context, count)
    assert _answer(context).missing == missing


@then("the query fails with {code}")
def check_failure(context: Context, code: str) -> None:
    assert context.result.error.code == code, context.result


@then("it took less than the target latency")
def check_timely(context: Context) -> None:
    assert context.took < _TARGET, context.took


@then("it took at most the time limit")
def check_limit(context: Context) -> None:
    assert context.took <= _LIMIT, context.took


@then("it took at most {milliseconds:d} ms")
def check_took(context: Context, milliseconds: int) -> None:
    assert context.took <= timedelta(milliseconds=milliseconds), context.took


@then("no replica received anything")
def check_nothing(context: Context) -> None:
    assert not context.harness.connection_pool.received_requests


@then("no shard received more than {count:d} requests")
def check_attempts(context: Context, count: int) -> None:
    services = [
        service for service, _ in context.harness.connection_pool.received_requests
    ]
    assert max(services.count(service) for service in services) <= count


@when("parts with equal records and a partial one are merged")
def merge(context: Context) -> None:
    low, high = b"a" * 16, b"z" * 16
    context.merged = greatest_records([low + high, high + b"zzz", low], 3)


@then("equal records all count and the partial one does not")
def check_merge(context: Context) -> None:
    assert context.merged == b"z" * 32 + b"a" * 16


def _answer(context: Context) -> Any:
    match context.result:
        case Result(tag="ok", ok=answer):
            return answer
    raise AssertionError(context.result)


def _play_all(context: Context, count: int, play: ScriptedBehaviour) -> None:
    def change(setup: Any) -> None:
        for shard in context.shards[:count]:
            for number in range(1, context.services[shard] + 1):
                setup.connection_pool.behaviours[f"{shard}-{number}"] = play

    context.setups.append(change)


def _play_first(context: Context, setup: Any, play: ScriptedBehaviour) -> None:
    """Make every replica of a shard but one play; the other is not the first choice."""
    shard = context.shards[0]
    favourite = setup.balancer.replica_stats(f"{shard}-1")
    favourite.relative_latency = 0.1
    setup.connection_pool.behaviours[f"{shard}-1"] = play
    assert setup.directory.find(f"{shard}-1").state is ReplicaState.READY
