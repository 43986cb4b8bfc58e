"""Failures of the replicated log."""

from typing import ClassVar

from msgspec import Struct


class LogCorrupted(Struct, frozen=True):
    """A file of the replicated log is damaged other than by a crash at its end.

    Parameters
    ----------
    file
        The name of the file in the data folder.
    position
        The offset of the damaged record, in bytes.
    """

    code: ClassVar[str] = "log_corrupted"
    file: str
    position: int

    def __str__(self) -> str:
        return f"file {self.file!r} of the log is corrupt at byte {self.position}"


class NoLeader(Struct, frozen=True):
    """No leader with a majority of voters took the proposal; it was not appended."""

    code: ClassVar[str] = "no_leader"

    def __str__(self) -> str:
        return "no instance leads a majority of voters; the change was not accepted"


class NotLeader(Struct, frozen=True):
    """The instance does not lead, so it appended nothing.

    Parameters
    ----------
    leader
        The instance that leads as far as this one knows, or empty.
    """

    code: ClassVar[str] = "not_leader"
    leader: str

    def __str__(self) -> str:
        if not self.leader:
            return "this instance does not lead and knows no leader"
        return f"this instance does not lead; {self.leader!r} does"


class QuorumLost(Struct, frozen=True):
    """The leader has not heard from a majority of voters for a lease."""

    code: ClassVar[str] = "quorum_lost"

    def __str__(self) -> str:
        return "the leader has lost contact with a majority of voters"


class ProposalUnconfirmed(Struct, frozen=True):
    """A proposal was sent or appended, and its outcome is not known yet."""

    code: ClassVar[str] = "proposal_unconfirmed"
    request_id: str

    def __str__(self) -> str:
        return f"the outcome of change {self.request_id!r} is not known yet"


class RequestIdConflict(Struct, frozen=True):
    """The request id was used before with another body; this one has no effect."""

    code: ClassVar[str] = "request_id_conflict"
    request_id: str

    def __str__(self) -> str:
        return f"request id {self.request_id!r} was used with another body"


class ProposalTimeRefused(Struct, frozen=True):
    """The proposal's time is older than the retention of outcomes, or in the future.

    An earlier proposal with the same id may have had an outcome that is forgotten now.
    """

    code: ClassVar[str] = "proposal_time_refused"
    request_id: str

    def __str__(self) -> str:
        return f"the time of change {self.request_id!r} is too old or in the future"


class MembershipChangeRefused(Struct, frozen=True):
    """A voter cannot be added or removed now."""

    code: ClassVar[str] = "membership_change_refused"
    instance: str
    reason: str

    def __str__(self) -> str:
        return f"the voters cannot change by {self.instance!r}: {self.reason}"


class LogStopped(Struct, frozen=True):
    """An instance's part in the replicated log has ended, for example with its disk."""

    code: ClassVar[str] = "log_stopped"
    reason: str

    def __str__(self) -> str:
        return f"the replicated log has stopped: {self.reason}"
