"""Opening of the replicated log, and waiting for its state and lease."""

from collections.abc import Callable
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
    AgreementContext,
    AgreementSettings,
    AgreementTransport,
    FolderDisk,
    StateMachine,
)

_log = get_logger()
_LEASE_POLL_INTERVAL = timedelta(milliseconds=200)
# Short, because it delays the start of the process, for which callers wait.
_CATCH_UP_POLL_INTERVAL = timedelta(milliseconds=20)


class AgreementConfig(NamedTuple):
    """Identity, peers and storage of an instance in the replicated log.

    Parameters
    ----------
    initial_voters
        Names of the instances that form the initial voter set; empty if it exists.
    peers
        Names of instances to replicate to from the start.
    data_folder
        Folder of the log, vote and snapshot; None for an instance without a disk.
    process_started_at
        When the process started, on the clock of the log; None if unknown.
    feeds
        Returns whether this instance sends the log to a peer, given the peer's name and
        whether this instance leads.
    """

    name: str
    initial_voters: tuple[str, ...]
    peers: tuple[str, ...]
    data_folder: Path | None
    process_started_at: timedelta | None = None
    feeds: Callable[[str, bool], bool] = lambda name, leads: leads


async def open_entry_agreement(
    settings: ProcessSettings,
    clock: Clock,
    transport: AgreementTransport,
    violations: Violations,
    machine: StateMachine,
) -> Agreement:
    """Open the replicated log of an entry instance."""
    config = AgreementConfig(
        settings.name, settings.voters, tuple(settings.peers), settings.data_folder
    )
    return await open_agreement(
        config, AgreementSettings(), clock, transport, violations, machine
    )


async def open_agreement(
    config: AgreementConfig,
    settings: AgreementSettings,
    clock: Clock,
    transport: AgreementTransport,
    violations: Violations,
    machine: StateMachine,
) -> Agreement:
    """Open the replicated log of an instance.

    A corrupt data folder is renamed, and the instance starts with an empty disk under a
    new identity. It catches up from its peers before it becomes a voter again.
    """
    context = AgreementContext(
        name=config.name,
        initial_voters=config.initial_voters,
        clock=clock,
        transport=transport,
        settings=settings,
        violations=violations,
        random=SystemRandom(),
        process_started_at=config.process_started_at,
        feeds=config.feeds,
    )
    folder = config.data_folder
    while True:
        disk = None if folder is None else FolderDisk(folder)
        match await Agreement.open(context, disk, machine):
            case Result(tag="ok", ok=agreement):
                break
            case Result(error=corrupted):
                _log.critical("log_corrupted", reason=str(corrupted))
        if folder is not None:
            corrupt_folder = folder.with_name(
                f"{folder.name}.corrupt-{clock.now():%Y%m%d%H%M%S}"
            )
            folder.rename(corrupt_folder)
    for name in (*config.peers, *agreement.voters.names):
        await agreement.add_peer(name)
    return agreement


async def wait_until_caught_up(
    agreement: Agreement, clock: Clock, timeout: timedelta | None
) -> bool:
    """Wait until this instance has applied all changes accepted before its start.

    Parameters
    ----------
    timeout
        Longest time to wait; None to wait without a timeout.

    Returns
    -------
    bool
        False if the timeout has passed.
    """
    started_at = clock.monotonic_time()
    while not agreement.caught_up_since_start():
        if timeout is not None and clock.monotonic_time() - started_at >= timeout:
            return False
        await clock.sleep(_CATCH_UP_POLL_INTERVAL)
    return True


async def wait_for_lease(
    agreement: Agreement, clock: Clock, timeout: timedelta
) -> bool:
    """Wait until the leader counts this instance as live; False after `timeout`."""
    started_at = clock.monotonic_time()
    while not agreement.lease_valid():
        if clock.monotonic_time() - started_at >= timeout:
            return False
        await clock.sleep(_LEASE_POLL_INTERVAL)
    return True
