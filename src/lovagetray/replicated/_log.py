"""Opens the replicated log of an instance."""

from datetime import timedelta
from pathlib import Path
from random import SystemRandom
from typing import NamedTuple

from expression import Result
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._process_settings import ProcessSettings
from lovagetray._violations import Violations
from lovagetray.commands.agreement import (
    Agreement,
    AgreementSettings,
    FolderDisk,
    PeerLink,
    StateMachine,
    Surroundings,
)

_log = get_logger()
_RETRY = timedelta(milliseconds=200)
# A start waits for it, and callers wait for the start.
_POLL = timedelta(milliseconds=20)


class LogOwner(NamedTuple):
    """Whose part in the replicated log is opened.

    Parameters
    ----------
    founders
        The instances that form the first voter set; empty if it exists already.
    peers
        Instances to replicate to from the start.
    data_folder
        None for an instance without a disk.
    began_at
        When the process began, by the clock of the log; None if unknown.
    """

    name: str
    founders: tuple[str, ...]
    peers: tuple[str, ...]
    data_folder: Path | None
    began_at: timedelta | None = None


async def open_agreement(
    settings: ProcessSettings,
    clock: Clock,
    link: PeerLink,
    violations: Violations,
    machine: StateMachine,
) -> Agreement:
    """Return the entry instance's part in the replicated log."""
    owner = LogOwner(
        settings.name, settings.voters, tuple(settings.peers), settings.data_folder
    )
    return await open_log(owner, AgreementSettings(), clock, link, violations, machine)


async def open_log(
    owner: LogOwner,
    settings: AgreementSettings,
    clock: Clock,
    link: PeerLink,
    violations: Violations,
    machine: StateMachine,
) -> Agreement:
    """Return an instance's part in the replicated log.

    A corrupt log is set aside and the instance starts with an empty disk, under a new
    identity: it catches up from its peers before it votes again.
    """
    surroundings = Surroundings(
        name=owner.name,
        founders=owner.founders,
        clock=clock,
        link=link,
        settings=settings,
        violations=violations,
        random=SystemRandom(),
        began_at=owner.began_at,
    )
    folder = owner.data_folder
    while True:
        disk = None if folder is None else FolderDisk(folder)
        match await Agreement.open(surroundings, disk, machine):
            case Result(tag="ok", ok=agreement):
                break
            case Result(error=corrupted):
                _log.critical("log_corrupted", reason=str(corrupted))
        if folder is not None:
            aside = folder.with_name(
                f"{folder.name}.corrupt-{clock.now():%Y%m%d%H%M%S}"
            )
            folder.rename(aside)
    for name in (*owner.peers, *agreement.voters.names):
        await agreement.add_peer(name)
    return agreement


async def wait_until_current(
    agreement: Agreement, clock: Clock, limit: timedelta | None
) -> bool:
    """Wait until this instance has applied everything that was accepted before now.

    Parameters
    ----------
    limit
        How long to try; None for ever.

    Returns
    -------
    bool
        False if the limit has passed.
    """
    started = clock.elapsed()
    while not agreement.holds_accepted():
        if limit is not None and clock.elapsed() - started >= limit:
            return False
        await clock.sleep(_POLL)
    return True


async def wait_for_lease(agreement: Agreement, clock: Clock, limit: timedelta) -> bool:
    """Wait until the leader counts this instance as live; False after `limit`."""
    started = clock.elapsed()
    while not agreement.lease_valid():
        if clock.elapsed() - started >= limit:
            return False
        await clock.sleep(_RETRY)
    return True
