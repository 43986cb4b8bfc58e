"""The replicated log and its state machine, as each process opens them."""

from lovagetray.replicated._log import (
    LogOwner,
    open_agreement,
    open_log,
    wait_for_lease,
    wait_until_current,
)
from lovagetray.replicated._state import Part, PartProposer, ReplicatedState
