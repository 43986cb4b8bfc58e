"""The constants of the replicated log."""

from datetime import timedelta
from typing import NamedTuple


class AgreementSettings(NamedTuple):
    """Times and sizes of the replicated log.

    Parameters
    ----------
    heartbeat
        Longest time between two messages of the leader to a peer.
    lease
        A leader without a majority for this long steps down; an instance holds its
        place on the live list for this long after the leader confirmed it.
    min_election_timeout, max_election_timeout
        Range of the random time without a leader after which an election starts.
        Nobody votes within the shortest time after it heard a leader.
    read_share
        The share of `min_election_timeout` for which a leader answers current reads
        after a majority confirmed it; the rest covers clocks of different speed.
    failure_timeout
        A silent instance leaves the live list after this time.
    vote_timeout
        How long a candidate collects votes.
    retry_refused_pre_vote
        Whether a refused pre-vote is tried again within the spread of election times.
        Instances that start together then find a leader sooner.
    propose_limit, proposal_attempt_timeout
        How long a proposal is tried, and how long each attempt waits for an outcome.
    retention
        How long outcomes are kept, by the times of proposals.
    clock_tolerance
        How far ahead of the leader's wall clock the time of a proposal may be.
    snapshot_every
        Applied entries between two snapshots.
    target_voters
        How many voters the leader keeps by itself, from learners with a disk; None
        leaves the set to the operator.
    voter_replacement_delay
        A voter that was silent for this long is replaced if a learner can vote.
    learner_heartbeat
        How often an instance that does not vote gets a heartbeat; entries and commit
        indexes are sent to it at once all the same. None: as often as a voter.
    early_heartbeat, early_heartbeat_duration
        How often a new leader sends heartbeats, and for how long. Instances that have
        just started serve once a heartbeat confirms their answer to an earlier one.
    batch_bytes, chunk_bytes, proposal_bytes
        Largest batch of entries, part of a snapshot, and body of a proposal.
    """

    heartbeat: timedelta = timedelta(milliseconds=200)
    lease: timedelta = timedelta(seconds=2)
    min_election_timeout: timedelta = timedelta(seconds=1)
    max_election_timeout: timedelta = timedelta(seconds=2)
    read_share: float = 0.9
    failure_timeout: timedelta = timedelta(milliseconds=1500)
    vote_timeout: timedelta = timedelta(milliseconds=500)
    retry_refused_pre_vote: bool = False
    propose_limit: timedelta = timedelta(seconds=5)
    proposal_attempt_timeout: timedelta = timedelta(milliseconds=700)
    retention: timedelta = timedelta(hours=24)
    clock_tolerance: timedelta = timedelta(minutes=5)
    snapshot_every: int = 1000
    target_voters: int | None = None
    voter_replacement_delay: timedelta = timedelta(seconds=2)
    learner_heartbeat: timedelta | None = None
    early_heartbeat: timedelta = timedelta(milliseconds=20)
    early_heartbeat_duration: timedelta = timedelta(0)
    batch_bytes: int = 256 * 1024
    chunk_bytes: int = 256 * 1024
    proposal_bytes: int = 1024 * 1024
