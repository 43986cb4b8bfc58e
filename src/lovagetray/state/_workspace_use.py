"""Use of one limited workspace at one instance, as far as the leader knows it."""

from dataclasses import dataclass
from datetime import timedelta

from lovagetray.state._credit import CreditAnswer, CreditClaim

_NEVER = timedelta.min


@dataclass(slots=True)
class WorkspaceUse:
    """Counts since the start of the instance, and what the leader has answered.

    Parameters
    ----------
    rate, burst
        The quota that the answers are valid for.
    used
        Requests admitted without a grant.
    confirmed
        Part of `used` that a leader has confirmed.
    reported
        Part of `used` that a report has stated.
    returned, confirmed_returned
        Admitted requests that were not run, and those that a leader has confirmed.
    returned_at
        When the first request that is not confirmed as returned was returned.
    received
        Grants received.
    limit
        Largest debt, until `limit_until`.
    refused_until
        When the leader expects credit for one request.
    next_return_at
        When the caller that was refused last was asked to return.
    """

    rate: float
    burst: float
    used: int = 0
    confirmed: int = 0
    reported: int = 0
    returned: int = 0
    confirmed_returned: int = 0
    returned_at: timedelta = _NEVER
    received: int = 0
    limit: int = 0
    limit_until: timedelta = _NEVER
    refused_until: timedelta = _NEVER
    next_return_at: timedelta = _NEVER

    @property
    def debt(self) -> int:
        """Requests admitted without a grant that no leader has confirmed."""
        return self.used - self.confirmed

    @property
    def is_settled(self) -> bool:
        """Whether the leader knows all use."""
        return self.used == self.confirmed and self.returned == self.confirmed_returned

    def debt_limit(self, now: timedelta) -> int:
        """Return the largest debt at this time."""
        return self.limit if now < self.limit_until else 0

    def change_quota(self, rate: float, burst: float) -> None:
        """Set the quota; answers for another quota are valid no longer."""
        if (rate, burst) != (self.rate, self.burst):
            self.rate, self.burst = rate, burst
            self.limit = 0
            self.refused_until = self.next_return_at = _NEVER

    def admit(self) -> None:
        """Count a request that is admitted without a grant."""
        self.used += 1

    def give_back(self, count: int, now: timedelta) -> None:
        """Return the credit of admitted requests that were not run."""
        unreported = min(count, self.used - self.reported)
        self.used -= unreported
        if count > unreported:
            if self.returned == self.confirmed_returned:
                self.returned_at = now
            self.returned += count - unreported

    def claim(
        self, name: str, wanted: int, now: timedelta, max_return_age: timedelta
    ) -> CreditClaim:
        """Return the claim for the leader; returned credit that is too old is lost."""
        if self.returned_at + max_return_age < now:
            self.returned = self.confirmed_returned
        self.reported = self.used
        return CreditClaim(
            name, self.used, self.confirmed, self.returned, self.received, wanted
        )

    def accept(
        self,
        answer: CreditAnswer,
        reported_at: timedelta,
        now: timedelta,
        limit_lifetime: timedelta,
    ) -> int:
        """Store an answer of the leader; return the number of new grants.

        Parameters
        ----------
        reported_at
            When the report was sent. The debt limit is valid from then on, so that it
            ends here before it ends at the leader.
        """
        self.confirmed = max(self.confirmed, min(answer.used, self.used))
        # What was given up as too old may have reached the leader after all.
        self.returned = max(self.returned, answer.returned)
        self.confirmed_returned = answer.returned
        granted = max(0, answer.granted - self.received)
        self.received += granted
        self.limit = answer.limit
        self.limit_until = reported_at + limit_lifetime
        self.refused_until = now + answer.wait if answer.wait else _NEVER
        return granted

    def next_return(
        self, now: timedelta, spacing: timedelta, longest: timedelta
    ) -> timedelta:
        """Return after which time a refused caller should return.

        Each one returns later than the one before. After `longest`, the next ones are
        spread over the same time again, so that they need not wait for ever.
        """
        earliest = max(self.refused_until, now)
        at = max(self.next_return_at + spacing, earliest)
        if at > earliest + longest:
            at = earliest + spacing % longest
        self.next_return_at = at
        return at - now
