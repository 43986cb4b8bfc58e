"""Steps for requests at an instance that stops, in virtual time."""

from datetime import timedelta

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
from lovagetray._routing_types import (
    GatherShards,
    OneService,
    RetrySafety,
    Route,
)
from lovagetray.commands.forwarding import forward
from lovagetray.queries.dispatch import can_be_served, stop_schedule
from lovagetray.queries.gathering import gather

_SILENT = ScriptedBehaviour("silence")
_TOLERANCE = timedelta(milliseconds=1)


@given("replicas of a route have recently taken up to {longest:d} ms")
def set_longest(context: Context, longest: int) -> None:
    context.longest = timedelta(milliseconds=longest)


@given(
    "the route has a target latency of {target:d} ms and a timeout of {timeout:d} ms"
)
def set_route_times(context: Context, target: int, timeout: int) -> None:
    context.target = timedelta(milliseconds=target)
    context.timeout = timedelta(milliseconds=timeout)


@when("a request arrives {left:d} ms before the last answers of a planned stop")
def decide(context: Context, left: int) -> None:
    time_left = timedelta(milliseconds=left)
    context.served = can_be_served(
        time_left, context.timeout, context.target, context.longest
    )


@then("it is {outcome}")
def check_decision(context: Context, outcome: str) -> None:
    assert context.served == (outcome == "served")


@when(
    "a route answers {count:d} times after {short:d} ms and once after {longest:d} ms"
)
def observe_long(context: Context, count: int, short: int, longest: int) -> None:
    harness = make_dispatch_harness({"s": 1})
    context.stats = harness.balancer.route_stats(_route(OneService("s")))
    _observe(context, count, short)
    _observe(context, 1, longest)


@when("it answers {count:d} times after {short:d} ms")
def observe_short(context: Context, count: int, short: int) -> None:
    _observe(context, count, short)


@then("its longest latency is {milliseconds:d} ms")
def check_longest(context: Context, milliseconds: int) -> None:
    assert round(context.stats.longest * 1000) == milliseconds, context.stats


@then("its longest latency is less than {milliseconds:d} ms")
def check_longest_below(context: Context, milliseconds: int) -> None:
    assert context.stats.longest * 1000 < milliseconds, context.stats


@given("a request waits for a silent replica, with {left:d} ms left")
def prepare_request(context: Context, left: int) -> None:
    context.shards, context.silent = (), 0
    context.time_left = timedelta(milliseconds=left)


@given(
    "a query over {shards:d} shards, of which {silent:d} are silent, with {left:d} ms "
    "left"
)
def prepare_query(context: Context, shards: int, silent: int, left: int) -> None:
    context.shards = tuple(f"shard{number}" for number in range(shards))
    context.silent = silent
    context.time_left = timedelta(milliseconds=left)


@when("the instance stops and the last answers are due after {due:d} ms")
def stop_before(context: Context, due: int) -> None:
    _run(context, timedelta(0), timedelta(milliseconds=due))


@when(
    "the instance stops after {delay:d} ms and the last answers are due {due:d} ms "
    "later"
)
def stop_meanwhile(context: Context, delay: int, due: int) -> None:
    _run(context, timedelta(milliseconds=delay), timedelta(milliseconds=due))


@then("the request fails with {code} after {milliseconds:d} ms")
def check_request(context: Context, code: str, milliseconds: int) -> None:
    assert context.result.error.code == code, context.result
    _check_elapsed(context, milliseconds)


@then("the query ends after {milliseconds:d} ms with {outcome}")
def check_query(context: Context, milliseconds: int, outcome: str) -> None:
    match context.result:
        case Result(tag="ok", ok=answer):
            assert outcome == f"{len(answer.response_ids)} shards", answer
        case Result(error=failure):
            assert failure.code == outcome, failure
    _check_elapsed(context, milliseconds)


@when("the stop signal arrives with a grace period of {grace:d} ms")
def make_schedule(context: Context, grace: int) -> None:
    context.schedule = stop_schedule(timedelta(0), timedelta(milliseconds=grace))


@then(
    "accepting, answering and exiting end after {accept:d}, {answer:d} and {exit:d} ms"
)
def check_schedule(context: Context, accept: int, answer: int, exit: int) -> None:
    milliseconds = [int(time / timedelta(milliseconds=1)) for time in context.schedule]
    assert milliseconds == [accept, answer, exit], milliseconds


def _observe(context: Context, count: int, milliseconds: int) -> None:
    for _ in range(count):
        context.stats.observe(milliseconds / 1000, 0.9)


def _route(destination: OneService | GatherShards) -> Route:
    safety = (
        RetrySafety.AT_MOST_ONCE
        if isinstance(destination, OneService)
        else RetrySafety.IDEMPOTENT
    )
    timeout, target = timedelta(seconds=2), timedelta(milliseconds=1500)
    return Route("r", "host", "/", safety, timeout, target, 1, 2, destination)


def _run(context: Context, delay: timedelta, due: timedelta) -> None:
    async def run() -> None:
        clock = SystemClock()
        harness = make_dispatch_harness(dict.fromkeys(context.shards or ("s",), 1))
        silent = context.shards[: context.silent] or ("s",)
        harness.connection_pool.behaviours.update(
            {f"{service}-1": _SILENT for service in silent}
        )
        started_at = clock.monotonic_time()

        async def stop() -> None:
            await clock.sleep(delay)
            await harness.dependencies.answer_limit.begin(clock.monotonic_time() + due)

        await spawn(stop, daemon=True)
        request = make_caller_request(context.time_left)
        if context.shards:
            shards = GatherShards(context.shards, 5, 0.75)
            context.result = await gather(
                harness.dependencies, request, _route(shards), shards
            )
        else:
            route = _route(OneService("s"))
            context.result = await forward(harness.dependencies, request, route, "s")
        context.elapsed = clock.monotonic_time() - started_at

    run_in_virtual_time(run)


def _check_elapsed(context: Context, milliseconds: int) -> None:
    expected = timedelta(milliseconds=milliseconds)
    assert abs(context.elapsed - expected) <= _TOLERANCE, context.elapsed
