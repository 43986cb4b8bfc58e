"""Settings as a state machine that applies the entries of the replicated log."""

from collections import deque
from datetime import datetime, timezone
from typing import NamedTuple

from expression import Error, Ok, Result

from lovagetray._settings_errors import (
    RefusedSettings,
    RevisionConflict,
    UnknownRevision,
)
from lovagetray._violations import RevisionFell, Violations
from lovagetray.state._audit import Audit, AuditEntry, AuditSnapshot
from lovagetray.state._settings_commands import (
    Accepted,
    Action,
    Branches,
    Change,
    ChangeSettings,
    Difference,
    ImportTree,
    Origin,
    RecordRefusal,
    Refused,
    RefusedOutcome,
    RollBack,
    SettingsCommand,
    SettingsOutcome,
    SetValue,
    UnsetValue,
)
from lovagetray.state._settings_tree import SettingsTree

# Limits of the history: 2,000 revisions are one hour of the 48,000 changes per day that
# are expected within two years, and take about 1 MB at one difference each.
MAX_REVISIONS = 2_000
MAX_HISTORY_DIFFERENCES = 30_000

_EPOCH = datetime(1970, 1, 1, tzinfo=timezone.utc)


class Revision(NamedTuple):
    """The history record of one revision: who made it, and its differences."""

    number: int
    at: datetime
    operator: str
    request_id: str
    action: str
    differences: tuple[Difference, ...]


class SettingsSnapshot(NamedTuple):
    """The contents of a `SettingsState`.

    Parameters
    ----------
    oldest
        Oldest revision whose tree can be rebuilt.
    """

    revision: int
    branches: Branches
    oldest: int
    history: tuple[Revision, ...]
    audit: AuditSnapshot


