"""The replicated log as a process uses it."""

from lovagetray.replicated._log import (
    LogOwner,
    open_agreement,
    open_log,
    wait_for_lease,
    wait_until_current,
)
from lovagetray.replicated._state import Part, PartProposer, ReplicatedState
