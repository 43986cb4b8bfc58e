"""Steps that change settings while processes of instances fail."""

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


@given("{count:d} entry instances of which {voters:d} are voters")
def start_entries(context: Context, count: int, voters: int) -> None:
    context.fleet = Fleet(context.folder)
    context.fleet.start_entries(count, voters)
    context.accepted = {}
    context.revision = 0


@when('an operator sets "{key}" to "{value}" at "{path}" through instance {number:d}')
def set_value(context: Context, key: str, value: str, path: str, number: int) -> None:
    values = {key: value}
    context.revision = context.fleet.change_settings(path, values, number - 1)


@then("the revision is in force at every instance within {timeout:d} s")
def check_in_force(context: Context, timeout: int) -> None:
    context.fleet.wait_until(lambda: context.fleet.in_force(context.revision), timeout)


@then('every instance reads "{key}" as "{value}" at "{path}"')
def check_value(context: Context, key: str, value: str, path: str) -> None:
    for entry in context.fleet.entries:
        assert _read(entry, path, key) == value


@when("operators make {count:d} changes and the leader is killed after {kill_after:d}")
def change_and_kill_leader(context: Context, count: int, kill_after: int) -> None:
    _change(context, kill_after)
    context.fleet.kill(_leader(context))
    _change(context, count - kill_after)


@when("the leader is paused until another instance accepts a change")
def pause_leader(context: Context) -> None:
    context.former_leader = _leader(context)
    context.former_leader.process.send_signal(SIGSTOP)
    _change(context, 1)


@then("the former leader has the change in force after it resumes")
def resume_leader(context: Context) -> None:
    context.former_leader.process.send_signal(SIGCONT)
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
    # Until the set is committed, the loss of the leader may leave too few voters.
    fleet.wait_until(
        lambda: identity in _voters(context)
        and fleet.status(_leader(context))["agreement"]["voters_committed"]
    )


@when("another voter is killed")
def kill_voter(context: Context) -> None:
    context.fleet.kill(context.fleet.entries[1])


@then("operators can make {count:d} more changes")
def make_more_changes(context: Context, count: int) -> None:
    _change(context, count)


@then("every accepted change is in force at every running instance")
def check_accepted_changes(context: Context) -> None:
    context.fleet.wait_until(lambda: context.fleet.in_force(context.revision))
    _check_accepted(context)


@when("two operators change the same base through different instances")
def change_concurrently(context: Context) -> None:
    def change(number: int) -> Any:
        values = {"search.deadline": f"{200 + number}ms"}
        try:
            return context.fleet.change_settings("/kallioniemi", values, number, base=0)
        except HTTPError as refusal:
            return decode(refusal.read())["error"]

    with ThreadPoolExecutor(2) as executor:
        context.results = list(executor.map(change, (1, 2)))


@then("one change is accepted and the other gets a conflict that names the winner")
def check_conflict(context: Context) -> None:
    revisions = [result for result in context.results if isinstance(result, int)]
    errors = [result for result in context.results if not isinstance(result, int)]
    assert len(revisions) == 1 and len(errors) == 1, context.results
    assert errors[0]["code"] == "revision_conflict", errors
    assert errors[0]["winner"]["revision"] == revisions[0], (errors, revisions)


@when("operators make {count:d} changes and all instances are killed and restarted")
def restart_all(context: Context, count: int) -> None:
    _change(context, count)
    for number, entry in enumerate(context.fleet.entries):
        context.fleet.kill(entry)
    for number in range(len(context.fleet.entries)):
        context.fleet.restart_entry(number)


def _change(context: Context, count: int) -> None:
    """Make changes through running instances; repeat each until it is accepted."""
    for _ in range(count):
        number = len(context.accepted)
        path, value = f"/user-{number}", f"{100 + number}ms"
        context.fleet.wait_until(lambda: _try_change(context, path, value))
        context.accepted[path] = value


def _try_change(context: Context, path: str, value: str) -> bool:
    """Return whether a change is in force after one attempt to make it."""
    running = [
        number
        for number, entry in enumerate(context.fleet.entries)
        if entry.process.poll() is None
        and entry is not getattr(context, "former_leader", None)
    ]
    number = running[hash(path) % len(running)]
    try:
        values = {"search.deadline": value}
        revision = context.fleet.change_settings(path, values, number)
    except (HTTPError, URLError, OSError):
        return _read(context.fleet.entries[number], path, "search.deadline") == value
    context.revision = max(context.revision, revision)
    return True


def _check_accepted(context: Context) -> None:
    for entry in context.fleet.entries:
        if entry.process.poll() is not None:
            continue
        for path, value in context.accepted.items():
            assert _read(entry, path, "search.deadline") == value, (entry.name, path)


def _leader(context: Context) -> EntryProcess:
    last_entry = context.fleet.entries[-1]
    name = context.fleet.status(last_entry)["agreement"]["leader"]
    leader: EntryProcess = next(
        entry for entry in context.fleet.entries if entry.name == name
    )
    return leader


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
