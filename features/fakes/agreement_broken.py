"""Parts of the replicated log that break one rule each, to show that runs find it."""

from datetime import timedelta

from fakes.agreement_cluster import Parts
from fakes.agreement_parts import Store
from fakes.agreement_runs import Plan

from lovagetray._log_entries import LeaderBeat, LogSnapshot, VoteRecord, VoterSet
from lovagetray.commands.agreement import Leading, Replica
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


class CountsOldTerms(Replica):
    """Commits an entry of an older term once a majority holds it."""

    def may_commit(self, index: int) -> bool:
        return True


class OverlongLease(Replica):
    """Answers current reads long after a new leader may have been elected."""

    @property
    def read_lease(self) -> timedelta:
        return timedelta(seconds=30)

    def has_quorum(self, leading: object) -> bool:
        return True


class ConfirmsAlone(Replica):
    """Confirms leases while it has no contact with a majority."""

    def leader_beat(self, leading: Leading, peer: str) -> LeaderBeat:
        stamps = list(leading.progress(peer).stamps)
        beat = super().leader_beat(leading, peer)
        return beat._replace(confirmed=stamps[-1][1] if stamps else None)


class TrustsAnyLeader(Replica):
    """Takes the first commit index that it hears for all that was accepted."""

    def holds_accepted(self) -> bool:
        return self.leader is not None and self.applied_index == self.commit_index


_ONE_ENTRY = Parts().settings._replace(batch_bytes=1, snapshot_every=1000)
BROKEN = {
    "a vote that is not synced": (
        Plan(("crash", "crash_at_sync", "crash_at_sync", "cut", "heal"), pause=0.6),
        Parts(store_type=ForgetsVotes),
    ),
    "a lost disk that rejoins under its old identity": (
        Plan(("lose_disk", "lose_disk", "cut", "heal", "cut_leader"), pause=0.8),
        Parts(store_type=KeepsIdentity),
    ),
    "a commit of an entry of an older term by counting": (
        Plan(("one_link",), seconds=60, pause=4.5, voters=(3,), learners=(0,)),
        Parts(replica_type=CountsOldTerms, settings=_ONE_ENTRY),
    ),
    "a lease that outlasts its time": (
        Plan(("cut_leader", "heal", "noise"), pause=3.0),
        Parts(replica_type=OverlongLease),
    ),
    "a start that takes itself for an older one": (
        Plan(("crash", "crash", "crash", "cut_leader", "heal"), pause=0.5, voters=(3,)),
        Parts(start=timedelta(0), misjudged_start=timedelta(seconds=10)),
    ),
    "a start that trusts any leader": (
        Plan(("crash", "crash", "cut_leader", "heal"), pause=0.8),
        Parts(replica_type=TrustsAnyLeader),
    ),
    "a lease that is confirmed without a majority": (
        Plan(("split", "split", "heal"), pause=4.0, voters=(5,), learners=(0,)),
        Parts(replica_type=ConfirmsAlone),
    ),
}
