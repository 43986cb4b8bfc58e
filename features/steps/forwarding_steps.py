"""Steps for requests that are forwarded to one replica, in virtual time."""

from collections import Counter
from datetime import timedelta
from typing import Any

from behave import given, then, when
from behave.runner import Context
from expression import Result
from fakes.replica_script import (
    ScriptedBehaviour,
    make_caller_request,
    make_dispatch_harness,
)
from fakes.virtual_time import VirtualKernel, run_in_virtual_time

from lovagetray import SystemClock
from lovagetray._routing_types import (
    OneService,
    RetrySafety,
    Route,
    TrafficSplit,
    WeightedService,
)
from lovagetray.commands.forwarding import WeightedRoundRobin, forward

_TIMEOUT = timedelta(seconds=2)
_TARGET_LATENCY = timedelta(milliseconds=300)
# A scripted replica replies after 10 ms.
_REPLY_TIME = timedelta(milliseconds=20)


@given("a service with {count:d} replicas")
def create_service(context: Context, count: int) -> None:
    context.count = count
    context.behaviours = {}
    context.prefer_first = False


@given("every replica resets connections")
def reset_all(context: Context) -> None:
    _set_every(context, ScriptedBehaviour("reset"))


@given("every replica sheds")
def shed_all(context: Context) -> None:
    _set_every(context, ScriptedBehaviour("shed"))


@given("every replica answers with {fault}")
def spoil_all(context: Context, fault: str) -> None:
    _set_every(context, ScriptedBehaviour(fault))


@given("every replica is silent")
def silence_all(context: Context) -> None:
    _set_every(context, ScriptedBehaviour("silence"))


@given("every replica fails with status {status:d}")
def fail_all(context: Context, status: int) -> None:
    _set_every(context, ScriptedBehaviour("fail", status=status))


@given("the first-choice replica sheds")
def shed_first(context: Context) -> None:
    context.behaviours["s-1"] = ScriptedBehaviour("shed")
    context.prefer_first = True


@given("the first-choice replica is silent")
def silence_first(context: Context) -> None:
    context.behaviours["s-1"] = ScriptedBehaviour("silence")
    context.prefer_first = True


@given("{count:d} replicas accept no connection")
def refuse_connections(context: Context, count: int) -> None:
    for number in range(1, count + 1):
        context.behaviours[f"s-{number}"] = ScriptedBehaviour("refuse")


@given("every replica refuses and wants no requests for {milliseconds:d} ms")
def refuse_all_for(context: Context, milliseconds: int) -> None:
    _set_every(context, _refusal(milliseconds))


@given("the first-choice replica refuses and wants no requests for {milliseconds:d} ms")
def refuse_first_for(context: Context, milliseconds: int) -> None:
    context.behaviours["s-1"] = _refusal(milliseconds)
    context.prefer_first = True


@given("the first-choice replica answers that it is leaving")
def leave_first(context: Context) -> None:
    context.behaviours["s-1"] = ScriptedBehaviour(leaving=True)
    context.prefer_first = True


@given("every replica answers that it is leaving")
def leave_all(context: Context) -> None:
    _set_every(context, ScriptedBehaviour(leaving=True))


@when("{count:d} requests are forwarded {milliseconds:d} ms apart")
def forward_many(context: Context, count: int, milliseconds: int) -> None:
    context.kernel = VirtualKernel()
    context.add_cleanup(context.kernel.close)

    async def run() -> None:
        harness = _make_harness(context)
        context.started_at = SystemClock().monotonic_time()
        context.results = []
        for _ in range(count):
            await SystemClock().sleep(timedelta(milliseconds=milliseconds))
            sent_at = SystemClock().monotonic_time()
            result = await _forward_one(harness, RetrySafety.IDEMPOTENT)
            context.results.append((sent_at, result))

    context.kernel.run(run)


@when("{milliseconds:d} ms pass and the replicas recover")
def recover(context: Context, milliseconds: int) -> None:
    async def run() -> None:
        context.harness.connection_pool.behaviours.clear()
        await SystemClock().sleep(timedelta(milliseconds=milliseconds))
        context.results = [(None, await _forward_one(context.harness))]

    context.kernel.run(run)


@then("a request is answered")
@then("each is answered")
def check_all_answered(context: Context) -> None:
    assert all(result.is_ok() for _, result in context.results), context.results


@then("the first-choice replica received 1 request")
def check_first_received(context: Context) -> None:
    assert _received(context)["s-1"] == 1, _received(context)


@then("no replica received more than 1 request")
def check_received_once(context: Context) -> None:
    assert set(_received(context).values()) == {1}, _received(context)


