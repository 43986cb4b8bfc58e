"""The lease and the live list that the leader of the replicated log gives."""

from lovagetray.commands.agreement import Agreement


class AgreementLease:
    """Lets ownership follow the leader's list of live instances."""

    def __init__(self, agreement: Agreement) -> None:
        self._agreement = agreement

    def live(self) -> frozenset[str] | None:
        """Return the names on the last list of live instances, or None before it."""
        return frozenset(self._agreement.live) or None

    def lease_valid(self) -> bool:
        """Tell whether this instance got a list with itself on it within the lease."""
        return self._agreement.lease_valid()
