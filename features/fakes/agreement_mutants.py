"""Mutants of the replicated log: each violates one rule, which runs must detect."""

from datetime import timedelta

from fakes.agreement_cluster import ClusterConfig
from fakes.agreement_faults import DiskContent
from fakes.agreement_runs import Plan

from lovagetray._log_entries import (
    LeaderHeader,
    LogSnapshot,
    Voter,
    VoteRecord,
    VoterSet,
)
from lovagetray.commands.agreement import AgreementState, LeaderState, PeerProgress
from lovagetray.wire import decode_vote, encode_snapshot, encode_vote


class VoteLosingDisk(DiskContent):
    """Disk that reports a vote as durable but keeps only the first one."""

    def sync_folder(self) -> None:
        first = self.durable.get("vote")
        super().sync_folder()
        if first is not None:
            self.durable["vote"] = first

    def crash(self) -> None:
        first = self.durable.get("vote")
        super().crash()
        if first is not None:
            self.current["vote"] = self.durable["vote"] = first


class IdentityKeepingDisk(DiskContent):
    """Disk that is empty after a loss but keeps the identity of the lost one."""

    def erase(self) -> None:
        vote = self.durable.get("vote")
        super().erase()
        if vote is not None:
            kept = VoteRecord(decode_vote(vote).ok.incarnation, 0, None)
            empty = encode_snapshot(LogSnapshot(0, 0, VoterSet(), None, (), b""))
            self.durable = {"vote": encode_vote(kept), "log": b"", "snapshot": empty}
            self.current = dict(self.durable)


class OldTermCommittingState(AgreementState):
    """State that commits an entry of an older term once a majority holds it."""

    def may_commit(self, index: int) -> bool:
        return True


class OverlongLeaseState(AgreementState):
    """State with a read lease that can outlast the election of a new leader."""

    @property
    def read_lease(self) -> timedelta:
        return timedelta(seconds=30)

    def has_quorum(self, leader_state: object) -> bool:
        return True


class UnconfirmedLeaseState(AgreementState):
    """State that confirms leases without contact with a majority.

    Its leader does not step down either. One that steps down after its own lease ends
    too early for the leases that it wrongly confirmed to outlast the list of the next
    leader.
    """

    def has_quorum(self, leader_state: LeaderState) -> bool:
        return True

    def leader_header(self, leader_state: LeaderState, peer: str) -> LeaderHeader:
        stamps = list(leader_state.progress(peer).stamps)
        header = super().leader_header(leader_state, peer)
        return header._replace(lease_stamp=stamps[-1][1] if stamps else None)


class UnconfirmedReadIndexState(AgreementState):
    """State that counts as caught up at the first commit index that it receives."""

    def caught_up_since_start(self) -> bool:
        return self.leader is not None and self.applied_index == self.commit_index


class UnconfirmedFollowerState(AgreementState):
    """State of a follower that proves the starts of peers without a majority."""

    def header_passed_on(self, leader: Voter, progress: PeerProgress) -> LeaderHeader:
        stamps = list(progress.stamps)
        header = super().header_passed_on(leader, progress)
        return header._replace(lease_stamp=stamps[-1][1] if stamps else None)


class UnconfirmedStateTimeState(AgreementState):
    """State that counts as current at each message of a leader."""

    def state_confirmed_at(self) -> timedelta | None:
        return self.heard_at


_ONE_ENTRY = ClusterConfig().settings._replace(batch_bytes=1, entries_per_snapshot=1000)
MUTANTS = {
    "a vote that is not synced": (
        Plan(("crash", "crash_at_sync", "crash_at_sync", "cut", "heal"), max_pause=0.6),
        ClusterConfig(disk_type=VoteLosingDisk),
    ),
    "a lost disk that rejoins under its old identity": (
        Plan(("lose_disk", "lose_disk", "cut", "heal", "cut_leader"), max_pause=0.8),
        ClusterConfig(disk_type=IdentityKeepingDisk),
    ),
    "a commit of an entry of an older term by counting": (
        Plan(("one_link",), seconds=60, max_pause=4.5, voters=(3,), learners=(0,)),
        ClusterConfig(state_type=OldTermCommittingState, settings=_ONE_ENTRY),
    ),
    "a read lease that is too long": (
        Plan(("cut_leader", "heal", "noise"), max_pause=3.0),
        ClusterConfig(state_type=OverlongLeaseState),
    ),
    "a process that assumes an earlier start time": (
        Plan(
            ("crash", "crash", "crash", "cut_leader", "heal"),
            max_pause=0.5,
            voters=(3,),
        ),
        ClusterConfig(
            startup_time=timedelta(0), start_time_error=timedelta(seconds=10)
        ),
    ),
    "a restart that trusts the first commit index it receives": (
        Plan(("crash", "crash", "cut_leader", "heal"), max_pause=0.8),
        ClusterConfig(state_type=UnconfirmedReadIndexState),
    ),
    "a follower that proves a start without a majority": (
        Plan(
            ("crash", "crash", "split", "cut_leader", "heal"),
            max_pause=0.8,
            voters=(3,),
            learners=(4,),
        ),
        ClusterConfig(state_type=UnconfirmedFollowerState, passes_on=True),
    ),
    "a state that counts as current without a majority": (
        Plan(("split", "cut_leader", "heal"), max_pause=2.0),
        ClusterConfig(state_type=UnconfirmedStateTimeState),
    ),
    "a lease that is confirmed without a majority": (
        Plan(("split", "split", "heal"), max_pause=4.0, voters=(5,), learners=(0,)),
        ClusterConfig(state_type=UnconfirmedLeaseState),
    ),
}