@then("each later request is refused as not run")
def check_later_refused(context: Context) -> None:
    later = context.results[context.count :]
    assert later
    for _, result in later:
        assert result.error.code == "request_not_run", result


@then(
    "each later request is refused as not run, with the rest of the {milliseconds:d} "
    "ms to wait"
)
def check_refused_with_wait(context: Context, milliseconds: int) -> None:
    check_later_refused(context)
    first_sent_at = context.results[0][0]
    for sent_at, result in context.results[1:]:
        left = timedelta(milliseconds=milliseconds) - (sent_at - first_sent_at)
        assert left <= result.error.retry_after <= left + _REPLY_TIME, result


@when("an idempotent request is forwarded")
def forward_idempotent(context: Context) -> None:
    _forward(context, RetrySafety.IDEMPOTENT)


@when("an at-most-once request is forwarded")
def forward_at_most_once(context: Context) -> None:
    _forward(context, RetrySafety.AT_MOST_ONCE)


@then("the response is a replica's success")
def check_success(context: Context) -> None:
    match context.result:
        case Result(tag="ok", ok=reply):
            assert reply.status == 200 and reply.response_id.startswith("stamp-s-")
        case _:
            raise AssertionError(context.result)


@then("the response is the replica's failure with status {status:d}")
def check_failed_reply(context: Context, status: int) -> None:
    reply = context.result.ok
    assert (reply.status, reply.body, bool(reply.response_id)) == (
        status,
        b"broken",
        True,
    )


@then("it fails with {code}")
def check_failure(context: Context, code: str) -> None:
    assert context.result.error.code == code, context.result


@then("{count:d} requests arrived")
def check_arrived(context: Context, count: int) -> None:
    assert len(context.harness.connection_pool.received_requests) == count


@when("300 requests are split 70 to 20 to 10")
def split(context: Context) -> None:
    weighted_services = (
        WeightedService("a", 70),
        WeightedService("b", 20),
        WeightedService("c", 10),
    )
    route = _route(RetrySafety.IDEMPOTENT)._replace(
        destination=TrafficSplit(weighted_services)
    )
    round_robin = WeightedRoundRobin()
    context.counts = Counter(
        round_robin.choose(route, weighted_services) for _ in range(300)
    )


@when("300 requests are split 70 to 20 to 10, each after one of a route of that name")
def split_twice(context: Context) -> None:
    weighted_services = tuple(
        WeightedService(service, weight)
        for service, weight in (("a", 70), ("b", 20), ("c", 10))
    )
    other_services = (WeightedService("d", 1), WeightedService("e", 1))
    route = _route(RetrySafety.IDEMPOTENT)._replace(
        destination=TrafficSplit(weighted_services)
    )
    other = route._replace(prefix="/other/", destination=TrafficSplit(other_services))
    round_robin = WeightedRoundRobin()
    context.counts = Counter()
    for _ in range(300):
        round_robin.choose(other, other_services)
        context.counts[round_robin.choose(route, weighted_services)] += 1


@then("the services get 210, 60 and 30 requests")
def check_split(context: Context) -> None:
    assert context.counts == {"a": 210, "b": 60, "c": 30}, context.counts


def _set_every(context: Context, behaviour: ScriptedBehaviour) -> None:
    for number in range(1, context.count + 1):
        context.behaviours[f"s-{number}"] = behaviour


def _route(retry_safety: RetrySafety) -> Route:
    return Route(
        "r", "host", "/", retry_safety, _TIMEOUT, _TARGET_LATENCY, 1, 2, OneService("s")
    )


def _forward(context: Context, retry_safety: RetrySafety) -> None:
    async def run() -> None:
        harness = _make_harness(context)
        context.result = await _forward_one(harness, retry_safety)

    run_in_virtual_time(run)


def _make_harness(context: Context) -> Any:
    harness: Any = make_dispatch_harness({"s": context.count})
    context.harness = harness
    harness.connection_pool.behaviours.update(context.behaviours)
    if context.prefer_first:
        harness.balancer.replica_stats("s-1").relative_latency = 0.1
    return harness


async def _forward_one(
    harness: Any, retry_safety: RetrySafety = RetrySafety.IDEMPOTENT
) -> Any:
    return await forward(
        harness.dependencies, make_caller_request(), _route(retry_safety), "s"
    )


def _refusal(milliseconds: int) -> ScriptedBehaviour:
    return ScriptedBehaviour("shed", refuses_for=timedelta(milliseconds=milliseconds))


def _received(context: Context) -> Counter[str]:
    requests = context.harness.connection_pool.received_requests
    return Counter(replica for _, replica in requests)
