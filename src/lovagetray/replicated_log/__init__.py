"""The replicated log and its state machine, as each process opens them."""

from lovagetray.replicated_log._log import (
    AgreementConfig,
    open_agreement,
    open_entry_agreement,
    wait_for_lease,
    wait_until_caught_up,
)
from lovagetray.replicated_log._state import (
    NamespaceProposer,
    ReplicatedState,
    StateNamespace,
)
