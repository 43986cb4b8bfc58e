"""Parts of the replicated log that break one rule each, to show that runs find it."""

from datetime import timedelta

from fakes.agreement_cluster import ClusterConfig
from fakes.agreement_faults import Store
from fakes.agreement_runs import Plan

from lovagetray._log_entries import LeaderHeader, LogSnapshot, VoteRecord, VoterSet
from lovagetray.commands.agreement import AgreementState, LeaderState
from lovagetray.wire import decode_vote, encode_snapshot, encode_vote


class ForgetsVotes(Store):
    """Reports a vote as durable and keeps the one of the first start."""

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


class KeepsIdentity(Store):
    """Comes back empty under the identity of the lost disk."""

    def lose(self) -> None:
        vote = self.durable.get("vote")
        super().lose()
        if vote is not None:
            kept = VoteRecord(decode_vote(vote).ok.incarnation, 0, None)
            empty = encode_snapshot(LogSnapshot(0, 0, VoterSet(), None, (), b""))
            self.durable = {"vote": encode_vote(kept), "log": b"", "snapshot": empty}
            self.current = dict(self.durable)


class CountsOldTerms(AgreementState):
    """Commits an entry of an older term once a majority holds it."""

    def may_commit(self, index: int) -> bool:
        return True


class OverlongLease(AgreementState):
    """Answers current reads long after a new leader may have been elected."""

    @property
    def read_lease(self) -> timedelta:
        return timedelta(seconds=30)

    def has_quorum(self, leading: object) -> bool:
        return True


class ConfirmsAlone(AgreementState):
    """Confirms leases while it has no contact with a majority."""

    def leader_header(self, leading: LeaderState, peer: str) -> LeaderHeader:
        stamps = list(leading.progress(peer).stamps)
        beat = super().leader_header(leading, peer)
        return beat._replace(lease_stamp=stamps[-1][1] if stamps else None)


class TrustsAnyLeader(AgreementState):
    """Takes the first commit index that it hears for all that was accepted."""

    def caught_up_since_start(self) -> bool:
        return self.leader is not None and self.applied_index == self.commit_index


_ONE_ENTRY = ClusterConfig().settings._replace(batch_bytes=1, snapshot_every=1000)
MUTANTS = {
    "a vote that is not synced": (
        Plan(("crash", "crash_at_sync", "crash_at_sync", "cut", "heal"), pause=0.6),
        ClusterConfig(store_type=ForgetsVotes),
    ),
    "a lost disk that rejoins under its old identity": (
        Plan(("lose_disk", "lose_disk", "cut", "heal", "cut_leader"), pause=0.8),
        ClusterConfig(store_type=KeepsIdentity),
    ),
    "a commit of an entry of an older term by counting": (
        Plan(("one_link",), seconds=60, pause=4.5, voters=(3,), learners=(0,)),
        ClusterConfig(state_type=CountsOldTerms, settings=_ONE_ENTRY),
    ),
    "a lease that outlasts its time": (
        Plan(("cut_leader", "heal", "noise"), pause=3.0),
        ClusterConfig(state_type=OverlongLease),
    ),
    "a start that takes itself for an older one": (
        Plan(("crash", "crash", "crash", "cut_leader", "heal"), pause=0.5, voters=(3,)),
        ClusterConfig(start=timedelta(0), misjudged_start=timedelta(seconds=10)),
    ),
    "a start that trusts any leader": (
        Plan(("crash", "crash", "cut_leader", "heal"), pause=0.8),
        ClusterConfig(state_type=TrustsAnyLeader),
    ),
    "a lease that is confirmed without a majority": (
        Plan(("split", "split", "heal"), pause=4.0, voters=(5,), learners=(0,)),
        ClusterConfig(state_type=ConfirmsAlone),
    ),
}
