"""Credit of the limited workspaces, as token buckets that the leader holds.

Designed for 10,000 workspaces and 7,000 instances. A claim costs constant time, and the
memory is bounded by the claims of the last minute.

The requests that all instances run in any window are bounded as follows, with T as the
tolerance ``overshoot * (rate * window + burst) + slack``:

- What is charged in a window is at most the capacity, ``burst + 0.2 * slack + 0.1 *
  overshoot * rate * window``, plus ``rate * window``, plus the amount by which the
  level may be negative.
- The debt limits that may be in use within a window add up to at most T / 2, and only
  they make a level negative.
- Credit is returned only for requests admitted within ``0.4 * overshoot * window``,
  which adds at most ``rate`` times this duration.
- Each change of the leader adds ``0.1 * slack``. The sum stays within the quota and T
  for three changes within one window.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from math import floor
from typing import NamedTuple

from lovagetray._gateway_settings import QuotaLimits
from lovagetray._routing_types import Workspace
from lovagetray._types import InstanceId

# Part of the overshoot in a window that is in the capacity of a bucket: the credit of
# 50 ms at an overshoot of 10% and a window of 5 s. Without it, a workspace of 1,200
# requests per second was refused below its quota, because the bucket was full while the
# requests of the last round trip were not charged yet.
_CAPACITY_OVERSHOOT = 0.1
# Parts of the slack in the capacity of a bucket and in the first level of a bucket.
_CAPACITY_SLACK = 0.2
_FIRST_SLACK = 0.1
# Part of the tolerance that the debts of all instances may use.
_DEBT_SHARE = 0.5
# An instance uses its debt limit for one window, and a window that includes this use
# ends one window later. 5% allow for clocks that run at different rates.
_LIMIT_WINDOWS = 2.1
# Claims of an instance are kept for one to two of these durations.
_CLAIM_RETENTION = timedelta(seconds=30)
# Instances ask again earlier than that if a quota is raised.
_MAX_WAIT_SECONDS = 60.0


class CreditClaim(NamedTuple):
    """The use of one workspace's credit by an instance; counts run from its start.

    Parameters
    ----------
    used
        Requests that were admitted without a grant.
    confirmed
        Part of `used` that a leader has confirmed.
    returned
        Admitted requests that were not run.
    received
        Grants that the instance has received.
    wanted
        Requests that wait for a grant.
    """

    workspace: str
    used: int
    confirmed: int
    returned: int
    received: int
    wanted: int


class CreditAnswer(NamedTuple):
    """The leader's answer to a claim; counts as in the claim.

    Parameters
    ----------
    granted
        Grants that were given to the instance.
    limit
        Requests that the instance may admit, for one window from its report on, before
        they are confirmed.
    wait
        Time until credit for one request is available; 0 if it is now.
    """

    workspace: str
    used: int
    returned: int
    granted: int
    limit: int
    wait: timedelta


class _DebtLimit(NamedTuple):
    """The debt limit of one instance, and when it can no longer matter."""

    requests: int
    until: timedelta


@dataclass(slots=True)
class _Account:
    """What one instance was charged for, from one workspace."""

    used: int
    returned: int
    granted: int


@dataclass(slots=True)
class _Bucket:
    """Credit of one workspace; `debt_limits` are in the order of their expiry."""

    rate: float
    burst: float
    level: float
    settled_at: timedelta
    limits_from: timedelta
    debt_limits: dict[InstanceId, _DebtLimit] = field(default_factory=dict)
    debt_limit_sum: int = 0

    def settle(self, capacity: float, now: timedelta) -> None:
        """Add the credit of the time since the last call."""
        added = self.rate * (now - self.settled_at).total_seconds()
        self.level = min(capacity, self.level + added)
        self.settled_at = now

    def expire_limits(self, now: timedelta) -> None:
        while self.debt_limits:
            instance = next(iter(self.debt_limits))
            if self.debt_limits[instance].until > now:
                return
            self.debt_limit_sum -= self.debt_limits.pop(instance).requests

    def set_limit(self, instance: InstanceId, limit: _DebtLimit) -> None:
        earlier = self.debt_limits.pop(instance, None)
        self.debt_limit_sum += limit.requests
        self.debt_limit_sum -= 0 if earlier is None else earlier.requests
        self.debt_limits[instance] = limit


_AccountKey = tuple[InstanceId, str]


class CreditBook:
    """The buckets of all limited workspaces in one term of the leader.

    Parameters
    ----------
    limits
        How far quotas may be exceeded.
    """

    def __init__(self, limits: QuotaLimits) -> None:
        self._limits = limits
        self._term: int | None = None
        self._buckets: dict[str, _Bucket] = {}
        # Accounts not used within the retention are dropped, in two generations.
        self._accounts: dict[_AccountKey, _Account] = {}
        self._older_accounts: dict[_AccountKey, _Account] = {}
        self._rotated_at = timedelta(0)

    def begin(
        self, term: int, workspaces: Mapping[str, Workspace], now: timedelta
    ) -> None:
        """Start all buckets anew if this instance leads in a new term.

        The leader of the term before may have spent all credit up to now.
        """
        if term != self._term:
            self._term = term
            self._buckets.clear()
            self._accounts.clear()
            self._older_accounts.clear()
            self.update(workspaces, now)

    def update(self, workspaces: Mapping[str, Workspace], now: timedelta) -> None:
        """Put the quotas of a routing document in force.

        Parameters
        ----------
        workspaces
            The workspaces with a quota, by name.
        """
        for name in self._buckets.keys() - workspaces.keys():
            del self._buckets[name]
        for name, workspace in workspaces.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = _Bucket(
                    workspace.rate,
                    workspace.burst,
                    _FIRST_SLACK * self._limits.slack,
                    now,
                    now + _LIMIT_WINDOWS * self._limits.window,
                )
            elif (bucket.rate, bucket.burst) != (workspace.rate, workspace.burst):
                bucket.settle(self._capacity(bucket), now)
                bucket.rate, bucket.burst = workspace.rate, workspace.burst
                bucket.settle(self._capacity(bucket), now)

    def level(self, name: str, now: timedelta) -> float | None:
        """Return the credit of a workspace in requests; None without a quota."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return None
        bucket.settle(self._capacity(bucket), now)
        return bucket.level

    def answer(
        self, instance: InstanceId, claim: CreditClaim, sharers: int, now: timedelta
    ) -> CreditAnswer | None:
        """Charge a claim and return the answer; None if there is no such quota.

        A repeated claim changes nothing, so that lost messages cost no credit.

        Parameters
        ----------
        sharers
            Number of instances that share the debt limits; 0 if the instance gets none.
        """
        bucket = self._buckets.get(claim.workspace)
        if bucket is None:
            return None
        bucket.settle(self._capacity(bucket), now)
        account = self._account(instance, claim, now)
        returned = max(0, claim.returned - account.returned)
        bucket.level = min(self._capacity(bucket), bucket.level + returned)
        bucket.level -= max(0, claim.used - account.used)
        account.returned = max(account.returned, claim.returned)
        account.used = max(account.used, claim.used)
        account.granted = max(account.granted, claim.received)
        missing = claim.wanted - (account.granted - claim.received)
        granted = max(0, min(missing, floor(bucket.level)))
        bucket.level -= granted
        account.granted += granted
        return CreditAnswer(
            claim.workspace,
            account.used,
            account.returned,
            account.granted,
            self._debt_limit(bucket, instance, sharers, now),
            _wait(bucket),
        )

    def _account(
        self, instance: InstanceId, claim: CreditClaim, now: timedelta
    ) -> _Account:
        """Return the account of an instance; a new one begins after what is confirmed.

        Returned credit was charged by an earlier leader if the account is new.
        """
        if now - self._rotated_at > _CLAIM_RETENTION:
            self._rotated_at = now
            self._older_accounts, self._accounts = self._accounts, {}
        key = (instance, claim.workspace)
        account = self._accounts.get(key) or self._older_accounts.get(key)
        if account is None:
            account = _Account(claim.confirmed, claim.returned, claim.received)
        self._accounts[key] = account
        return account

    def _debt_limit(
        self, bucket: _Bucket, instance: InstanceId, sharers: int, now: timedelta
    ) -> int:
        """Return the debt limit of an instance from now on.

        The limits that were given to all instances count until no window includes
        their use any more, whether or not the instances are still heard.
        """
        bucket.expire_limits(now)
        if bucket.level < 1 or sharers < 1 or now < bucket.limits_from:
            return 0
        total = _DEBT_SHARE * self._tolerance(bucket)
        earlier = bucket.debt_limits.get(instance)
        held = 0 if earlier is None else earlier.requests
        limit = min(
            floor(total / sharers), floor(total) - (bucket.debt_limit_sum - held)
        )
        # A lower limit is given only once the higher one has expired.
        if limit < max(1, held):
            return 0
        until = now + _LIMIT_WINDOWS * self._limits.window
        bucket.set_limit(instance, _DebtLimit(limit, until))
        return limit

    def _capacity(self, bucket: _Bucket) -> float:
        in_window = bucket.rate * self._limits.window.total_seconds()
        in_flight = _CAPACITY_OVERSHOOT * self._limits.overshoot * in_window
        # Below 1 no request could ever be admitted.
        return max(1.0, bucket.burst + _CAPACITY_SLACK * self._limits.slack + in_flight)

    def _tolerance(self, bucket: _Bucket) -> float:
        quota = bucket.rate * self._limits.window.total_seconds() + bucket.burst
        return self._limits.overshoot * quota + self._limits.slack


def _wait(bucket: _Bucket) -> timedelta:
    if bucket.level >= 1:
        return timedelta(0)
    seconds = (1 - bucket.level) / bucket.rate
    return timedelta(seconds=min(seconds, _MAX_WAIT_SECONDS))
