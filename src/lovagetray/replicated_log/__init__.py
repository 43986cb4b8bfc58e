"""The replicated log as a process uses it."""

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
