"""Compares a routing document with the one in force."""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Protocol, TypeVar

from lovagetray._routing_types import (
    CallerLimits,
    Route,
    RoutingDocument,
    ServiceSpec,
    Workspace,
)
from lovagetray.queries.configuration._findings import (
    Difference,
    EntryAdded,
    EntryChanged,
    EntryKind,
    EntryRemoved,
    FieldValue,
    KeysChanged,
    QuotaLowered,
    VersionNotHigher,
)


class _Named(Protocol):
    @property
    def name(self) -> str: ...


_Entry = TypeVar("_Entry", bound=_Named)
_Pair = tuple[str, _Entry | None, _Entry | None]
_AnyEntry = Route | ServiceSpec | Workspace | CallerLimits


def find_differences(
    old: RoutingDocument, new: RoutingDocument
) -> Iterator[Difference]:
    """Find what a new document changes; the order of entries does not matter.

    Parameters
    ----------
    old
        The document in force.
    """
    if new.version <= old.version:
        yield VersionNotHigher(old.version, new.version)
    needed_keys, needs_keys = old.workspaces is not None, new.workspaces is not None
    if needed_keys != needs_keys:
        yield EntryChanged(
            EntryKind.DOCUMENT, "", "has_workspaces", needed_keys, needs_keys
        )
    yield from _entry_differences(EntryKind.ROUTE, old.routes, new.routes)
    yield from _entry_differences(EntryKind.SERVICE, old.services, new.services)
    yield from _workspace_differences(old.workspaces or (), new.workspaces or ())
    yield from _field_differences(EntryKind.LIMITS, "", old.limits, new.limits)


def _entry_differences(
    kind: EntryKind,
    old: Sequence[Route | ServiceSpec],
    new: Sequence[Route | ServiceSpec],
) -> Iterator[Difference]:
    for name, before, after in _pairs(old, new):
        if before is None:
            yield EntryAdded(kind, name)
        elif after is None:
            yield EntryRemoved(kind, name)
        else:
            yield from _field_differences(kind, name, before, after)


def _workspace_differences(
    old: Sequence[Workspace], new: Sequence[Workspace]
) -> Iterator[Difference]:
    for name, before, after in _pairs(old, new):
        if before is None:
            yield EntryAdded(EntryKind.WORKSPACE, name)
        elif after is None:
            yield EntryRemoved(EntryKind.WORKSPACE, name)
        else:
            yield from _field_differences(EntryKind.WORKSPACE, name, before, after)
            yield from _quota_differences(before, after)
        old_keys = set() if before is None else set(before.keys)
        new_keys = set() if after is None else set(after.keys)
        if old_keys != new_keys:
            yield KeysChanged(name, len(new_keys - old_keys), len(old_keys - new_keys))


def _quota_differences(old: Workspace, new: Workspace) -> Iterator[Difference]:
    """Find changes of the rate and burst of a workspace; a rate of 0 is unlimited."""
    rate_lowered = new.rate > 0 and (old.rate == 0 or new.rate < old.rate)
    burst_lowered = old.rate > 0 and new.rate > 0 and new.burst < old.burst
    for field, before, after, lowered in (
        ("rate", old.rate, new.rate, rate_lowered),
        ("burst", old.burst, new.burst, burst_lowered),
    ):
        if lowered:
            yield QuotaLowered(new.name, field, before, after)
        elif before != after:
            yield EntryChanged(EntryKind.WORKSPACE, new.name, field, before, after)


def _field_differences(
    kind: EntryKind, name: str, old: _AnyEntry, new: _AnyEntry
) -> Iterator[EntryChanged]:
    old_fields, new_fields = _fields(old), _fields(new)
    for field, before in old_fields.items():
        if before != new_fields[field]:
            yield EntryChanged(kind, name, field, before, new_fields[field])


def _fields(entry: _AnyEntry) -> dict[str, FieldValue]:
    """Return the fields to compare one by one.

    The keys of a workspace are counted only, and its quota has a finding of its own.
    """
    match entry:
        case Workspace(priority=priority):
            return {"priority": priority}
        case _:
            return entry._asdict()


def _pairs(old: Sequence[_Entry], new: Sequence[_Entry]) -> Iterator[_Pair[_Entry]]:
    """Return the entries of the same name in two documents, in the order of names."""
    before, after = _by_name(old), _by_name(new)
    for key in sorted(before.keys() | after.keys()):
        yield key[0], before.get(key), after.get(key)


def _by_name(entries: Sequence[_Entry]) -> dict[tuple[str, int], _Entry]:
    """Return entries by their name and their position among those of this name.

    Names of routes need not be unique.
    """
    positions: Counter[str] = Counter()
    keyed = {}
    for entry in entries:
        keyed[entry.name, positions[entry.name]] = entry
        positions[entry.name] += 1
    return keyed
