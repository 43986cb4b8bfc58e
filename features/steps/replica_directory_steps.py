"""Steps for the book of announced replicas."""

from datetime import timedelta
from re import fullmatch

from behave import given, then, when
from behave.runner import Context
from fakes.replica_script import notice

from lovagetray._routing_types import NoticeVersion, ReplicaNotice, ReplicaState
from lovagetray.state import ReplicaDirectory

_LIFETIME = timedelta(seconds=7)
_MEMORY = timedelta(seconds=120)


@given('the notice "{one}"')
def hold_one(context: Context, one: str) -> None:
    context.now = timedelta(seconds=100)
    context.directory = ReplicaDirectory(_LIFETIME, _MEMORY)
    context.directory.accept(_parse(one), context.now)


@given('the notices "{one}" and "{other}"')
def hold_two(context: Context, one: str, other: str) -> None:
    hold_one(context, one)
    context.directory.accept(_parse(other), context.now)


@given("{replica} left")
def left(context: Context, replica: str) -> None:
    context.directory.leave(replica, context.now)


@when('"{one}" arrives')
def arrive(context: Context, one: str) -> None:
    context.directory.accept(_parse(one), context.now)


@when("{seconds:d} seconds pass")
def wait(context: Context, seconds: int) -> None:
    context.now += timedelta(seconds=seconds)
    context.directory.expire(context.now)


@when('another instance tells that "{one}" was repeated')
def repeat(context: Context, one: str) -> None:
    theirs = ReplicaDirectory(_LIFETIME, _MEMORY)
    told = _parse(one)
    theirs.accept(told, context.now)
    repeated = theirs.repeated_notice(told.replica)
    assert repeated is not None
    context.directory.accept_repeated(repeated, context.now)


@when('another instance holds "{one}" and "{other}"')
def compare(context: Context, one: str, other: str) -> None:
    runs = [
        NoticeVersion(held.replica, held.order) for held in map(_parse, (one, other))
    ]
    context.newer = [
        known.notice.replica for known in context.directory.newer_than(runs)
    ]


@then("only {replica} is newer here")
def check_newer(context: Context, replica: str) -> None:
    assert context.newer == [replica], context.newer


@then("no replica is usable")
def check_none(context: Context) -> None:
    assert not _usable(context)


@then("{replica} is usable")
def check_usable(context: Context, replica: str) -> None:
    assert _usable(context) == [replica], _usable(context)


@then("{replica} is usable and {other} is not")
def check_only(context: Context, replica: str, other: str) -> None:
    assert _usable(context) == [replica], _usable(context)


@then("{replica} is forgotten")
def check_forgotten(context: Context, replica: str) -> None:
    assert context.directory.find(replica) is None


def _usable(context: Context) -> list[str]:
    return [one.replica for one in context.directory.usable("s", context.now)]


def _parse(text: str) -> ReplicaNotice:
    found = fullmatch(r"(\w+) (\w+) born (\d+) number (\d+)(?: port (\d+))?", text)
    assert found is not None, text
    replica, state, born, number, port = found.groups()
    return notice(
        replica,
        state=ReplicaState(state),
        born=int(born),
        sequence=int(number),
        port=int(port) if port else None,
    )
