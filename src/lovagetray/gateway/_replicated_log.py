"""Constants and opening of the replicated log of a gateway."""

from collections.abc import Callable
from datetime import timedelta

from lovagetray._clock import Clock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._violations import Violations
from lovagetray.commands.agreement import (
    Agreement,
    AgreementSettings,
    AgreementTransport,
    StateMachine,
)
from lovagetray.replicated_log import AgreementConfig, open_agreement

# Entries between two snapshots; few, because a routing document may have 100 KB.
_ENTRIES_PER_SNAPSHOT = 40
_VOTER_REPLACEMENT_DELAY = timedelta(seconds=2)
# Instances are at most 2 ms apart and a slow disk syncs in 125 ms. The timeouts are
# short, because after a power failure no caller is served until a leader is elected.
_HEARTBEAT = timedelta(milliseconds=100)
# Entries and commit indexes reach learners at once. The heartbeat shows them that the
# leader goes on, and is most of what the log costs with hundreds of instances.
_LEARNER_HEARTBEAT = timedelta(seconds=1)
# The state of a learner is confirmed up to two heartbeats ago. With this share of the
# time for revocations, a learner that is cut off accepts keys for at least 0.65 of that
# time, also if it misses one more heartbeat; 0.6 is required.
_CONFIRMING_SHARE = 0.1
_MIN_ELECTION_TIMEOUT = timedelta(milliseconds=250)
_MAX_ELECTION_TIMEOUT = timedelta(milliseconds=500)
# Two round trips and two syncs of a disk of average speed.
_EARLY_HEARTBEAT_DURATION = timedelta(milliseconds=200)
_VOTE_TIMEOUT = timedelta(milliseconds=300)
# A proposal without an outcome is sent again after this time, as its message may be
# lost; a round trip takes 2 ms.
_PROPOSAL_ATTEMPT_TIMEOUT = timedelta(milliseconds=300)
# More than the body of a control request may have. A document with 10,000 workspaces
# has 1.3 MB, which the default limit of 1 MiB refused.
_PROPOSAL_BYTES = 5 * 1024 * 1024


def agreement_settings(
    tolerated_failures: int, revocation_limit: timedelta | None = None
) -> AgreementSettings:
    """Return the settings of the replicated log of a gateway.

    Parameters
    ----------
    tolerated_failures
        Number of voters that may fail at the same time.
    revocation_limit
        See `GatewaySettings`.
    """
    learner_heartbeat = _LEARNER_HEARTBEAT
    if revocation_limit is not None:
        learner_heartbeat = max(
            _HEARTBEAT, min(learner_heartbeat, revocation_limit * _CONFIRMING_SHARE)
        )
    return AgreementSettings(
        entries_per_snapshot=_ENTRIES_PER_SNAPSHOT,
        target_voters=2 * tolerated_failures + 1,
        voter_replacement_delay=_VOTER_REPLACEMENT_DELAY,
        heartbeat=_HEARTBEAT,
        learner_heartbeat=learner_heartbeat,
        min_election_timeout=_MIN_ELECTION_TIMEOUT,
        max_election_timeout=_MAX_ELECTION_TIMEOUT,
        vote_timeout=_VOTE_TIMEOUT,
        retry_refused_pre_vote=True,
        proposal_attempt_timeout=_PROPOSAL_ATTEMPT_TIMEOUT,
        early_heartbeat_duration=_EARLY_HEARTBEAT_DURATION,
        proposal_bytes=_PROPOSAL_BYTES,
    )


async def open_gateway_log(
    settings: GatewaySettings,
    clock: Clock,
    transport: AgreementTransport,
    violations: Violations,
    machine: StateMachine,
    process_started_at: timedelta | None,
    feeds: Callable[[str, bool], bool],
) -> Agreement:
    """Return the replicated log of a gateway, opened from its disk if it has one.

    The seeds form the initial voter set at the first start. Afterwards the leader
    maintains enough voters that `settings.tolerated_failures` of them may fail.

    Parameters
    ----------
    feeds
        Returns whether this instance sends the log to another one, given its name and
        whether this instance leads.

    Raises
    ------
    OSError
        If the data folder cannot be read or written.
    """
    seeds = tuple(str(seed) for seed in settings.seeds)
    config = AgreementConfig(
        name=settings.name,
        initial_voters=seeds if settings.first_start else (),
        peers=tuple(name for name in seeds if name != settings.name),
        data_folder=settings.data_folder,
        process_started_at=process_started_at,
        feeds=feeds,
    )
    # Gateways own no replicas, so they need no leases; with 200 instances the list
    # would be most of what the leader sends.
    log_settings = agreement_settings(
        settings.tolerated_failures, settings.revocation_limit
    )._replace(live_list=False)
    return await open_agreement(
        config, log_settings, clock, transport, violations, machine
    )
