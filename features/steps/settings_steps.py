"""Steps that read and change settings through the routes of one instance."""

from datetime import datetime, timedelta
from typing import Any

from behave import given, step, then, when
from behave.runner import Context
from curio import run
from fakes.settings_harness import START, SettingsHarness

from lovagetray._log_entries import Proposal
from lovagetray._types import (
    Address,
    Announcement,
    Holding,
    Load,
    Snapshot,
    TargetState,
)
from lovagetray._violations import Violations
from lovagetray.queries.settings import announced_paths
from lovagetray.state import (
    Audit,
    AuditAnchor,
    AuditEntry,
    ChangeSettings,
    Origin,
    SettingsSnapshot,
    SettingsState,
    SetValue,
    TargetDirectory,
    verify_chain,
)
from lovagetray.state._audit import entry_hash
from lovagetray.wire import (
    decode_settings_snapshot,
    encode_settings_command,
    encode_settings_snapshot,
    parse_ini,
)

_ORIGIN = Origin("aino", "10.0.0.7", "direct", "")


@given("an empty settings tree")
def create_empty_tree(context: Context) -> None:
    context.harness = SettingsHarness()


@given('the setting "{key}" is "{value}" at "{path}"')
@step('an operator sets "{key}" to "{value}" at "{path}"')
def set_value(context: Context, key: str, value: str, path: str) -> None:
    context.harness.change([{"path": path, "key": key, "value": value}])


@when('"{operator}" sets "{key}" to "{value}" at "{path}" against revision {base:d}')
def set_against(
    context: Context, operator: str, key: str, value: str, path: str, base: int
) -> None:
    document = {"base": base, "changes": [{"path": path, "key": key, "value": value}]}
    token = f"Bearer {operator}-token"
    context.harness.call("POST", "/v1/settings/change", document, token)


@step(
    'request "{request}" sets "{key}" to "{value}" at "{path}" '
    "against revision {base:d}"
)
def set_with_request_id(
    context: Context, request: str, key: str, value: str, path: str, base: int
) -> None:
    changes = [{"path": path, "key": key, "value": value}]
    context.harness.change(changes, base=base, request_id=request)


@given('the log holds the value "{value}" of the unknown key "{key}" at "{path}"')
def log_unknown_key(context: Context, value: str, key: str, path: str) -> None:
    command = ChangeSettings(_ORIGIN, 0, (SetValue(path, key, value),))
    body = encode_settings_command(command)
    assert run(context.harness.proposer.propose, Proposal("x", START, body)).is_ok()


@when("an operator imports")
def import_text(context: Context) -> None:
    _import(context, parse_ini(context.text).ok)


@when("an operator imports {branches:d} branches with {values:d} values each")
def import_many(context: Context, branches: int, values: int) -> None:
    texts = dict(
        [
            ("hedge.budget", "5"),
            ("retry.budget", "5"),
            ("search.policy", "cost"),
            ("target.ramp", "1s"),
            ("target.lifetime", "3s"),
            ("admission.queries", "9"),
        ][:values]
    )
    _import(context, {f"/u/s{number}": texts for number in range(branches)})


@when("an operator rolls back to revision {revision:d}")
def roll_back(context: Context, revision: int) -> None:
    document = {"base": context.harness.state.tree.revision, "to_revision": revision}
    context.harness.call("POST", "/v1/settings/rollback", document)


@given('the known paths "{paths}"')
def set_known_paths(context: Context, paths: str) -> None:
    context.harness.announced_paths = set(paths.split())


@given('a target of "{service}" in "{data_centre}" was announced')
def announce(context: Context, service: str, data_centre: str) -> None:
    directory = TargetDirectory(timedelta(seconds=3))
    holding = Holding(Snapshot(1, "a", 1), 0)
    location = (data_centre, Address("127.0.0.1", 1), TargetState.READY, (holding,))
    capacity = (5, 40, timedelta(0), Load(0, 0))
    announcement = Announcement(service, "t-1", 1, 1, *location, *capacity)
    assert directory.accept(announcement, timedelta(0)).is_ok()
    context.harness.announced_paths = announced_paths(directory)


@when('an operator sets "{key}" at "{path}" to "{value}" in a dry run')
def set_in_dry_run(context: Context, key: str, path: str, value: str) -> None:
    changes = [{"path": path, "key": key, "value": value}]
    context.harness.change(changes, dry_run=True)


@when("an entry with index {index:d} is applied again")
def apply_again(context: Context, index: int) -> None:
    command = ChangeSettings(_ORIGIN, 1, (SetValue("/", "hedge.budget", "9"),))
    context.harness.state.apply(index, START, command)


@when("a snapshot of revision 0 is restored")
def restore_empty(context: Context) -> None:
    context.harness.state.restore(SettingsState(Violations()).snapshot())


@when("the state is encoded, decoded and restored in another state")
def restore_other_state(context: Context) -> None:
    body = encode_settings_snapshot(context.harness.state.snapshot())
    context.restored = SettingsState(Violations())
    context.restored.restore(decode_settings_snapshot(body).ok)


