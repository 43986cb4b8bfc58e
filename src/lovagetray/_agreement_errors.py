"""Failures of the replicated log."""

from typing import ClassVar

from msgspec import Struct


class LogCorrupted(Struct, frozen=True):
    """Damage to a file of the replicated log other than a torn tail after a crash.

    Parameters
    ----------
    file
        Name of the file in the data folder.
    position
        Offset of the damaged record, in bytes.
    """

    code: ClassVar[str] = "log_corrupted"
    file: str
    position: int

    def __str__(self) -> str:
        return f"replicated log file {self.file!r} is corrupt at byte {self.position}"


class NoLeader(Struct, frozen=True):
    """The lack of a leader with a majority of voters; the proposal was not appended."""

    code: ClassVar[str] = "no_leader"

    def __str__(self) -> str:
        return "no leader with a majority of voters; the change was not accepted"


class NotLeader(Struct, frozen=True):
    """The refusal of an instance that is not the leader; no entry was appended.

    Parameters
    ----------
    leader
        Name of the leader that this instance knows, or empty.
    """

    code: ClassVar[str] = "not_leader"
    leader: str

    def __str__(self) -> str:
        if not self.leader:
            return "this instance is not the leader, and the leader is unknown"
        return f"this instance is not the leader; {self.leader!r} is"


class QuorumLost(Struct, frozen=True):
    """The refusal of a leader that no majority of voters answered within its lease."""

    code: ClassVar[str] = "quorum_lost"

    def __str__(self) -> str:
        return "the leader got no answer from a majority of voters within its lease"


class ProposalUnconfirmed(Struct, frozen=True):
    """A proposal that was forwarded or appended and whose outcome is not known yet."""

    code: ClassVar[str] = "proposal_unconfirmed"
    request_id: str

    def __str__(self) -> str:
        return f"the outcome of change {self.request_id!r} is not known yet"


class RequestIdConflict(Struct, frozen=True):
    """A request id that was used before with another body; nothing was changed."""

    code: ClassVar[str] = "request_id_conflict"
    request_id: str

    def __str__(self) -> str:
        return f"request id {self.request_id!r} was already used with another body"


class ProposalTimeRefused(Struct, frozen=True):
    """A proposal time that is past the retention of outcomes, or in the future.

    An earlier proposal with the same id may have had an outcome that was dropped since.
    """

    code: ClassVar[str] = "proposal_time_refused"
    request_id: str

    def __str__(self) -> str:
        return f"time of change {self.request_id!r} is past retention or in the future"


class MembershipChangeRefused(Struct, frozen=True):
    """The refusal to add or remove a voter now."""

    code: ClassVar[str] = "membership_change_refused"
    instance: str
    reason: str

    def __str__(self) -> str:
        return f"membership change of instance {self.instance!r} refused: {self.reason}"


class LogStopped(Struct, frozen=True):
    """The end of the replicated log on this instance, for example by a disk error."""

    code: ClassVar[str] = "log_stopped"
    reason: str

    def __str__(self) -> str:
        return f"the replicated log has stopped: {self.reason}"
