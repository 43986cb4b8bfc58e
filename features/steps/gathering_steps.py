"""Steps for queries over many shards, in virtual time."""

from datetime import timedelta
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import spawn
from expression import Result
from fakes.replica_script import (
    ScriptedBehaviour,
    make_caller_request,
    make_dispatch_harness,
)
from fakes.virtual_time import run_in_virtual_time

from lovagetray import SystemClock
from lovagetray._routing_types import GatherShards, ReplicaState, RetrySafety, Route
from lovagetray.queries.gathering import gather, greatest_records

_TARGET_LATENCY = timedelta(milliseconds=100)
_TIMEOUT = timedelta(milliseconds=800)


@given("{shards:d} shards with {replicas:d} replicas each")
def create_shards(context: Context, shards: int, replicas: int) -> None:
    context.shards = tuple(f"shard{number}" for number in range(shards))
    context.services = dict.fromkeys(context.shards, replicas)
    context.harness_changes = []
    context.budget = {}
    context.head_start = None
    context.times_left = []
    context.time_left = None


@given("callers state that they have {milliseconds:d} ms left")
def add_time_left(context: Context, milliseconds: int) -> None:
    context.times_left.append(timedelta(milliseconds=milliseconds))


@given("after that {count:d} callers state that they have {milliseconds:d} ms left")
def add_times_left(context: Context, count: int, milliseconds: int) -> None:
    context.times_left += [timedelta(milliseconds=milliseconds)] * count


@when("a caller with {milliseconds:d} ms left sends a query")
def run_query_with_time(context: Context, milliseconds: int) -> None:
    context.time_left = timedelta(milliseconds=milliseconds)
    run_query(context, 5)


@then("it is sent between {earliest:d} and {latest:d} ms after the query")
def check_sent(context: Context, earliest: int, latest: int) -> None:
    milliseconds = context.elapsed / timedelta(milliseconds=1)
    assert earliest <= milliseconds <= latest, milliseconds


@given("all replicas of {count:d} shards are silent")
def silence_all(context: Context, count: int) -> None:
    _set_all(context, count, ScriptedBehaviour("silence"))


@given("all replicas of {count:d} shards fail")
def fail_all(context: Context, count: int) -> None:
    _set_all(context, count, ScriptedBehaviour("fail"))


@given("all replicas of {count:d} shards answer after {delay:d} ms")
def delay_all(context: Context, count: int, delay: int) -> None:
    _set_all(context, count, ScriptedBehaviour(delay=timedelta(milliseconds=delay)))


@given("{count:d} shards have no replicas")
def remove_replicas(context: Context, count: int) -> None:
    for shard in context.shards[:count]:
        del context.services[shard]


@given("an empty retry budget")
def empty_budget(context: Context) -> None:
    context.budget = {"ratio": 0.0, "fixed": 0}


@given("the other replicas answer after {delay:d} ms")
def delay_others(context: Context, delay: int) -> None:
    _set_all(
        context,
        len(context.shards),
        ScriptedBehaviour(delay=timedelta(milliseconds=delay)),
    )


@given("another query began {milliseconds:d} ms earlier")
def start_other_query(context: Context, milliseconds: int) -> None:
    context.head_start = timedelta(milliseconds=milliseconds)


@given("the first-choice replica of one shard is silent")
def silence_first(context: Context) -> None:
    context.harness_changes.append(
        lambda harness: _set_first_choice(
            context, harness, ScriptedBehaviour("silence")
        )
    )


@given("the first-choice replica of one shard sheds")
def shed_first(context: Context) -> None:
    context.harness_changes.append(
        lambda harness: _set_first_choice(context, harness, ScriptedBehaviour("shed"))
    )


@when("a query for the {top_k:d} greatest records runs")
def run_query(context: Context, top_k: int) -> None:
    async def run() -> None:
        harness = context.harness = make_dispatch_harness(
            context.services, **context.budget
        )
        for change in context.harness_changes:
            change(harness)
        destination = GatherShards(context.shards, top_k, 0.75)
        route = Route(
            "r",
            "host",
            "/",
            RetrySafety.IDEMPOTENT,
            _TIMEOUT,
            _TARGET_LATENCY,
            1,
            2,
            destination,
        )
        clock = SystemClock()
        if context.head_start is not None:
            other_request = make_caller_request()._replace(request_id="request-0")
            await spawn(
                gather,
                harness.dependencies,
                other_request,
                route,
                destination,
                daemon=True,
            )
            await clock.sleep(context.head_start)
        for time_left in context.times_left:
            harness.dependencies.balancer.time_spent(route, time_left)
        request = make_caller_request()
        if context.time_left is not None:
            request = request._replace(time_left=context.time_left)
        started_at = clock.monotonic_time()
        context.result = await gather(harness.dependencies, request, route, destination)
        context.elapsed = clock.monotonic_time() - started_at

    run_in_virtual_time(run)


@then("the answer includes {count:d} shards")
def check_included(context: Context, count: int) -> None:
    answer = _answer(context)
    assert len(answer.response_ids) == count, context.result
    assert len(set(answer.response_ids)) == count
    assert answer.missing == len(context.shards) - count


@then(
    "the answer includes {count:d} shards and the {top_k:d} greatest records "
    "in descending order"
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
def check_target_latency(context: Context) -> None:
    assert context.elapsed < _TARGET_LATENCY, context.elapsed


@then("it took at most the time limit")
def check_timeout(context: Context) -> None:
    assert context.elapsed <= _TIMEOUT, context.elapsed


@then("it took at most {milliseconds:d} ms")
def check_elapsed(context: Context, milliseconds: int) -> None:
    assert context.elapsed <= timedelta(milliseconds=milliseconds), context.elapsed


@then("no replica received a request")
def check_no_request(context: Context) -> None:
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


@then("all equal records are included and the partial record is not")
def check_merge(context: Context) -> None:
    assert context.merged == b"z" * 32 + b"a" * 16


def _answer(context: Context) -> Any:
    match context.result:
        case Result(tag="ok", ok=answer):
            return answer
    raise AssertionError(context.result)


def _set_all(context: Context, count: int, behaviour: ScriptedBehaviour) -> None:
    def change(harness: Any) -> None:
        for shard in context.shards[:count]:
            for number in range(1, context.services[shard] + 1):
                harness.connection_pool.behaviours[f"{shard}-{number}"] = behaviour

    context.harness_changes.append(change)


def _set_first_choice(
    context: Context, harness: Any, behaviour: ScriptedBehaviour
) -> None:
    """Make a replica of one shard the first choice and set its behaviour."""
    shard = context.shards[0]
    replica_stats = harness.balancer.replica_stats(f"{shard}-1")
    replica_stats.relative_latency = 0.1
    harness.connection_pool.behaviours[f"{shard}-1"] = behaviour
    assert harness.directory.find(f"{shard}-1").state is ReplicaState.READY
