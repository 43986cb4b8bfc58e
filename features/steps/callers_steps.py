"""Steps with callers that search while instances start and stop."""

from datetime import timedelta
from signal import SIGCONT, SIGSTOP

from behave import then, when
from behave.runner import Context
from curio import TaskGroup, run, run_in_thread, sleep
from expression import Result
from msgspec.json import decode, encode

from lovagetray import Address, SystemClock
from lovagetray.cli._caller import Caller

_CALL_TIMEOUT = timedelta(seconds=5)
_CALLER_COUNT = 6


@when("callers search continuously while entry instance {number:d} is stopped")
def search_during_stop(context: Context, number: int) -> None:
    context.stopped = context.fleet.entries[number - 1]
    context.results = []
    run(_search_until_stopped, context)


async def _search_until_stopped(context: Context) -> None:
    async with TaskGroup(wait=None) as group:
        for caller in range(_CALLER_COUNT):
            await group.spawn(_search_forever, context, f"caller-{caller}")
        await sleep(1)
        context.fleet.terminate(context.stopped)
        await run_in_thread(context.stopped.process.wait, 40)
        await sleep(1)


async def _search_forever(context: Context, name: str) -> None:
    seeds = [Address("127.0.0.1", entry.http_port) for entry in context.fleet.entries]
    caller = Caller(seeds, name, "", SystemClock())
    body = encode(
        {"service": "kallioniemi/invoices", "terms": "album", "deadline_ms": 3000}
    )
    while True:
        result = await caller.call("POST", "/v1/search", body, _CALL_TIMEOUT)
        context.results.append(result)
        await sleep(0.02)


@then("every search gets a complete answer")
def check_answers(context: Context) -> None:
    assert len(context.results) > 50, len(context.results)
    for result in context.results:
        match result:
            case Result(tag="ok", ok=response):
                assert response.status == 200, response
                assert decode(response.body)["coverage"]["complete"], response
            case Result(error=failure):
                raise AssertionError(failure)


@then("the stopped instance exits with code {code:d}")
def check_exit_code(context: Context, code: int) -> None:
    assert context.stopped.process.wait(40) == code, context.stopped.process.returncode


@then("the other instances no longer list its address")
def check_withdrawn(context: Context) -> None:
    context.fleet.wait_until(lambda: not _is_listed(context), timeout=10)


@then("the other instances list its address again")
def check_listed(context: Context) -> None:
    context.fleet.wait_until(lambda: _is_listed(context), timeout=10)


@when("entry instance {number:d} is killed")
def kill_entry(context: Context, number: int) -> None:
    context.stopped = context.fleet.entries[number - 1]
    context.fleet.kill(context.stopped)


@when("entry instance {number:d} receives SIGTERM twice")
def stop_twice(context: Context, number: int) -> None:
    context.stopped = context.fleet.entries[number - 1]
    context.fleet.terminate(context.stopped)
    context.fleet.wait_until(lambda: not _is_listed(context), timeout=10)
    context.fleet.terminate(context.stopped)


@when("entry instance {number:d} is paused")
def pause_entry(context: Context, number: int) -> None:
    context.stopped = context.fleet.entries[number - 1]
    context.stopped.process.send_signal(SIGSTOP)


@when("entry instance {number:d} resumes")
def resume_entry(context: Context, number: int) -> None:
    context.stopped.process.send_signal(SIGCONT)


def _is_listed(context: Context) -> bool:
    others = [entry for entry in context.fleet.entries if entry != context.stopped]
    return any(
        address["port"] == context.stopped.http_port
        for entry in others
        for address in context.fleet.get(entry, "/v1/addresses")["addresses"]
    )
