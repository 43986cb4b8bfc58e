"""Dependencies and settings of one instance's replicated log."""

from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import NamedTuple

from lovagetray._clock import Clock
from lovagetray._violations import Violations
from lovagetray.commands.agreement._protocols import AgreementTransport
from lovagetray.commands.agreement._settings import AgreementSettings


class AgreementContext(NamedTuple):
    """Dependencies and settings of one instance's replicated log.

    Parameters
    ----------
    initial_voters
        Names of the instances that form the initial voter set, all with empty disks.
    random
        Source of election timeouts and identities.
    process_started_at
        When the process started, on `clock`. The previous run of the instance cannot
        have granted a vote or answered a leader after this time. None if unknown: the
        time at which the state is created is used.
    durable
        Whether the instance has a disk and so may vote; set by `Agreement.open`.
    feeds
        Returns whether this instance sends the log to a peer, given the name of the
        peer and whether this instance leads. One that follows sends committed entries
        to peers that do not vote. By default only the leader sends, and to all.
    """

    name: str
    initial_voters: tuple[str, ...]
    clock: Clock
    transport: AgreementTransport
    settings: AgreementSettings
    violations: Violations
    random: Random
    process_started_at: timedelta | None = None
    durable: bool = False
    feeds: Callable[[str, bool], bool] = lambda name, leads: leads
