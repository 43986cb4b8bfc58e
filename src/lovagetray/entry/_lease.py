"""The lease and the live list, from the leader of the replicated log."""

from lovagetray.commands.agreement import Agreement


class AgreementLease:
    """The lease and live list of the leader, which decide who owns replicas."""

    def __init__(self, agreement: Agreement) -> None:
        self._agreement = agreement

    def live(self) -> frozenset[str] | None:
        """Return the names on the last live list, or None before the first list."""
        return frozenset(self._agreement.live) or None

    def lease_valid(self) -> bool:
        """Return whether the leader confirmed this instance as live within a lease."""
        return self._agreement.lease_valid()