class SettingsState:
    """The settings tree in force, its history and the audit trail.

    The result of `apply` depends only on the log: revisions are log indexes, times are
    those of the entries. The table of keys is not used, so that instances of different
    releases keep equal states; the commands validate before they propose. Older trees
    are rebuilt by undoing differences, so that the history takes little memory.

    Parameters
    ----------
    violations
        Where a decreasing revision is reported.
    max_revisions
        Maximum number of revisions in the history.
    """

    def __init__(
        self, violations: Violations, max_revisions: int = MAX_REVISIONS
    ) -> None:
        self._violations = violations
        self._max_revisions = max_revisions
        self._tree = SettingsTree()
        self._oldest = 0
        self._history: deque[Revision] = deque()
        self._difference_count = 0
        self._audit = Audit()

    @property
    def tree(self) -> SettingsTree:
        """The tree in force."""
        return self._tree

    @property
    def history(self) -> tuple[Revision, ...]:
        """The revisions that are kept, oldest first."""
        return tuple(self._history)

    @property
    def audit(self) -> Audit:
        """The audit trail."""
        return self._audit

    def tree_at(self, revision: int) -> Result[SettingsTree, UnknownRevision]:
        """Return the tree of a revision, or `UnknownRevision` if it is not kept."""
        kept_numbers = {self._oldest, *(kept.number for kept in self._history)}
        if revision not in kept_numbers:
            return Error(UnknownRevision(revision, self._oldest))
        undo: list[Change] = []
        for later in reversed(self._history):
            if later.number <= revision:
                break
            undo.extend(_inverse(difference) for difference in later.differences)
        return Ok(self._tree.changed_by(undo, revision))

    def conflict(self, base: int) -> RevisionConflict:
        """Return the failure of a change against `base`, with the revision in force."""
        if not self._history:
            return RevisionConflict(base, self._tree.revision, "nobody", _EPOCH)
        newest = self._history[-1]
        return RevisionConflict(base, newest.number, newest.operator, newest.at)

    def apply(
        self, index: int, at: datetime, command: SettingsCommand
    ) -> SettingsOutcome:
        """Apply a committed command and return its outcome.

        Parameters
        ----------
        index, at
            Index and time of the log entry of the command.
        """
        if index <= self._tree.revision:
            self._violations.report(RevisionFell(self._tree.revision, index))
            failure = self.conflict(index)
            return Refused(command.origin.fingerprint, failure)
        match command:
            case ChangeSettings(origin=origin, base=base, changes=changes):
                after = self._tree.changed_by(changes, index)
                if base != self._tree.revision:
                    requested = self._tree.differences(after)
                    failure = self.conflict(base)
                    return self._refuse(at, origin, Action.CHANGE, failure, requested)
                return self._accept(at, origin, Action.CHANGE, after)
            case ImportTree(origin=origin, base=base, branches=branches):
                after = SettingsTree(index, branches)
                if base != self._tree.revision:
                    requested = self._tree.differences(after)
                    failure = self.conflict(base)
                    return self._refuse(at, origin, Action.IMPORT, failure, requested)
                return self._accept(at, origin, Action.IMPORT, after)
            case RollBack():
                return self._roll_back(index, at, command)
            case RecordRefusal(
                origin=origin,
                action=action,
                failure=validation_failure,
                asked=requested,
            ):
                return self._refuse(at, origin, action, validation_failure, requested)

    def snapshot(self) -> SettingsSnapshot:
        """Return the contents of this state."""
        return SettingsSnapshot(
            revision=self._tree.revision,
            branches=self._tree.branches,
            oldest=self._oldest,
            history=self.history,
            audit=self._audit.snapshot(),
        )

    def restore(self, snapshot: SettingsSnapshot) -> None:
        """Replace the contents by those of a snapshot, unless its revision is lower."""
        if snapshot.revision < self._tree.revision:
            violation = RevisionFell(self._tree.revision, snapshot.revision)
            self._violations.report(violation)
            return
        self._tree = SettingsTree(snapshot.revision, snapshot.branches)
        self._oldest = snapshot.oldest
        self._history = deque(snapshot.history)
        self._difference_count = sum(
            len(revision.differences) for revision in self._history
        )
        self._audit.restore(snapshot.audit)

    def _roll_back(
        self, index: int, at: datetime, command: RollBack
    ) -> SettingsOutcome:
        origin = command.origin
        if command.base != self._tree.revision:
            failure = self.conflict(command.base)
            return self._refuse(at, origin, Action.ROLLBACK, failure, ())
        match self.tree_at(command.to_revision):
            case Result(tag="ok", ok=earlier):
                after = SettingsTree(index, earlier.branches)
                return self._accept(at, origin, Action.ROLLBACK, after)
            case Result(error=unknown):
                return self._refuse(at, origin, Action.ROLLBACK, unknown, ())

    def _accept(
        self, at: datetime, origin: Origin, action: Action, after: SettingsTree
    ) -> Accepted:
        differences = self._tree.differences(after)
        self._tree = after
        self._history.append(
            Revision(
                number=after.revision,
                at=at,
                operator=origin.operator,
                request_id=origin.request_id,
                action=action.value,
                differences=differences,
            )
        )
        self._difference_count += len(differences)
        self._prune_history()
        self._append_audit_entry(at, origin, action, differences, "", ())
        return Accepted(origin.fingerprint, after.revision, at, differences)

    def _refuse(
        self,
        at: datetime,
        origin: Origin,
        action: Action,
        failure: RefusedOutcome,
        requested: tuple[Difference, ...],
    ) -> Refused:
        match failure:
            case RefusedSettings(problems=problems):
                reasons = tuple(str(problem) for problem in problems)
            case _:
                reasons = (str(failure),)
        self._append_audit_entry(at, origin, action, requested, failure.code, reasons)
        return Refused(origin.fingerprint, failure)

    def _append_audit_entry(
        self,
        at: datetime,
        origin: Origin,
        action: Action,
        differences: tuple[Difference, ...],
        refusal: str,
        reasons: tuple[str, ...],
    ) -> None:
        self._audit.append(
            AuditEntry(
                sequence=0,
                at=at,
                operator=origin.operator,
                address=origin.address,
                request_id=origin.request_id,
                revision=self._tree.revision,
                action=action.value,
                differences=differences,
                refusal=refusal,
                reasons=reasons,
                previous="",
                hash="",
            )
        )

    def _prune_history(self) -> None:
        while len(self._history) > 1 and (
            len(self._history) > self._max_revisions
            or self._difference_count > MAX_HISTORY_DIFFERENCES
        ):
            pruned = self._history.popleft()
            self._difference_count -= len(pruned.differences)
            self._oldest = pruned.number


def _inverse(difference: Difference) -> Change:
    """Return the change that undoes a difference."""
    if difference.old is None:
        return UnsetValue(difference.path, difference.key)
    return SetValue(difference.path, difference.key, difference.old)
