"""Opens the replicated log of a gateway."""

from datetime import timedelta

from lovagetray._clock import Clock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._violations import Violations
from lovagetray.commands.agreement import (
    Agreement,
    AgreementSettings,
    PeerLink,
    StateMachine,
)
from lovagetray.replicated_log import AgreementConfig, open_agreement

# A routing document may have 100 KB; few of them are kept before a snapshot.
_SNAPSHOT_EVERY = 40
_REPLACE_SILENT = timedelta(seconds=2)
# Instances are at most 2 ms apart and a slow disk syncs in 125 ms. After a loss of
# power nobody is served until there is a leader, so elections are short.
_HEARTBEAT = timedelta(milliseconds=100)
_LEARNER_HEARTBEAT = timedelta(milliseconds=500)
_SHORTEST_ELECTION = timedelta(milliseconds=250)
_LONGEST_ELECTION = timedelta(milliseconds=500)
# Two round trips and two syncs of a disk of usual speed.
_EARLY_TIME = timedelta(milliseconds=200)
_BALLOT = timedelta(milliseconds=300)
# A proposal whose message was lost is sent again; the round trip takes 2 ms.
_RESEND = timedelta(milliseconds=300)


def agreement_settings(tolerated_failures: int) -> AgreementSettings:
    """Return the constants of a log that may lose some voters at once."""
    return AgreementSettings(
        snapshot_every=_SNAPSHOT_EVERY,
        target_voters=2 * tolerated_failures + 1,
        voter_replacement_delay=_REPLACE_SILENT,
        heartbeat=_HEARTBEAT,
        learner_heartbeat=_LEARNER_HEARTBEAT,
        min_election_timeout=_SHORTEST_ELECTION,
        max_election_timeout=_LONGEST_ELECTION,
        vote_timeout=_BALLOT,
        retry_refused_pre_vote=True,
        proposal_attempt_timeout=_RESEND,
        early_heartbeat_duration=_EARLY_TIME,
    )


async def open_gateway_log(
    settings: GatewaySettings,
    clock: Clock,
    link: PeerLink,
    violations: Violations,
    machine: StateMachine,
    process_started_at: timedelta | None,
) -> Agreement:
    """Return the gateway's part in the replicated log.

    Seeds found the voter set at the first start; afterwards the leader keeps enough
    voters to lose `settings.tolerated_failures` of them.
    """
    seeds = tuple(str(seed) for seed in settings.seeds)
    owner = AgreementConfig(
        name=settings.name,
        initial_voters=seeds if settings.first_start else (),
        peers=tuple(name for name in seeds if name != settings.name),
        data_folder=settings.data_folder,
        process_started_at=process_started_at,
    )
    agreed = agreement_settings(settings.tolerated_failures)
    return await open_agreement(owner, agreed, clock, link, violations, machine)
