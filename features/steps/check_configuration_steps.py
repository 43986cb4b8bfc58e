"""Steps for the check of a routing document before it is sent."""

from copy import deepcopy
from json import dumps, loads
from pathlib import Path
from subprocess import CompletedProcess, run
from sys import executable
from typing import Any

from behave import given, then, when
from behave.runner import Context
from expression import Result
from hypothesis import given as given_data, settings, strategies

from lovagetray.cli.queries._check_configuration import _check_files
from lovagetray.cli.queries._findings_text import (
    FindingDocument,
    finding_line,
    report_documents,
)
from lovagetray.platform.formats import decode_document, unreadable_entries
from lovagetray.queries.configuration import Expectations, check_configuration
from lovagetray.state import document_problems

_FIELDS = {"severity", "kind", "entry", "name", "message"}


def _route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    route = {"Name": name, "Host": "h", "PathPrefix": prefix, "RouteType": "safe"}
    return route | {"TimeoutMs": 100, "TargetLatencyMs": 50} | fields


def _copy(**fields: Any) -> dict[str, Any]:
    return _route("copy", "/copy", Service="one") | fields


_DOCUMENT: dict[str, Any] = {
    "Version": 4,
    "Routes": [
        _route("all", "/", Service="one", MaxAttempts=3),
        _route(
            "split",
            "/split",
            TrafficSplit=[
                {"Service": "one", "Weight": 1},
                {"Service": "two", "Weight": 3},
            ],
        ),
        _route("shards", "/s", Gather=["one", "two"], TopK=5, MinCoverage=0.5),
    ],
    "Services": [{"Name": "one"}, {"Name": "two"}],
    "Limits": {},
    "Tenants": [
        {"Name": "acme", "ApiKeys": ["key-acme"], "RatePerS": 10, "BurstSize": 5},
        {"Name": "zeta", "ApiKeys": ["key-zeta"]},
    ],
}
_ROUTE_CHANGES: dict[str, dict[str, Any]] = {
    "a route has a time limit of 0": {"TimeoutMs": 0},
    "a route names another service": {"Service": "three"},
    "the target exceeds the limit": {"TargetLatencyMs": 200},
    "attempts exceed the replicas": {"MaxAttempts": 4},
    "a name has a line break": {"Name": "all\nerror: \x1b"},
}
_ADDED_ROUTES: dict[str, dict[str, Any]] = {
    "a route repeats another": {"PathPrefix": "/"},
    "a prefix is behind a catch-all": {"PathPrefix": ""},
    "a prefix has a query": {"PathPrefix": "/a?b"},
    "a prefix is not a path": {"PathPrefix": "copy"},
    "a host has a port": {"Host": "h:80"},
    "a host has a wildcard": {"Host": "*.h"},
}


@given("a configuration in order")
def set_configuration(context: Context) -> None:
    context.document = deepcopy(_DOCUMENT)
    context.file = context.folder / "new.json"
    context.in_force = context.folder / "old.json"
    context.in_force.write_text(dumps(_DOCUMENT | {"Version": 3}))
    context.source = None


@when("it is changed: {change}")
def change_configuration(context: Context, change: str) -> None:
    document = context.document
    route, split, shards = document["Routes"]
    acme, zeta = document["Tenants"]
    match change:
        case _ if change in _ROUTE_CHANGES:
            route |= _ROUTE_CHANGES[change]
        case _ if change in _ADDED_ROUTES:
            document["Routes"].append(_copy(**_ADDED_ROUTES[change]))
        case "nothing is changed":
            pass
        case "the routes are reversed":
            document["Routes"].reverse()
        case "the split is removed":
            document["Routes"].remove(split)
        case "a part has the weight 0":
            split["TrafficSplit"][1]["Weight"] = 0
        case "the coverage is 2":
            shards["MinCoverage"] = 2
        case "the top 0 records are asked for":
            shards["TopK"] = 0
        case "two workspaces share a key":
            zeta["ApiKeys"] = acme["ApiKeys"]
        case "a workspace has no keys":
            acme["ApiKeys"] = []
        case "there are no workspaces":
            document["Tenants"] = []
        case "the table is removed":
            del document["Tenants"]
        case "zeta is removed":
            document["Tenants"].remove(zeta)
        case "zeta gets a quota":
            zeta["RatePerS"] = 5
        case "keys are exchanged":
            acme["ApiKeys"] = ["key-2", "key-3"]
        case "a quota is 0.8 in a window":
            acme.update(RatePerS=0.16, BurstSize=0)
        case "a burst has no rate":
            acme["RatePerS"] = 0
        case "no route names a service":
            document["Services"].append({"Name": "extra"})
        case "a service is listed twice":
            document["Services"].append({"Name": "one"})
        case "heads may have 0 bytes":
            document["Limits"]["MaxHeaderBytes"] = 0
        case "the version is lower":
            document["Version"] = 1
            context.in_force.write_text(dumps(_DOCUMENT))
        case "three entries have a wrong type":
            split["TimeoutMs"] = "key-acme"
            acme["RatePerS"] = -1
            document["Services"][0]["MaxConnections"] = None
        case "the file is cut off":
            context.source = dumps(document).encode()[:-1]
        case "the file is missing":
            context.file = context.folder / "missing.json"
        case "the file is a folder":
            context.file = context.folder
        case "the file has 5,000,000 bytes":
            context.source = dumps(document).encode().ljust(5_000_000)
        case "the file nests 100,000 lists":
            context.source = b"[" * 100_000
        case "the file in force is missing":
            context.in_force = context.folder / "missing.json"
        case _:
            raise AssertionError(change)


