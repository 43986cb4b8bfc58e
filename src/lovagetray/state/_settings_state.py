"""The settings as a state machine: applies the entries of the replicated log."""

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

# An hour of the 48,000 changes per day that are expected within two years; at one
# difference each they take about 1 MB.
KEPT_REVISIONS = 2_000
KEPT_DIFFERENCES = 30_000

_NEVER = datetime(1970, 1, 1, tzinfo=timezone.utc)


class Revision(NamedTuple):
    """How one revision came about and what it changed."""

    number: int
    at: datetime
    operator: str
    request_id: str
    action: str
    differences: tuple[Difference, ...]


class SettingsSnapshot(NamedTuple):
    """The whole state as a record.

    Parameters
    ----------
    oldest
        The oldest revision whose tree can be rebuilt.
    """

    revision: int
    branches: Branches
    oldest: int
    history: tuple[Revision, ...]
    audit: AuditSnapshot


class SettingsState:
    """The settings tree in force, its history and the audit trail.

    `apply` depends only on the log: revisions are log indexes, times are those of the
    entries. It doesn't consult the table of keys, so that instances of different
    releases stay equal; the commands validate before they propose. Older trees are
    rebuilt by undoing differences, so the history takes little memory.

    Parameters
    ----------
    violations
        Where a falling revision is reported.
    """

    def __init__(
        self, violations: Violations, kept_revisions: int = KEPT_REVISIONS
    ) -> None:
        self._violations = violations
        self._kept_revisions = kept_revisions
        self._tree = SettingsTree()
        self._oldest = 0
        self._history: deque[Revision] = deque()
        self._kept_differences = 0
        self._audit = Audit()

    @property
    def tree(self) -> SettingsTree:
        """The tree in force."""
        return self._tree

    @property
    def history(self) -> tuple[Revision, ...]:
        """The revisions kept, the oldest first."""
        return tuple(self._history)

    @property
    def audit(self) -> Audit:
        """The audit trail."""
        return self._audit

    def tree_at(self, revision: int) -> Result[SettingsTree, UnknownRevision]:
        """Return the tree of a revision that is still kept."""
        known = {self._oldest, *(one.number for one in self._history)}
        if revision not in known:
            return Error(UnknownRevision(revision, self._oldest))
        undo: list[Change] = []
        for later in reversed(self._history):
            if later.number <= revision:
                break
            undo.extend(_undoing(one) for one in later.differences)
        return Ok(self._tree.changed_by(undo, revision))

    def conflict(self, base: int) -> RevisionConflict:
        """Return the failure of a change against `base`, naming what is in force."""
        if not self._history:
            return RevisionConflict(base, self._tree.revision, "nobody", _NEVER)
        winner = self._history[-1]
        return RevisionConflict(base, winner.number, winner.operator, winner.at)

    def apply(
        self, index: int, at: datetime, command: SettingsCommand
    ) -> SettingsOutcome:
        """Apply one committed entry and return its outcome.

        Parameters
        ----------
        index, at
            Index and time of the log entry.
        """
        if index <= self._tree.revision:
            self._violations.report(RevisionFell(self._tree.revision, index))
            failure = self.conflict(index)
            return Refused(command.origin.fingerprint, failure)
        match command:
            case ChangeSettings(origin=origin, base=base, changes=changes):
                after = self._tree.changed_by(changes, index)
                if base != self._tree.revision:
                    asked = self._tree.differences(after)
                    failure = self.conflict(base)
                    return self._refuse(at, origin, Action.CHANGE, failure, asked)
                return self._accept(at, origin, Action.CHANGE, after)
            case ImportTree(origin=origin, base=base, branches=branches):
                after = SettingsTree(index, branches)
                if base != self._tree.revision:
                    asked = self._tree.differences(after)
                    failure = self.conflict(base)
                    return self._refuse(at, origin, Action.IMPORT, failure, asked)
                return self._accept(at, origin, Action.IMPORT, after)
            case RollBack():
                return self._roll_back(index, at, command)
            case RecordRefusal(
                origin=origin, action=action, failure=refused, asked=asked
            ):
                return self._refuse(at, origin, action, refused, asked)

    def snapshot(self) -> SettingsSnapshot:
        """Return the whole state as a record."""
        return SettingsSnapshot(
            revision=self._tree.revision,
            branches=self._tree.branches,
            oldest=self._oldest,
            history=self.history,
            audit=self._audit.snapshot(),
        )

    def restore(self, snapshot: SettingsSnapshot) -> None:
        """Replace the state by a recorded one, unless its revision is lower."""
        if snapshot.revision < self._tree.revision:
            fell = RevisionFell(self._tree.revision, snapshot.revision)
            self._violations.report(fell)
            return
        self._tree = SettingsTree(snapshot.revision, snapshot.branches)
        self._oldest = snapshot.oldest
        self._history = deque(snapshot.history)
        self._kept_differences = sum(len(one.differences) for one in self._history)
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
        self._kept_differences += len(differences)
        self._prune()
        self._record(at, origin, action, differences, "", ())
        return Accepted(origin.fingerprint, after.revision, at, differences)

    def _refuse(
        self,
        at: datetime,
        origin: Origin,
        action: Action,
        failure: RefusedOutcome,
        asked: tuple[Difference, ...],
    ) -> Refused:
        match failure:
            case RefusedSettings(problems=problems):
                reasons = tuple(str(problem) for problem in problems)
            case _:
                reasons = (str(failure),)
        self._record(at, origin, action, asked, failure.code, reasons)
        return Refused(origin.fingerprint, failure)

    def _record(
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

    def _prune(self) -> None:
        while len(self._history) > 1 and (
            len(self._history) > self._kept_revisions
            or self._kept_differences > KEPT_DIFFERENCES
        ):
            pruned = self._history.popleft()
            self._kept_differences -= len(pruned.differences)
            self._oldest = pruned.number


def _undoing(difference: Difference) -> Change:
    if difference.old is None:
        return UnsetValue(difference.path, difference.key)
    return SetValue(difference.path, difference.key, difference.old)
