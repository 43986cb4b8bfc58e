"""The owner's share of the retry budget: second attempts on fresh connections."""

from collections.abc import Callable

from lovagetray._violations import Violations
from lovagetray.queries.search import ExtraBudget

_BURST = 10.0


class OwnerRetries:
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
        self._budget = ExtraBudget("retry.budget", _BURST, _BURST, violations)

    def available(self, service: str) -> bool:
        """Count one exchange and tell whether a second attempt may follow it."""
        percent = self._percent_of(service)
        self._budget.earn(1, percent)
        return percent > 0

    def take(self, service: str) -> bool:
        """Take one attempt; return whether it was allowed."""
        return self._budget.spend(self._percent_of(service))
