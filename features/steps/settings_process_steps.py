"""Steps that change settings while instances fail."""

from concurrent.futures import ThreadPoolExecutor
from shutil import rmtree
from signal import SIGCONT, SIGSTOP
from typing import Any
from urllib.error import HTTPError, URLError
from urllib.request import Request, urlopen

from behave import given, then, when
from behave.runner import Context
from fleet import OPERATOR_TOKEN, EntryProcess, Fleet
from msgspec.json import decode

_AUTHORIZATION = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


@given("{count:d} entry instances of which {voters:d} vote")
def start_entries(context: Context, count: int, voters: int) -> None:
    context.fleet = Fleet(context.folder)
    context.fleet.start_entries(count, voters)
    context.accepted = {}
    context.revision = 0


@when('an operator sets "{key}" to "{value}" at "{path}" through instance {number:d}')
def set_value(context: Context, key: str, value: str, path: str, number: int) -> None:
    values = {key: value}
    context.revision = context.fleet.change_settings(path, values, number - 1)


@then("the revision is in force at every instance within {limit:d} s")
def check_in_force(context: Context, limit: int) -> None:
    context.fleet.wait_until(lambda: context.fleet.in_force(context.revision), limit)


@then('every instance reads "{key}" as "{value}" at "{path}"')
def check_value(context: Context, key: str, value: str, path: str) -> None:
    for entry in context.fleet.entries:
        assert _read(entry, path, key) == value


@when("operators make {count:d} changes and the leader is killed after {kill:d}")
def change_and_kill(context: Context, count: int, kill: int) -> None:
    _change(context, kill)
    context.fleet.kill(_leader(context))
    _change(context, count - kill)


@when("the leader is frozen until another one accepts a change")
def freeze_leader(context: Context) -> None:
    context.former = _leader(context)
    context.former.process.send_signal(SIGSTOP)
    _change(context, 1)


@then("the former leader has the change in force after it goes on")
def thaw_leader(context: Context) -> None:
    context.former.process.send_signal(SIGCONT)
    context.fleet.wait_until(lambda: context.fleet.in_force(context.revision), 11)
    _check_accepted(context)


@when("operators make {count:d} changes and a voter loses its disk and restarts")
def lose_disk(context: Context, count: int) -> None:
    _change(context, count)
    fleet = context.fleet
    fleet.kill(fleet.entries[0])
    rmtree(context.folder / fleet.entries[0].name)
    fleet.restart_entry(0)
    fleet.wait_until(lambda: fleet.in_force(context.revision))
    identity = fleet.status(fleet.entries[0])["agreement"]["identity"]
    fleet.wait_until(lambda: identity in _voters(context))


@when("another voter is killed")
def kill_voter(context: Context) -> None:
    context.fleet.kill(context.fleet.entries[1])


@then("operators can make {count:d} more changes")
def change_more(context: Context, count: int) -> None:
    _change(context, count)


@then("every accepted change is in force at every running instance")
def check_all(context: Context) -> None:
    context.fleet.wait_until(lambda: context.fleet.in_force(context.revision))
    _check_accepted(context)


@when("two operators change the same base through different instances")
def race(context: Context) -> None:
    def change(number: int) -> Any:
        values = {"search.deadline": f"{200 + number}ms"}
        try:
            return context.fleet.change_settings("/kallioniemi", values, number, base=0)
        except HTTPError as refused:
            return decode(refused.read())["error"]

    with ThreadPoolExecutor(2) as threads:
        context.raced = list(threads.map(change, (1, 2)))


@then("one change is accepted and the other gets a conflict that names the winner")
def check_race(context: Context) -> None:
    won = [result for result in context.raced if isinstance(result, int)]
    lost = [result for result in context.raced if not isinstance(result, int)]
    assert len(won) == 1 and len(lost) == 1, context.raced
    assert lost[0]["code"] == "revision_conflict", lost
    assert lost[0]["winner"]["revision"] == won[0], (lost, won)


@when("operators make {count:d} changes and everything is killed and restarted")
def restart_everything(context: Context, count: int) -> None:
    _change(context, count)
    for number, entry in enumerate(context.fleet.entries):
        context.fleet.kill(entry)
    for number in range(len(context.fleet.entries)):
        context.fleet.restart_entry(number)


def _change(context: Context, count: int) -> None:
    """Make changes, each through any instance that takes it, with resends."""
    for _ in range(count):
        number = len(context.accepted)
        path, value = f"/user-{number}", f"{100 + number}ms"
        context.fleet.wait_until(lambda: _accepted(context, path, value))
        context.accepted[path] = value


def _accepted(context: Context, path: str, value: str) -> bool:
    running = [
        number
        for number, entry in enumerate(context.fleet.entries)
        if entry.process.poll() is None
        and entry is not getattr(context, "former", None)
    ]
    entry = running[hash(path) % len(running)]
    try:
        values = {"search.deadline": value}
        revision = context.fleet.change_settings(path, values, entry)
    except (HTTPError, URLError, OSError):
        return _read(context.fleet.entries[entry], path, "search.deadline") == value
    context.revision = max(context.revision, revision)
    return True


def _check_accepted(context: Context) -> None:
    for entry in context.fleet.entries:
        if entry.process.poll() is not None:
            continue
        for path, value in context.accepted.items():
            assert _read(entry, path, "search.deadline") == value, (entry.name, path)


def _leader(context: Context) -> EntryProcess:
    asked = context.fleet.entries[-1]
    leader = context.fleet.status(asked)["agreement"]["leader"]
    found: EntryProcess = next(
        one for one in context.fleet.entries if one.name == leader
    )
    return found


def _voters(context: Context) -> list[dict[str, str]]:
    voters: list[dict[str, str]] = context.fleet.status(_leader(context))["agreement"][
        "voters"
    ]
    return voters


def _read(entry: EntryProcess, path: str, key: str) -> str:
    url = f"http://127.0.0.1:{entry.http_port}/v1/settings/value"
    request = Request(f"{url}?path={path}&key={key}", headers=_AUTHORIZATION)
    with urlopen(request, timeout=5) as response:
        value: str = decode(response.read())["text"]
        return value
