"""The replicated log: Raft with pre-votes, leader leases and snapshots."""

from lovagetray._log_entries import Proposal, Voter, VoterSet
from lovagetray.commands.agreement._agreement import Agreement
from lovagetray.commands.agreement._agreement_context import AgreementContext
from lovagetray.commands.agreement._agreement_state import AgreementState
from lovagetray.commands.agreement._disk import FolderDisk, NoDisk
from lovagetray.commands.agreement._durable_log import DurableLog
from lovagetray.commands.agreement._protocols import (
    AgreementTransport,
    Disk,
    StateMachine,
)
from lovagetray.commands.agreement._roles import LeaderState, PeerProgress
from lovagetray.commands.agreement._settings import AgreementSettings
