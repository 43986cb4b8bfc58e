"""Settings of the replicated log."""

from datetime import timedelta
from typing import NamedTuple


class AgreementSettings(NamedTuple):
    """Durations, sizes and limits of the replicated log.

    Parameters
    ----------
    heartbeat
        Longest time between two messages from the leader to a voter.
    lease
        Time without an answer from a majority after which a leader steps down. Also
        how long an instance counts itself as live after the leader confirmed it.
    min_election_timeout, max_election_timeout
        Range of the random election timeout: the time without a leader after which an
        instance starts an election. No instance grants a vote within the minimum
        timeout after it heard a leader.
    read_lease_fraction
        Read lease as a fraction of `min_election_timeout`: how long a leader serves
        linearizable reads after a majority confirmed it. The rest allows for clocks
        that run at different rates.
    failure_timeout
        Time without a message after which an instance leaves the live list.
    vote_timeout
        How long a candidate collects votes before it gives up.
    retry_refused_pre_vote
        Whether a refused pre-vote is retried after a random time of at most the
        difference of the two election timeouts. Instances that start together then
        elect a leader sooner.
    proposal_timeout, proposal_attempt_timeout
        How long a proposal is retried, and how long each attempt waits for an outcome.
    retention
        How long outcomes are retained, measured by the times of proposals.
    clock_tolerance
        Longest time by which a proposal may be ahead of the leader's wall clock.
    entries_per_snapshot
        Number of applied entries between two snapshots.
    target_voters
        Number of voters that the leader maintains by itself from learners with a disk.
        None: only operators change the voter set.
    voter_replacement_delay
        Time of silence after which a voter is replaced, if a learner can become a
        voter.
    live_list
        Whether the messages of the leader carry the live list, which leases need.
    learner_heartbeat
        Heartbeat interval of learners, which still get entries and commit indexes at
        once. None: as for voters.
    early_heartbeat, early_heartbeat_duration
        Heartbeat interval of a new leader, and how long it applies after the election.
        An instance that has just started serves only once a heartbeat confirms its
        answer to an earlier one.
    batch_bytes, chunk_bytes, proposal_bytes
        Largest batch of entries, snapshot chunk, and body of a proposal, in bytes.
    min_compressed_bytes
        Size from which a batch of entries or a snapshot is compressed; smaller ones
        gain little.
    """

    heartbeat: timedelta = timedelta(milliseconds=200)
    lease: timedelta = timedelta(seconds=2)
    min_election_timeout: timedelta = timedelta(seconds=1)
    max_election_timeout: timedelta = timedelta(seconds=2)
    read_lease_fraction: float = 0.9
    failure_timeout: timedelta = timedelta(milliseconds=1500)
    vote_timeout: timedelta = timedelta(milliseconds=500)
    retry_refused_pre_vote: bool = False
    proposal_timeout: timedelta = timedelta(seconds=5)
    proposal_attempt_timeout: timedelta = timedelta(milliseconds=700)
    retention: timedelta = timedelta(hours=24)
    clock_tolerance: timedelta = timedelta(minutes=5)
    entries_per_snapshot: int = 1000
    target_voters: int | None = None
    voter_replacement_delay: timedelta = timedelta(seconds=2)
    live_list: bool = True
    learner_heartbeat: timedelta | None = None
    early_heartbeat: timedelta = timedelta(milliseconds=20)
    early_heartbeat_duration: timedelta = timedelta(0)
    batch_bytes: int = 256 * 1024
    chunk_bytes: int = 256 * 1024
    proposal_bytes: int = 1024 * 1024
    min_compressed_bytes: int = 1024
