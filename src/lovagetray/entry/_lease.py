"""The lease and the live list, from the leader of the replicated log."""

from lovagetray.commands.agreement import Agreement


class AgreementLease:
    """View of the lease and live list of the replicated log, for ownership."""

    def __init__(self, agreement: Agreement) -> None:
        self._agreement = agreement

    def live(self) -> frozenset[str] | None:
        """Return the names on the last live list, or None before the first list."""
        return frozenset(self._agreement.live) or None

    def lease_valid(self) -> bool:
        """Return whether this instance was on a live list within the lease duration."""
        return self._agreement.lease_valid()
