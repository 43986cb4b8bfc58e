"""Status of the replicated log as known to one instance."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple, Protocol

from lovagetray._log_entries import Voter, VoterSet


class AgreementView(Protocol):
    """Read-only view of the consensus state of an instance."""

    @property
    def term(self) -> int: ...

    @property
    def leader(self) -> str | None: ...

    @property
    def commit_index(self) -> int: ...

    @property
    def applied_index(self) -> int: ...

    @property
    def live(self) -> tuple[str, ...]: ...

    @property
    def voter(self) -> Voter: ...

    @property
    def voters(self) -> VoterSet: ...

    @property
    def voters_committed(self) -> bool: ...

    @property
    def applied_indexes(self) -> Mapping[str, int]: ...

    def lease_valid(self) -> bool: ...

    def quorum_contact_age(self) -> timedelta | None: ...


class AgreementStatus(NamedTuple):
    """State of the replicated log as known to one instance.

    Parameters
    ----------
    term
        Current term.
    leader
        Name of the leader, or None if it is unknown.
    commit_index
        Index of the last committed entry.
    applied_index
        Index of the last entry applied on this instance.
    identity
        Name and disk incarnation of this instance. After the loss of its disk, the
        instance has another incarnation.
    voters
        Instances that vote; a repaired instance is listed with its new incarnation.
    voters_committed
        Whether that voter set is committed. If not, it may still be replaced, and the
        loss of one more voter may end the majority.
    live
        Names of the live instances.
    lag
        Number of committed entries not yet applied, by instance. The leader lists all
        instances, the others only themselves.
    lease
        Whether the instance has a valid lease.
    confirmed_ms
        Milliseconds since a majority last confirmed the instance, or None if none
        did. The settings on the instance may be that old.
    """

    term: int
    leader: str | None
    commit_index: int
    applied_index: int
    identity: Voter
    voters: tuple[Voter, ...]
    voters_committed: bool
    live: tuple[str, ...]
    lag: dict[str, int]
    lease: bool
    confirmed_ms: int | None


def status_of(agreement: AgreementView) -> AgreementStatus:
    """Return the state of the replicated log as known to this instance."""
    commit = agreement.commit_index
    age = agreement.quorum_contact_age()
    return AgreementStatus(
        term=agreement.term,
        leader=agreement.leader,
        commit_index=commit,
        applied_index=agreement.applied_index,
        identity=agreement.voter,
        voters=agreement.voters.voters,
        voters_committed=agreement.voters_committed,
        live=agreement.live,
        lag={
            name: max(0, commit - applied)
            for name, applied in sorted(agreement.applied_indexes.items())
        },
        lease=agreement.lease_valid(),
        confirmed_ms=None if age is None else int(age.total_seconds() * 1000),
    )
