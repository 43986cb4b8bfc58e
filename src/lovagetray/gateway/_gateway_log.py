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
from lovagetray.replicated import LogOwner, open_log

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


def agreement_settings(losses: int) -> AgreementSettings:
    """Return the constants of a log that may lose some voters at once."""
    return AgreementSettings(
        snapshot_every=_SNAPSHOT_EVERY,
        target_voters=2 * losses + 1,
        replace_silent=_REPLACE_SILENT,
        heartbeat=_HEARTBEAT,
        learner_heartbeat=_LEARNER_HEARTBEAT,
        shortest_election=_SHORTEST_ELECTION,
        longest_election=_LONGEST_ELECTION,
        ballot=_BALLOT,
        retry_refused=True,
        resend=_RESEND,
        early_time=_EARLY_TIME,
    )


async def open_gateway_log(
    settings: GatewaySettings,
    clock: Clock,
    link: PeerLink,
    violations: Violations,
    machine: StateMachine,
    began_at: timedelta | None,
) -> Agreement:
    """Return the gateway's part in the replicated log.

    Seeds found the voter set at the first start; afterwards the leader keeps enough
    voters to lose `settings.losses` of them.
    """
    seeds = tuple(str(seed) for seed in settings.seeds)
    owner = LogOwner(
        name=settings.name,
        founders=seeds if settings.first_start else (),
        peers=tuple(name for name in seeds if name != settings.name),
        data_folder=settings.data_folder,
        began_at=began_at,
    )
    agreed = agreement_settings(settings.losses)
    return await open_log(owner, agreed, clock, link, violations, machine)
