"""Steps for the directory of replicas and their notices."""

from datetime import timedelta

from behave import given, then, when
from behave.runner import Context
from fakes.replica_script import parse_notice

from lovagetray._routing_types import NoticeVersion, ReplicaRun
from lovagetray.state import ReplicaDirectory

_LIFETIME = timedelta(seconds=7)
_RETENTION = timedelta(seconds=120)


@given('the notice "{first}"')
def store_notice(context: Context, first: str) -> None:
    context.now = timedelta(seconds=100)
    context.directory = ReplicaDirectory(_LIFETIME, _RETENTION)
    context.directory.accept(parse_notice(first), context.now)


@given('the notices "{first}" and "{second}"')
def store_notices(context: Context, first: str, second: str) -> None:
    store_notice(context, first)
    context.directory.accept(parse_notice(second), context.now)


@given("{replica} has left")
def deregister(context: Context, replica: str) -> None:
    context.directory.leave(replica, context.now)


@when('"{text}" arrives')
def receive_notice(context: Context, text: str) -> None:
    context.directory.accept(parse_notice(text), context.now)


@when("{replica} states in a response of the run born {born:d} that it is leaving")
def mark_leaving(context: Context, replica: str, born: int) -> None:
    context.directory.mark_leaving(ReplicaRun(replica, born))


@when("{seconds:d} seconds pass")
def pass_time(context: Context, seconds: int) -> None:
    context.now += timedelta(seconds=seconds)
    context.directory.expire(context.now)


@when('another instance reports that "{text}" was repeated')
def receive_repeated(context: Context, text: str) -> None:
    sender_directory = ReplicaDirectory(_LIFETIME, _RETENTION)
    stored = parse_notice(text)
    sender_directory.accept(stored, context.now)
    repeated = sender_directory.repeated_notice(stored.replica)
    assert repeated is not None
    context.directory.accept_repeated(repeated, context.now)


@when('another instance holds "{first}" and "{second}"')
def compare_directories(context: Context, first: str, second: str) -> None:
    versions = [
        NoticeVersion(stored.replica, stored.order)
        for stored in map(parse_notice, (first, second))
    ]
    context.newer = [
        known.notice.replica for known in context.directory.newer_than(versions)
    ]


@then("only {replica} is newer in this directory")
def check_newer(context: Context, replica: str) -> None:
    assert context.newer == [replica], context.newer


@then("no replica is usable")
def check_none_usable(context: Context) -> None:
    assert not _usable(context)


@then("{replica} is usable")
def check_usable(context: Context, replica: str) -> None:
    assert _usable(context) == [replica], _usable(context)


@then("{replica} is usable and {other} is not")
def check_only_usable(context: Context, replica: str, other: str) -> None:
    assert _usable(context) == [replica], _usable(context)


@then("{replica} is removed")
def check_removed(context: Context, replica: str) -> None:
    assert context.directory.find(replica) is None


def _usable(context: Context) -> list[str]:
    return [usable.replica for usable in context.directory.usable("s")]
