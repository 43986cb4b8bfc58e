"""Text of the findings about a routing document."""

from datetime import timedelta
from typing import TypedDict

from lovagetray._routing_types import (
    GatherShards,
    OneService,
    RetrySafety,
    TrafficSplit,
)
from lovagetray.queries.configuration import (
    AttemptsAboveReplicas,
    BurstWithoutRate,
    ConfigurationError,
    ConfigurationReport,
    Contradiction,
    Difference,
    EmptyAnswer,
    EntryAdded,
    EntryChanged,
    EntryKind,
    EntryRemoved,
    FieldValue,
    InvalidEntry,
    KeysChanged,
    QuotaBelowOne,
    QuotaLowered,
    ReplacedService,
    RouteWithoutCallers,
    ShadowedRoute,
    TargetAboveTimeLimit,
    UnmatchableHost,
    UnmatchablePrefix,
    UnmatchedEntry,
    UnreachableCoverage,
    UnusableFile,
    UnusableLimit,
    UnusedPart,
    UnusedService,
    VersionNotHigher,
    WorkspaceWithoutKeys,
)


class FindingDocument(TypedDict):
    """A finding as it is printed with ``--json``.

    Parameters
    ----------
    entry
        The kind of entry that the finding is about, or ``file``.
    name
        Name of the entry; empty if the finding is about the whole document.
    """

    severity: str
    kind: str
    entry: str
    name: str
    message: str


class _Text(TypedDict):
    entry: str
    name: str
    message: str


def report_documents(report: ConfigurationReport) -> list[FindingDocument]:
    """Return the findings of a report: errors, warnings and differences."""
    return [
        *(_finding("error", item.code, _error_text(item)) for item in report.errors),
        *(
            _finding("warning", item.code, _unmatched_text(item))
            for item in report.unmatched
        ),
        *(
            _finding("warning", item.code, _contradiction_text(item))
            for item in report.contradictions
        ),
        *(
            _finding("difference", item.code, _difference_text(item))
            for item in report.differences
        ),
    ]


def finding_line(finding: FindingDocument) -> str:
    """Return the line of a finding; names in it have no control characters."""
    name = finding["name"]
    where = finding["entry"] + (f" {name!r}" if name else "")
    return f"{finding['severity']}: {finding['kind']}: {where}: {finding['message']}"


def _finding(severity: str, kind: str, text: _Text) -> FindingDocument:
    return {"severity": severity, "kind": kind, **text}


def _error_text(error: ConfigurationError) -> _Text:
    match error:
        case UnusableFile(file=file, reason=reason):
            return _Text(entry="file", name=file, message=reason)
        case InvalidEntry(problem=problem):
            return _text(EntryKind.DOCUMENT, "", problem)


def _unmatched_text(finding: UnmatchedEntry) -> _Text:
    match finding:
        case ShadowedRoute(route=name, by=by):
            return _route_text(name, f"route {by!r} gets all its requests")
        case UnmatchableHost(route=name, host=host):
            return _route_text(name, f"no request has the host {host!r}")
        case UnmatchablePrefix(route=name, prefix=prefix):
            return _route_text(name, f"no path starts with {prefix!r}")
        case RouteWithoutCallers(route=name):
            return _route_text(name, "requests need a key, and no workspace has one")
        case UnusedPart(route=name, service=service, weight=weight):
            message = f"service {service!r} gets no requests, its weight is {weight:g}"
            return _route_text(name, message)
        case WorkspaceWithoutKeys(workspace=name):
            return _text(EntryKind.WORKSPACE, name, "it has no keys")
        case UnusedService(service=name):
            return _text(EntryKind.SERVICE, name, "no route names it")
        case ReplacedService(service=name, entries=entries):
            message = f"it has {entries} entries, and only the last one is used"
            return _text(EntryKind.SERVICE, name, message)


def _contradiction_text(finding: Contradiction) -> _Text:
    match finding:
        case TargetAboveTimeLimit(route=name, target_latency=target, time_limit=limit):
            return _route_text(
                name,
                f"the time limit of {_value_text(limit)} is below the target latency "
                f"of {_value_text(target)}",
            )
        case AttemptsAboveReplicas(route=name, attempts=attempts, replicas=replicas):
            message = f"{attempts} attempts are more than {replicas} replicas"
            return _route_text(name, message)
        case UnreachableCoverage(route=name, min_coverage=coverage):
            message = f"the minimum coverage {coverage:g} is not from 0 to 1"
            return _route_text(name, message)
        case EmptyAnswer(route=name):
            return _route_text(name, "its answers may contain no record")
        case QuotaBelowOne(workspace=name, quota=quota, window=window):
            return _text(
                EntryKind.WORKSPACE,
                name,
                f"its quota is {quota:g} requests in {window.total_seconds():g} s",
            )
        case BurstWithoutRate(workspace=name, burst=burst):
            message = f"its burst of {burst:g} has no effect, it has no rate"
            return _text(EntryKind.WORKSPACE, name, message)
        case UnusableLimit(limit=limit_name):
            message = f"no request can be served with {limit_name} 0"
            return _text(EntryKind.LIMITS, "", message)


def _difference_text(finding: Difference) -> _Text:
    match finding:
        case VersionNotHigher(old=old_version, new=new_version):
            message = (
                f"version {new_version} is not above {old_version}, the document would "
                "have no effect"
            )
            return _text(EntryKind.DOCUMENT, "", message)
        case EntryAdded(entry=entry, name=name):
            return _text(entry, name, "added")
        case EntryRemoved(entry=entry, name=name):
            return _text(entry, name, "removed")
        case EntryChanged(entry=entry, name=name, field=field, old=old, new=new):
            message = f"{field} changes from {_value_text(old)} to {_value_text(new)}"
            return _text(entry, name, message)
        case QuotaLowered(workspace=name, field=field, old=before, new=after):
            # Only a rate of 0 can be lowered, as it is no limit.
            old_text = _value_text(before) if before else "unlimited"
            message = f"{field} is lowered from {old_text} to {_value_text(after)}"
            return _text(EntryKind.WORKSPACE, name, message)
        case KeysChanged(workspace=name, added=added, removed=removed):
            message = f"keys added: {added}, keys removed: {removed}"
            return _text(EntryKind.WORKSPACE, name, message)


def _text(entry: EntryKind, name: str, message: str) -> _Text:
    return _Text(entry=entry.value, name=name, message=message)


def _route_text(name: str, message: str) -> _Text:
    return _text(EntryKind.ROUTE, name, message)


def _value_text(value: FieldValue) -> str:
    match value:
        case None:
            return "none"
        case bool():
            return str(value).lower()
        case timedelta():
            return f"{value / timedelta(milliseconds=1):.15g} ms"
        case float():
            return f"{value:.15g}"
        case int():
            return str(value)
        case str():
            return repr(value)
        case RetrySafety():
            return value.value
        case OneService(service=service):
            return f"service {service!r}"
        case TrafficSplit(weighted_services=weighted_services):
            parts = [f"{name!r} {weight:.15g}" for name, weight in weighted_services]
            return f"split {', '.join(parts)}"
        case GatherShards(shards=shards, top_k=top_k, min_coverage=coverage):
            names = ", ".join(repr(shard) for shard in shards)
            return f"shards {names} (top {top_k}, coverage {coverage:.15g})"
