"""Steps that run entry instances and targets as processes and search through them."""

from behave import given, then, when
from behave.runner import Context
from fleet import Fleet

_SERVICE = "kallioniemi/invoices"


@given(
    "{count:d} entry instances and a service of {shards:d} shards "
    "with {replicas:d} replicas"
)
def start_fleet(context: Context, count: int, shards: int, replicas: int) -> None:
    context.fleet = Fleet(context.folder)
    context.fleet.start_entries(count)
    context.fleet.start_targets(_SERVICE, shards, replicas)


@when("replica 0 of each shard is killed")
def kill_first_replicas(context: Context) -> None:
    for target in context.fleet.targets:
        if target.name.endswith("-0"):
            context.fleet.kill(target)


@when("the only replica of shard {shard:d} is killed")
def kill_shard(context: Context, shard: int) -> None:
    for target in context.fleet.targets:
        if target.shard == shard:
            context.fleet.kill(target)


@when('a caller searches for "{terms}"')
def search(context: Context, terms: str) -> None:
    document = {"service": _SERVICE, "terms": terms, "deadline_ms": 2000}
    port = context.fleet.entries[0].http_port
    context.answer = context.fleet.post(port, "/v1/search", document)


@then("the answer includes {included:d} of {shards:d} shards")
def check_coverage(context: Context, included: int, shards: int) -> None:
    coverage = context.answer["coverage"]
    assert len(coverage["included"]) == included, coverage
    assert coverage["shards"] == shards, coverage


@then("the answer names shard {shard:d} as missing")
def check_missing(context: Context, shard: int) -> None:
    missing = [gap["shard"] for gap in context.answer["coverage"]["missing"]]
    assert missing == [shard], context.answer["coverage"]
