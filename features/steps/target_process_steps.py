"""Steps that make targets and owners fail as processes."""

from typing import Any

from behave import then, when
from behave.runner import Context

_SERVICE = "kallioniemi/invoices"


def _complete(context: Context, entry: int = 0) -> bool:
    document = {"service": _SERVICE, "terms": "wedding album", "deadline_ms": 2000}
    port = context.fleet.entries[entry].http_port
    coverage = context.fleet.post(port, "/v1/search", document)["coverage"]
    return len(coverage["included"]) == coverage["shards"]


def _first_replicas(context: Context) -> list[Any]:
    return [one for one in context.fleet.targets if one.name.endswith("-0")]


def _total(context: Context, metric: str) -> float:
    fleet = context.fleet
    total: float = sum(fleet.metric(entry, metric) for entry in fleet.entries)
    return total


def _check_invariants(context: Context) -> None:
    assert not _total(context, "lovagetray_invariant_violations_total")


@when("searches have opened connections and each used one goes silent")
def silence(context: Context) -> None:
    for _ in range(20):
        assert _complete(context)
    for target in context.fleet.targets:
        context.fleet.control(target, fault="silent_reused")


@then("every search is complete and a silent connection was counted")
def check_silent(context: Context) -> None:
    for _ in range(5):
        assert _complete(context)
    assert _total(context, "lovagetray_silent_connections_total") >= 1
    _check_invariants(context)


@when("replica 0 of each shard is paused")
def pause_targets(context: Context) -> None:
    assert _complete(context)
    for target in _first_replicas(context):
        context.fleet.pause(target)


@then("searches become complete again")
def check_again(context: Context) -> None:
    context.fleet.wait_until(lambda: _complete(context))


@when("the paused targets go on")
def resume_targets(context: Context) -> None:
    for target in _first_replicas(context):
        context.fleet.resume(target)


@then("all targets become usable and searches are complete")
def check_all_usable(context: Context) -> None:
    fleet = context.fleet
    for entry in fleet.entries:
        fleet.wait_until(
            lambda: fleet.status(entry)["services"][_SERVICE]["usable"]
            == len(fleet.targets)
        )
    assert _complete(context)
    _check_invariants(context)


@when("an instance that owns replicas is paused")
def pause_owner(context: Context) -> None:
    fleet = context.fleet
    assert _complete(context)
    owners = [
        entry
        for entry in fleet.entries
        if fleet.metric(entry, "lovagetray_ownership_moves_total")
    ]
    context.paused = owners[-1]
    context.other = [entry is context.paused for entry in fleet.entries].index(False)
    fleet.pause(context.paused)


@then("searches through another instance become complete again")
def check_other(context: Context) -> None:
    context.fleet.wait_until(lambda: _complete(context, context.other))


@when("the paused instance goes on")
def resume_owner(context: Context) -> None:
    context.fleet.resume(context.paused)


@then("searches through every instance become complete again")
def check_every(context: Context) -> None:
    for number in range(len(context.fleet.entries)):
        context.fleet.wait_until(lambda: _complete(context, number))
    _check_invariants(context)


@when("replica 0 of each shard is stopped in order during searches")
def drain(context: Context) -> None:
    assert _complete(context)
    for target in _first_replicas(context):
        context.fleet.stop_gracefully(target)
    context.results = []
    while any(one.process.poll() is None for one in _first_replicas(context)):
        context.results.append(_complete(context))


@then("no search was incomplete and the targets ended without failure")
def check_drained(context: Context) -> None:
    assert len(context.results) > 1 and all(context.results), context.results
    assert all(one.process.returncode == 0 for one in _first_replicas(context))
    _check_invariants(context)


@when("the replicas shed load in turn during searches")
def shed(context: Context) -> None:
    context.results = []
    for target in context.fleet.targets:
        context.fleet.control(target, fault="shed")
        context.results += [_complete(context) for _ in range(20)]
        context.fleet.control(target, fault="")


@then("no search was incomplete and a shed reply was counted")
def check_shed(context: Context) -> None:
    assert all(context.results), context.results
    assert _total(context, "lovagetray_sheds_total") >= 1
    _check_invariants(context)


@when("an instance that owns replicas is stopped in order during searches")
def stop_owner(context: Context) -> None:
    fleet = context.fleet
    assert _complete(context)
    moved = "lovagetray_ownership_moves_total"
    context.stopped = [one for one in fleet.entries if fleet.metric(one, moved)][-1]
    other = [entry is context.stopped for entry in fleet.entries].index(False)
    fleet.stop_gracefully(context.stopped)
    context.results = [_complete(context, other) for _ in range(50)]
    fleet.stop_gracefully(context.stopped)
    while context.stopped.process.poll() is None:
        context.results.append(_complete(context, other))


@then("no search was incomplete and the instance ended without failure")
def check_stopped(context: Context) -> None:
    assert all(context.results), context.results
    assert context.stopped.process.returncode == 0
