"""Token buckets for hedges and retries, verified by separate counts."""

from lovagetray._violations import BudgetExceeded, Violations

# Enough for the shards of one query at the onset of a fault; with a larger burst, a
# short overload would double the load.
HEDGE_BURST = 10.0
# Tokens that only urgent hedges may spend, those for sub-requests in flight for very
# long. Ordinary hedges spend all the tokens deposited in normal operation; without
# the reserve, shards on frozen replicas would then be missing from answers.
HEDGE_RESERVE = 5.0
# Covers the failure of a third of the replicas with several queries in flight.
RETRY_BURST = 50.0
# Tolerance for the rounding errors of thousands of fractional deposits.
_ROUNDING_TOLERANCE = 1e-6


class TokenBucket:
    """Token bucket; each token allows one hedge or retry.

    Parameters
    ----------
    burst
        Capacity in tokens.
    initial
        Tokens in the bucket at the start.
    """

    def __init__(self, burst: float, initial: float) -> None:
        self._burst = burst
        self._tokens = initial

    def deposit(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def take(self, reserved: float) -> bool:
        """Remove one token and return whether enough were left.

        Parameters
        ----------
        reserved
            Tokens that must remain in the bucket.
        """
        if self._tokens < 1 + reserved:
            return False
        self._tokens -= 1
        return True


class RetryBudget:
    """Budget of hedges or retries for the whole instance.

    Deposited and spent tokens are also counted apart from the bucket, so that a bug in
    the bucket is reported as a violation.

    Parameters
    ----------
    name
        Settings key of the budget.
    burst
        Capacity of the bucket in tokens.
    initial
        Tokens in the bucket at the start.
    violations
        Receives a report if more tokens are spent than were deposited.
    bucket
        Replaces the bucket in tests.
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
        self._deposited = 0.0
        self._spent = 0

    @property
    def spent(self) -> int:
        """Number of hedges or retries granted so far."""
        return self._spent

    def deposit(self, first_sub_requests: int, percent: float) -> None:
        """Deposit tokens for first sub-requests that were sent.

        Parameters
        ----------
        first_sub_requests
            How many were sent.
        percent
            The service's budget, in percent of first sub-requests.
        """
        tokens = first_sub_requests * percent / 100
        self._deposited += tokens
        self._bucket.deposit(tokens)

    def spend(self, percent: float, reserved: float = 0.0) -> bool:
        """Spend one token for a service and return whether that was possible.

        Parameters
        ----------
        percent
            The service's budget, in percent of first sub-requests. A service with a
            budget of 0 may not spend tokens that others deposited.
        reserved
            Tokens that must remain for more urgent attempts.
        """
        if percent <= 0 or not self._bucket.take(reserved):
            return False
        self._spent += 1
        if self._spent > self._initial + self._deposited + _ROUNDING_TOLERANCE:
            self._violations.report(BudgetExceeded(self._name))
        return True

    def refund(self) -> None:
        """Return an unused token to the bucket."""
        self._spent -= 1
        self._bucket.deposit(1)