@then("it has no findings, alone and against itself with a lower version")
def check_clean(context: Context) -> None:
    assert not _findings(context, against=False) and not _findings(context)


@then("the only findings are: {expected}")
def check_findings(context: Context, expected: str) -> None:
    found = [
        f"{finding['kind']} {finding['entry']} {finding['name']}".rstrip()
        for finding in _findings(context, against=False)
    ]
    assert sorted(found) == sorted(expected.split(", ")), found


@then("the differences are: {expected}")
def check_differences(context: Context, expected: str) -> None:
    found = []
    for finding in _findings(context):
        if finding["severity"] == "difference":
            where = f"{finding['kind']} {finding['entry']} {finding['name']}".rstrip()
            found.append(f"{where}: {finding['message']}")
    assert ("; ".join(found) or "none") == expected, found


@when("check-configuration reads it")
def run_command(context: Context) -> None:
    if context.source is None:
        context.source = dumps(context.document).encode()
    if not context.file.name.startswith("missing") and not context.file.is_dir():
        context.file.write_bytes(context.source)
    context.completed = _run_command(context.file, context.in_force)


@then("it exits with {code:d} and prints {count:d} findings, none with a key")
def check_command(context: Context, code: int, count: int) -> None:
    completed = context.completed
    assert completed.returncode == code, completed
    assert len(completed.stdout.splitlines()) == count, completed
    assert "key-" not in completed.stdout + completed.stderr, completed
    assert "Traceback" not in completed.stderr, completed


@then("as JSON it prints the same findings under the documented names")
def check_json(context: Context) -> None:
    completed = _run_command(context.file, context.in_force, "--json")
    assert completed.returncode == context.completed.returncode, completed
    assert "key-" not in completed.stdout + completed.stderr, completed
    document = loads(completed.stdout)
    assert document["file"] == str(context.file), document
    assert document["against"] == str(context.in_force), document
    assert all(finding.keys() == _FIELDS for finding in document["findings"]), document
    for severity in ("error", "warning", "difference"):
        found = [item["severity"] for item in document["findings"]]
        assert document[f"{severity}s"] == found.count(severity), document
    lines = [finding_line(finding) for finding in document["findings"]]
    assert lines == context.completed.stdout.splitlines(), lines


@then("any bytes have findings on single lines without a key, errors only if refused")
def check_any_bytes(context: Context) -> None:
    source = dumps(_DOCUMENT).encode()
    pieces = strategies.sampled_from(
        (b'"', b"{}", b"[1]", b"null", b"-1e999", b"1e308", b"0", b"\\n", b'"\\ud800"')
    ) | strategies.binary(max_size=5)

    @settings(max_examples=1000, deadline=None, database=None, derandomize=True)
    @given_data(strategies.data())
    def check(data: Any) -> None:
        start = data.draw(strategies.integers(0, len(source)))
        end = data.draw(strategies.integers(start, min(len(source), start + 40)))
        changed = source[:start] + data.draw(pieces) + source[end:]
        _check_bytes(context, changed)

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @given_data(strategies.binary())
    def check_binary(changed: bytes) -> None:
        _check_bytes(context, changed)

    check()
    check_binary()
    # At one of these depths the document is unreadable and each entry alone is not.
    for depth in range(800, 1000):
        nested = b'"x":' + b"[" * depth + b"]" * depth + b',"Name"'
        changed = source.replace(b'"Name"', nested)
        unreadable = _is_unreadable(changed)
        assert bool(unreadable_entries(changed)) == unreadable, depth


def _is_unreadable(source: bytes) -> bool:
    # A function of its own, because the depth of the call stack counts towards the
    # limit of nesting, and `unreadable_entries` calls the decoder at the same depth.
    return decode_document(source).is_error()


def _check_bytes(context: Context, source: bytes) -> None:
    context.file.write_bytes(source)
    report = _check_files(context.file, context.in_force, Expectations(replicas=3))
    for finding in report_documents(report):
        line = finding_line(finding)
        assert line.isprintable() and "key-" not in line + dumps(finding), line
    match decode_document(source):
        case Result(tag="ok", ok=document):
            refused = bool(document_problems(document))
        case _:
            refused = True
    assert bool(report.errors) == refused, report.errors


def _findings(context: Context, against: bool = True) -> list[FindingDocument]:
    document = decode_document(dumps(context.document).encode()).ok
    in_force = decode_document(context.in_force.read_bytes()).ok if against else None
    expectations = Expectations(replicas=3)
    return report_documents(check_configuration(document, in_force, expectations))


def _run_command(file: Path, in_force: Path, *options: str) -> CompletedProcess[str]:
    command = [executable, "-m", "lovagetray", "check-configuration", str(file)]
    return run(
        [*command, "--against", str(in_force), *options], capture_output=True, text=True
    )
