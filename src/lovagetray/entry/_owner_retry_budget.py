"""Retry budget of an owner, for second attempts on new connections."""

from collections.abc import Callable

from lovagetray._violations import Violations
from lovagetray.queries.search import RetryBudget

# Largest number of exchanges with a reserved second attempt at the same time.
_BURST = 50.0


class OwnerRetryBudget:
    """Limit of second attempts after silence: `retry.budget` percent of all exchanges.

    Without the limit, the load would double on replicas that stall at the same time.

    Parameters
    ----------
    percent_of
        Returns the retry budget of a service, in percent of its exchanges.
    """

    def __init__(
        self, percent_of: Callable[[str], float], violations: Violations
    ) -> None:
        self._percent_of = percent_of
        self._budget = RetryBudget("retry.budget", _BURST, _BURST, violations)

    def reserve(self, service: str) -> bool:
        """Count an exchange; return whether a second attempt is reserved for it."""
        percent = self._percent_of(service)
        self._budget.deposit(1, percent)
        return self._budget.spend(percent)

    def refund(self, service: str) -> None:
        """Return a reserved attempt that was not needed to the budget."""
        self._budget.refund()
