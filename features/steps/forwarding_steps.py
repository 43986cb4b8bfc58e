"""Steps for requests to one replica, in virtual time."""

from collections import Counter
from datetime import timedelta
from typing import Any

from behave import given, then, when
from behave.runner import Context
from expression import Result
from fakes.replica_script import Play, bench, caller_request
from fakes.virtual_time import run_virtual

from lovagetray._routing_types import OneService, Repeat, Route, Share, SplitServices
from lovagetray.commands.forwarding import SplitCounter, forward

_LIMIT = timedelta(seconds=2)
_TARGET = timedelta(milliseconds=300)


@given("a service with {count:d} replicas")
def set_up(context: Context, count: int) -> None:
    context.count = count
    context.plays = {}
    context.favourite = False


@given("every replica resets connections")
def every_resets(context: Context) -> None:
    _every(context, Play("reset"))


@given("every replica sheds")
def every_sheds(context: Context) -> None:
    _every(context, Play("shed"))


@given("every replica is silent")
def every_silent(context: Context) -> None:
    _every(context, Play("silence"))


@given("every replica fails with status {status:d}")
def every_fails(context: Context, status: int) -> None:
    _every(context, Play("fail", status=status))


@given("the first choice sheds")
def first_sheds(context: Context) -> None:
    context.plays["s-1"] = Play("shed")
    context.favourite = True


@given("the first choice is silent")
def first_silent(context: Context) -> None:
    context.plays["s-1"] = Play("silence")
    context.favourite = True


@given("{count:d} replicas accept no connection")
def some_refuse(context: Context, count: int) -> None:
    for number in range(1, count + 1):
        context.plays[f"s-{number}"] = Play("refuse")


@when("an idempotent request is forwarded")
def forward_idempotent(context: Context) -> None:
    _forward(context, Repeat.IDEMPOTENT)


@when("a request that may run once is forwarded")
def forward_once(context: Context) -> None:
    _forward(context, Repeat.AT_MOST_ONCE)


@then("the response is a replica's success")
def check_success(context: Context) -> None:
    match context.result:
        case Result(tag="ok", ok=reply):
            assert reply.status == 200 and reply.signature.startswith("stamp-s-")
        case _:
            raise AssertionError(context.result)


@then("the response is the replica's failure with status {status:d}")
def check_failed_reply(context: Context, status: int) -> None:
    reply = context.result.ok
    assert (reply.status, reply.body, bool(reply.signature)) == (
        status,
        b"broken",
        True,
    )


@then("it fails with {code}")
def check_failure(context: Context, code: str) -> None:
    assert context.result.error.code == code, context.result


@then("{count:d} requests arrived")
def check_arrived(context: Context, count: int) -> None:
    assert len(context.bench.channels.arrived) == count


@when("300 requests are split 70 to 20 to 10")
def split(context: Context) -> None:
    shares = (Share("a", 70), Share("b", 20), Share("c", 10))
    route = _route(Repeat.IDEMPOTENT)._replace(destination=SplitServices(shares))
    counter = SplitCounter()
    context.counts = Counter(counter.choose(route, shares) for _ in range(300))


@then("the parts got 210, 60 and 30 requests")
def check_split(context: Context) -> None:
    assert context.counts == {"a": 210, "b": 60, "c": 30}, context.counts


def _every(context: Context, play: Play) -> None:
    for number in range(1, context.count + 1):
        context.plays[f"s-{number}"] = play


def _route(repeat: Repeat) -> Route:
    return Route("r", "host", "/", repeat, _LIMIT, _TARGET, 1, 2, OneService("s"))


def _forward(context: Context, repeat: Repeat) -> None:
    async def work() -> None:
        setup: Any = bench({"s": context.count})
        context.bench = setup
        setup.channels.plays.update(context.plays)
        if context.favourite:
            setup.placement.record("s-1").slowness = 0.1
        context.result = await forward(
            setup.tools, caller_request(), _route(repeat), "s"
        )

    run_virtual(work)
