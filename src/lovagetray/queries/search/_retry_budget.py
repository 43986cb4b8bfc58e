"""Budgets of extra sub-requests, and the plain count that checks them."""

from lovagetray._violations import BudgetExceeded, Violations

# Covers the shards of one query when a fault first shows; larger bursts would let a
# short overload double itself.
HEDGE_BURST = 10.0
# Part of the burst that is kept for sub-requests that are out for very long. In calm
# times ordinary hedges use up all that is earned, and frozen replicas then cost shards.
HEDGE_RESERVE = 5.0
# A third of the replicas can fail at once while several queries are in flight.
RETRY_BURST = 50.0
# Absorbs the rounding of thousands of fractional deposits.
_ROUNDING = 1e-6


class TokenBucket:
    """Holds one token for each extra sub-request that may be sent."""

    def __init__(self, burst: float, initial: float) -> None:
        self._burst = burst
        self._tokens = initial

    def earn(self, tokens: float) -> None:
        """Add tokens, up to the burst."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def take(self, reserved: float) -> bool:
        """Take one token; tell whether there was one above those to keep."""
        if self._tokens < 1 + reserved:
            return False
        self._tokens -= 1
        return True


class RetryBudget:
    """One budget of extra sub-requests over the whole instance.

    Every token that was ever granted is also counted plainly, so that a fault in the
    bucket shows as a violation.

    Parameters
    ----------
    name
        The settings key of the budget.
    burst
        The most extra sub-requests that may be saved up.
    initial
        Extra sub-requests allowed before any was earned.
    """

    def __init__(
        self,
        name: str,
        burst: float,
        initial: float,
        violations: Violations,
        bucket: TokenBucket | None = None,
    ) -> None:
        self._name = name
        self._initial = initial
        self._violations = violations
        self._bucket = bucket or TokenBucket(burst, initial)
        self._earned = 0.0
        self._spent = 0

    @property
    def spent(self) -> int:
        """The extra sub-requests granted so far."""
        return self._spent

    def earn(self, first_sub_requests: int, percent: float) -> None:
        """Credit first sub-requests that were sent."""
        tokens = first_sub_requests * percent / 100
        self._earned += tokens
        self._bucket.earn(tokens)

    def spend(self, percent: float, reserved: float = 0.0) -> bool:
        """Tell whether one extra sub-request may be sent for a service.

        Parameters
        ----------
        percent
            The service's own budget; a service without one uses no other's tokens.
        reserved
            Tokens that must remain for more urgent use.
        """
        if percent <= 0 or not self._bucket.take(reserved):
            return False
        self._spent += 1
        if self._spent > self._initial + self._earned + _ROUNDING:
            self._violations.report(BudgetExceeded(self._name))
        return True

    def refund(self) -> None:
        """Return a token that was granted and not used."""
        self._spent -= 1
        self._bucket.earn(1)