@then("both states remain equal after another change")
def check_states_equal(context: Context) -> None:
    snapshots = []
    for state in (context.harness.state, context.restored):
        command = ChangeSettings(_ORIGIN, 1, (SetValue("/u", "hedge.budget", "1"),))
        state.apply(9, START, command)
        assert state.audit.verify() == ()
        snapshots.append(state.snapshot())
    first, second = snapshots
    assert isinstance(first, SettingsSnapshot) and first == second, (first, second)


@then("the request is accepted")
def check_accepted(context: Context) -> None:
    assert context.harness.status == 200, context.harness.answer


@then("the request is accepted as revision {revision:d}")
def check_revision(context: Context, revision: int) -> None:
    assert context.harness.status == 200, context.harness.answer
    assert context.harness.answer["revision"] == revision, context.harness.answer


@then('the request is refused with problem codes "{codes}"')
def check_problems(context: Context, codes: str) -> None:
    error = _error(context, 400, "refused_settings")
    problem_codes = sorted(problem["code"] for problem in error["problems"])
    assert problem_codes == codes.split(), error


@then('the problem is at "{path}"')
def check_problem_path(context: Context, path: str) -> None:
    problems = context.harness.answer["error"]["problems"]
    assert [problem["path"] for problem in problems] == [path], problems


@then('the request fails with status {status:d} and code "{code}"')
def check_failure(context: Context, status: int, code: str) -> None:
    _error(context, status, code)


@then('the winner is revision {revision:d} by "{operator}" at "{at}"')
def check_winner(context: Context, revision: int, operator: str, at: str) -> None:
    winner = context.harness.answer["error"]["winner"]
    assert winner["revision"] == revision, winner
    assert winner["operator"] == operator, winner
    assert datetime.fromisoformat(winner["at"]) == datetime.fromisoformat(at), winner


@then("revision {revision:d} is in force")
def check_in_force(context: Context, revision: int) -> None:
    assert context.harness.state.tree.revision == revision


@then('"{key}" is "{value}" at "{path}"')
def check_value(context: Context, key: str, value: str, path: str) -> None:
    answer = context.harness.call("GET", "/v1/settings/value", path=path, key=key)
    assert answer["text"] == value, answer


@then("the log holds {count:d} entries")
def check_entries(context: Context, count: int) -> None:
    assert context.harness.proposer.index == count, context.harness.proposer.index


@then("the audit trail holds {refused:d} refused and {accepted:d} accepted requests")
def check_audit(context: Context, refused: int, accepted: int) -> None:
    page = context.harness.call("GET", "/v1/audit")
    codes = [entry["refusal"] for entry in page["entries"]]
    assert (len(codes) - codes.count(""), codes.count("")) == (refused, accepted), page
    for entry in page["entries"]:
        assert entry["address"] == "10.0.0.7" and entry["request_id"], entry
        assert bool(entry["reasons"]) == bool(entry["refusal"]), entry
    assert page["faults"] == [], page


@then('the values that would change are at "{paths}"')
def check_dry_run(context: Context, paths: str) -> None:
    effects = context.harness.answer["effects"]
    assert [effect["path"] for effect in effects] == paths.split(), effects


@then('the violations are "{codes}"')
def check_violations(context: Context, codes: str) -> None:
    reported = [violation.code for violation in context.harness.violations.found]
    assert reported == codes.split(), reported


@given("an audit trail of {count:d} entries that keeps {kept:d}")
def create_audit_trail(context: Context, count: int, kept: int) -> None:
    audit = Audit(max_entries=kept)
    for number in range(count):
        fields: list[Any] = [START, "aino", "::1", f"r-{number}", number, "change"]
        audit.append(AuditEntry(0, *fields, (), "", (), "", ""))
    context.anchor, entries = audit.snapshot()
    context.entries = {entry.sequence: entry for entry in entries}
    assert len(entries) == kept and audit.verify() == ()


@when("entry {sequence:d} is {fault}")
def damage_chain(context: Context, sequence: int, fault: str) -> None:
    entry = context.entries[sequence]
    match fault:
        case "removed":
            del context.entries[sequence]
        case "removed and its neighbours linked":
            del context.entries[sequence]
            successor = context.entries[sequence + 1]._replace(previous=entry.previous)
            context.entries[sequence + 1] = successor._replace(
                hash=entry_hash(successor)
            )
        case "edited":
            context.entries[sequence] = entry._replace(operator="nikos")
        case "edited and its hash replaced":
            edited = entry._replace(operator="nikos")
            context.entries[sequence] = edited._replace(hash=entry_hash(edited))


@then('the audit trail has a fault at entry "{found:d}"')
def check_fault(context: Context, found: int) -> None:
    faults = verify_chain(AuditAnchor(*context.anchor), context.entries.values())
    assert [fault.sequence for fault in faults] == [found], faults


@then('the audit trail has a fault at entry ""')
def check_no_fault(context: Context) -> None:
    assert not verify_chain(context.anchor, context.entries.values())


def _import(context: Context, branches: Any) -> None:
    document = {"base": context.harness.state.tree.revision, "branches": branches}
    context.harness.call("POST", "/v1/settings/import", document)


def _error(context: Context, status: int, code: str) -> Any:
    """Return the error of the last answer after a check of its status and code."""
    harness = context.harness
    assert harness.status == status, (harness.status, harness.answer)
    assert harness.answer["error"]["code"] == code, harness.answer
    assert harness.answer["error"]["not_run"] is True, harness.answer
    return harness.answer["error"]
