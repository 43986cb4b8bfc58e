"""What the replicated log looks like from one instance."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple, Protocol

from lovagetray._log_entries import Voter, VoterSet


class AgreementView(Protocol):
    """The readable side of an instance's part in the replicated log."""

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
    def applied_indexes(self) -> Mapping[str, int]: ...

    def lease_valid(self) -> bool: ...

    def quorum_contact_age(self) -> timedelta | None: ...


class AgreementStatus(NamedTuple):
    """The state of the replicated log, as one instance knows it.

    Parameters
    ----------
    identity
        This instance and the life of its disk; a lost disk comes back under another.
    voters
        The instances that vote; a repaired one is among them under its new identity.
    lag
        Entries that are committed but not applied, for each instance that this one
        knows about: all of them on the leader, itself elsewhere.
    lease
        Whether the instance holds a lease.
    confirmed_ms
        Time since a majority last confirmed it, in milliseconds; None if never. Its
        settings may be that old.
    """

    term: int
    leader: str | None
    commit_index: int
    applied_index: int
    identity: Voter
    voters: tuple[Voter, ...]
    live: tuple[str, ...]
    lag: dict[str, int]
    lease: bool
    confirmed_ms: int | None


def status_of(agreement: AgreementView) -> AgreementStatus:
    """Return the state of the replicated log."""
    commit = agreement.commit_index
    age = agreement.quorum_contact_age()
    return AgreementStatus(
        term=agreement.term,
        leader=agreement.leader,
        commit_index=commit,
        applied_index=agreement.applied_index,
        identity=agreement.voter,
        voters=agreement.voters.voters,
        live=agreement.live,
        lag={
            name: max(0, commit - applied)
            for name, applied in sorted(agreement.applied_indexes.items())
        },
        lease=agreement.lease_valid(),
        confirmed_ms=None if age is None else int(age.total_seconds() * 1000),
    )
