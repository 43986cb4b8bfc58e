"""Steps that make processes of targets and owners fail."""

from typing import Any

from behave import then, when
from behave.runner import Context

_SERVICE = "kallioniemi/invoices"


def _search_is_complete(context: Context, number: int = 0) -> bool:
    """Return whether a search through an instance includes all shards."""
    document = {"service": _SERVICE, "terms": "wedding album", "deadline_ms": 2000}
    port = context.fleet.entries[number].http_port
    coverage = context.fleet.post(port, "/v1/search", document)["coverage"]
    return len(coverage["included"]) == coverage["shards"]


def _first_replicas(context: Context) -> list[Any]:
    return [target for target in context.fleet.targets if target.name.endswith("-0")]


def _metric_total(context: Context, metric: str) -> float:
    fleet = context.fleet
    total: float = sum(fleet.metric(entry, metric) for entry in fleet.entries)
    return total


def _check_invariants(context: Context) -> None:
    assert not _metric_total(context, "lovagetray_invariant_violations_total")


@when("searches have opened connections and reused connections go silent")
def silence_reused(context: Context) -> None:
    for _ in range(20):
        assert _search_is_complete(context)
    for target in context.fleet.targets:
        context.fleet.control(target, fault="silent_reused")


@then("every search is complete and a silent connection was counted")
def check_silence_tolerated(context: Context) -> None:
    for _ in range(5):
        assert _search_is_complete(context)
    assert _metric_total(context, "lovagetray_silent_connections_total") >= 1
    _check_invariants(context)


@when("replica 0 of each shard is paused")
def pause_targets(context: Context) -> None:
    assert _search_is_complete(context)
    for target in _first_replicas(context):
        context.fleet.pause(target)


@then("searches become complete again")
def check_complete_again(context: Context) -> None:
    context.fleet.wait_until(lambda: _search_is_complete(context))


@when("the paused targets resume")
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
    assert _search_is_complete(context)
    _check_invariants(context)


@when("an instance that owns replicas is paused")
def pause_owner(context: Context) -> None:
    fleet = context.fleet
    assert _search_is_complete(context)
    owners = [
        entry
        for entry in fleet.entries
        if fleet.metric(entry, "lovagetray_ownership_moves_total")
    ]
    context.paused = owners[-1]
    context.other = [entry is context.paused for entry in fleet.entries].index(False)
    fleet.pause(context.paused)


@then("searches through another instance become complete again")
def check_other_instance(context: Context) -> None:
    context.fleet.wait_until(lambda: _search_is_complete(context, context.other))


@when("the paused instance resumes")
def resume_owner(context: Context) -> None:
    context.fleet.resume(context.paused)


@then("searches through every instance become complete again")
def check_every_instance(context: Context) -> None:
    for number in range(len(context.fleet.entries)):
        context.fleet.wait_until(lambda: _search_is_complete(context, number))
    _check_invariants(context)


@when("replica 0 of each shard is stopped gracefully during searches")
def stop_targets(context: Context) -> None:
    assert _search_is_complete(context)
    for target in _first_replicas(context):
        context.fleet.terminate(target)
    context.results = []
    while any(target.process.poll() is None for target in _first_replicas(context)):
        context.results.append(_search_is_complete(context))


@then("no search was incomplete and the targets exited without failure")
def check_drained(context: Context) -> None:
    assert len(context.results) > 1 and all(context.results), context.results
    assert all(target.process.returncode == 0 for target in _first_replicas(context))
    _check_invariants(context)


@when("the replicas shed load in turn during searches")
def shed_in_turn(context: Context) -> None:
    context.results = []
    for target in context.fleet.targets:
        context.fleet.control(target, fault="shed")
        context.results += [_search_is_complete(context) for _ in range(20)]
        context.fleet.control(target, fault="")


@then("no search was incomplete and a shed reply was counted")
def check_shed(context: Context) -> None:
    assert all(context.results), context.results
    assert _metric_total(context, "lovagetray_sheds_total") >= 1
    _check_invariants(context)


@when("an instance that owns replicas is stopped gracefully during searches")
def stop_owner(context: Context) -> None:
    fleet = context.fleet
    assert _search_is_complete(context)
    moves = "lovagetray_ownership_moves_total"
    context.owner = [entry for entry in fleet.entries if fleet.metric(entry, moves)][-1]
    other_number = [entry is context.owner for entry in fleet.entries].index(False)
    fleet.terminate(context.owner)
    context.results = [_search_is_complete(context, other_number) for _ in range(50)]
    fleet.terminate(context.owner)
    while context.owner.process.poll() is None:
        context.results.append(_search_is_complete(context, other_number))


@then("no search was incomplete and the instance exited without failure")
def check_stopped(context: Context) -> None:
    assert all(context.results), context.results
    assert context.owner.process.returncode == 0
