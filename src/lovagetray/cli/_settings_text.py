"""Text output for documents of the administration interface."""

from collections.abc import Iterable, Sequence

from lovagetray.wire import (
    AcceptedDocument,
    AuditDocument,
    AuditEntryDocument,
    DiffDocument,
    DifferenceDocument,
    DryRunDocument,
    EffectiveValuesDocument,
    ExplanationDocument,
    HistoryDocument,
    ValueDocument,
)


def effective_values_text(document: EffectiveValuesDocument) -> str:
    """Return the values in force at a branch as a table."""
    lines = [f"{document['path']} at revision {document['revision']}"]
    rows = [
        (item["key"], item["text"], _source(item["source"]))
        for item in document["values"]
    ]
    lines += _table(rows)
    if document["below"]:
        lines.append("branches below: " + " ".join(document["below"]))
    return _join(lines)


def value_text(document: ValueDocument) -> str:
    """Return a value as one line."""
    return document["text"] + "\n"


def explanation_text(document: ExplanationDocument) -> str:
    """Return a value, its default and what each branch from the root down sets."""
    lines = [
        f"{document['key']} = {document['text']} at {document['path']}, "
        f"{_source(document['source'])}, revision {document['revision']}"
    ]
    rows = [("default", document["default"])]
    rows += [
        (step["path"], "not set" if step["text"] is None else step["text"])
        for step in document["steps"]
    ]
    return _join([*lines, *_table(rows)])


def diff_text(document: DiffDocument) -> str:
    """Return the keys whose values differ between two revisions."""
    lines = [f"from revision {document['old']} to {document['new']}"]
    return _join([*lines, *_difference_lines(document["differences"])])


def history_text(document: HistoryDocument) -> str:
    """Return the revisions and their changes, the newest first."""
    lines = [f"revision {document['revision']} is in force"]
    for revision in document["revisions"]:
        lines.append(
            f"{revision['number']}  {revision['at'].isoformat()}  "
            f"{revision['operator']}  {revision['action']}  {revision['request_id']}"
        )
        lines += _difference_lines(revision["differences"])
    return _join(lines)


def accepted_text(document: AcceptedDocument) -> str:
    """Return the revision that an accepted change made and its differences."""
    lines = [f"accepted as revision {document['revision']}"]
    return _join([*lines, *_difference_lines(document["differences"])])


def dry_run_text(document: DryRunDocument) -> str:
    """Return what a change would set and which values in force would change."""
    lines = [f"dry run against revision {document['revision']}; would set:"]
    lines += _difference_lines(document["differences"])
    lines.append("values in force that would change:")
    rows = [
        (effect["path"], effect["key"], f"{effect['old']} -> {effect['new']}")
        for effect in document["effects"]
    ]
    return _join([*lines, *(_table(rows) or ["  none"])])


def audit_text(document: AuditDocument) -> str:
    """Return audit entries, the newest first, and breaks in their hash chain."""
    lines = []
    for entry in document["entries"]:
        lines.append(_entry_line(entry))
        lines += _difference_lines(entry["differences"])
        lines += [f"  reason: {reason}" for reason in entry["reasons"]]
    for fault in document["faults"]:
        lines.append(f"BROKEN CHAIN at entry {fault['sequence']}: {fault['reason']}")
    return _join(lines)


def _entry_line(entry: AuditEntryDocument) -> str:
    result = entry["refusal"] or f"revision {entry['revision']}"
    return (
        f"{entry['sequence']}  {entry['at'].isoformat()}  {entry['operator']} from "
        f"{entry['address']}  {entry['action']}  {result}  {entry['request_id']}"
    )


def _difference_lines(differences: Iterable[DifferenceDocument]) -> list[str]:
    rows = [
        (
            difference["path"],
            difference["key"],
            f"{_text(difference['old'])} -> {_text(difference['new'])}",
        )
        for difference in differences
    ]
    return _table(rows)


def _text(value: str | None) -> str:
    return "not set" if value is None else value


def _source(source: str | None) -> str:
    return "by default" if source is None else f"set at {source}"


def _table(rows: Sequence[Sequence[str]]) -> list[str]:
    """Return rows as lines with aligned columns and unprintable characters escaped."""
    safe = [[_printable(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*safe)]
    return ["  " + "  ".join(map(str.ljust, row, widths)).rstrip() for row in safe]


def _printable(text: str) -> str:
    return text if text.isprintable() else ascii(text)


def _join(lines: Iterable[str]) -> str:
    return "".join(_printable(line) + "\n" for line in lines)
