"""The owner's share of the retry budget: second attempts on fresh connections."""

from collections.abc import Callable

from lovagetray._violations import Violations
from lovagetray.queries.search import RetryBudget

# As many exchanges at once can be watched for silence.
_BURST = 50.0


class OwnerRetryBudget:
    """Allows second attempts after silence, within `retry.budget` of all exchanges.

    Without a budget, replicas that stall together would get twice the load.

    Parameters
    ----------
    percent_of
        Returns the retry budget of a service, in percent.
    """

    def __init__(
        self, percent_of: Callable[[str], float], violations: Violations
    ) -> None:
        self._percent_of = percent_of
        self._budget = RetryBudget("retry.budget", _BURST, _BURST, violations)

    def reserve(self, service: str) -> bool:
        """Count one exchange and set one attempt aside for it, if there is one."""
        percent = self._percent_of(service)
        self._budget.earn(1, percent)
        return self._budget.spend(percent)

    def refund(self, service: str) -> None:
        """Return an attempt that was set aside and is not needed."""
        self._budget.refund()
