"""Each instance's part of quotas: admits requests and reports their use.

One report is in flight at a time, so an instance sends at most one in each round trip,
whatever the number of its requests and workspaces.
"""

from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from itertools import islice
from typing import NamedTuple

from curio import Event
from expression import Error, Ok, Result

from lovagetray._clock import Clock
from lovagetray._gateway_settings import QuotaLimits
from lovagetray._peer_messages import QuotaConfirmation, QuotaReport
from lovagetray._routing_errors import OverQuota, QuotaUnconfirmed
from lovagetray._routing_types import Workspace
from lovagetray._telemetry import (
    QUOTA_REPORT_SECONDS,
    QUOTA_REPORTS_LOST,
    QUOTA_REQUESTS,
)
from lovagetray._types import InstanceId
from lovagetray.queries.quota import (
    AdmitOnDebt,
    AwaitGrant,
    RefuseOverQuota,
    decide_admission,
    return_spacing,
)
from lovagetray.state import CreditAnswer, WorkspaceUse

# A round trip takes 2 ms, and through a relay 4 ms; a repeated report costs no credit.
_FIRST_ANSWER_TIMEOUT = timedelta(milliseconds=25)
_MAX_ANSWER_TIMEOUT = timedelta(milliseconds=200)
# A later answer may come from a leader that has been replaced meanwhile. Its grants
# would be used beside those of the new leader.
_MAX_ANSWER_AGE = timedelta(milliseconds=500)
# A new leader is elected within half a second in most cases.
_RETRY_UNCONFIRMED = timedelta(milliseconds=200)
# Part of the overshoot in a window for returned credit; see `state/_credit.py`.
_RETURN_SHARE = 0.4
# Retry-After is stated to 10 ms; 0 would make callers return at once.
_MIN_RETRY_AFTER = timedelta(milliseconds=10)
# Encoded, this many claims have about 60 KB.
_MAX_CLAIMS = 1000
# Longer than the leader keeps accounts: a new account could not begin while it has one.
_ABSENT_RETENTION = timedelta(minutes=2)
# More requests than an instance answers within the time that they may wait.
_MAX_WAITERS = 1000


class Admission(NamedTuple):
    """An admitted request, whose credit can be returned."""

    workspace: str
    admitted_at: timedelta


class _Waiter:
    """A request that waits for a grant; `granted` is None while it waits."""

    def __init__(self) -> None:
        self.settled = Event()
        self.granted: bool | None = None

    async def settle(self, granted: bool) -> None:
        self.granted = granted
        await self.settled.set()


class _Workspace(NamedTuple):
    """Use of a workspace at this instance and its requests that wait for a grant."""

    use: WorkspaceUse
    waiters: deque[_Waiter]


class QuotaReporter:
    """Admits requests of limited workspaces, and reports their use to the leader.

    Parameters
    ----------
    own_id
        Identity of this run of the instance.
    sharers
        Returns the number of instances that share the debt limits; 0 if this instance
        gets none.
    return_sharers
        Returns the number of instances that refused callers return to.
    send
        Sends a report to the leader, or loses it.
    """

    def __init__(
        self,
        own_id: InstanceId,
        limits: QuotaLimits,
        clock: Clock,
        sharers: Callable[[], int],
        return_sharers: Callable[[], int],
        send: Callable[[QuotaReport], Awaitable[None]],
    ) -> None:
        self._own_id = own_id
        self._limits = limits
        self._clock = clock
        self._sharers = sharers
        self._return_sharers = return_sharers
        self._send = send
        # Longer ago, the credit of a request would be spent a second time in a window.
        # One half is for the request and one for the reports until the leader knows.
        self._max_return_age = _RETURN_SHARE * limits.window * limits.overshoot / 2
        self._workspaces: dict[str, _Workspace] = {}
        # When the document named a workspace no longer, by name.
        self._absent_since: dict[str, timedelta] = {}
        # Names of the workspaces that the leader must be told of, oldest first.
        self._unsettled: dict[str, None] = {}
        self._answered_names: frozenset[str] = frozenset()
        self._has_work = Event()
        self._is_answered = Event()
        self._number = 0
        # When the reports were sent that may still be answered, by number.
        self._reported_at: dict[int, timedelta] = {}
        # When the first report was sent that no answer has followed.
        self._unanswered_since: timedelta | None = None

    def update(self, workspaces: Mapping[str, Workspace]) -> None:
        """Put the quotas of a routing document in force."""
        now = self._clock.monotonic_time()
        for name in list(self._workspaces):
            if name in workspaces:
                quota = workspaces[name]
                self._workspaces[name].use.change_quota(quota.rate, quota.burst)
                self._absent_since.pop(name, None)
                continue
            # Those that wait are refused when their time has passed.
            self._unsettled.pop(name, None)
            if now - self._absent_since.setdefault(name, now) > _ABSENT_RETENTION:
                del self._workspaces[name], self._absent_since[name]

    async def admit(
        self, workspace: Workspace, patience: timedelta
    ) -> Result[Admission, OverQuota | QuotaUnconfirmed]:
        """Return whether a request may run.

        Parameters
        ----------
        patience
            How long the request may wait for the leader.
        """
        known = self._workspaces.get(workspace.name)
        if known is None:
            use = WorkspaceUse(workspace.rate, workspace.burst)
            known = self._workspaces[workspace.name] = _Workspace(use, deque())
        now = self._clock.monotonic_time()
        match decide_admission(known.use, len(known.waiters), now):
            case RefuseOverQuota():
                return self._refuse(workspace, known.use)
            case AdmitOnDebt():
                known.use.admit()
                await self._report_soon(workspace.name)
                QUOTA_REQUESTS["admitted_on_debt"].inc()
                return Ok(Admission(workspace.name, now))
            case AwaitGrant():
                return await self._await_grant(workspace, known, patience)

    async def give_back(self, admission: Admission) -> None:
        """Return the credit of an admitted request that was not run."""
        now = self._clock.monotonic_time()
        known = self._workspaces.get(admission.workspace)
        if (
            known is None
            or admission.workspace in self._absent_since
            or now - admission.admitted_at > self._max_return_age
        ):
            return
        known.use.give_back(1, now)
        QUOTA_REQUESTS["returned"].inc()
        await self._report_soon(admission.workspace)

    async def receive(self, confirmation: QuotaConfirmation) -> None:
        """Handle an answer of the leader; late and overtaken ones are ignored."""
        reported_at = self._reported_at.get(confirmation.number)
        now = self._clock.monotonic_time()
        if reported_at is None or now - reported_at > _MAX_ANSWER_AGE:
            return
        for number in list(self._reported_at):
            if number <= confirmation.number:
                del self._reported_at[number]
        self._answered_names = frozenset(
            answer.workspace for answer in confirmation.answers
        )
        for answer in confirmation.answers:
            await self._accept(answer, reported_at, now)
        self._unanswered_since = None
        QUOTA_REPORT_SECONDS.observe((now - reported_at).total_seconds())
        await self._is_answered.set()

    async def run(self) -> None:
        """Report use, one report at a time, until cancelled."""
        timeout = _FIRST_ANSWER_TIMEOUT
        while True:
            if not self._unsettled:
                self._has_work.clear()
                await self._has_work.wait()
            self._is_answered.clear()
            report = self._next_report()
            await self._send(report)
            answered = await self._clock.with_timeout(timeout, self._is_answered.wait())
            if answered.is_ok():
                timeout = _FIRST_ANSWER_TIMEOUT
                if not self._forget_settled(report):
                    # The leader does not have the document with the workspace yet.
                    await self._clock.sleep(timeout)
            else:
                QUOTA_REPORTS_LOST.inc()
                timeout = min(2 * timeout, _MAX_ANSWER_TIMEOUT)

    def _next_report(self) -> QuotaReport:
        now = self._clock.monotonic_time()
        for number, reported_at in list(self._reported_at.items()):
            if now - reported_at > _MAX_ANSWER_AGE:
                del self._reported_at[number]
        claims = []
        for name in islice(self._unsettled, _MAX_CLAIMS):
            known = self._workspaces[name]
            claims.append(
                known.use.claim(name, len(known.waiters), now, self._max_return_age)
            )
        self._number += 1
        self._reported_at[self._number] = now
        if self._unanswered_since is None:
            self._unanswered_since = now
        return QuotaReport(self._own_id, self._number, self._sharers(), tuple(claims))

    def _forget_settled(self, report: QuotaReport) -> bool:
        """Keep the workspaces that must be reported again, after all others.

        Returns
        -------
        bool
            Whether the leader has answered all claims that are kept.
        """
        all_answered = True
        for claim in report.claims:
            name = claim.workspace
            if name not in self._unsettled:
                continue
            del self._unsettled[name]
            known = self._workspaces[name]
            if known.waiters or not known.use.is_settled:
                self._unsettled[name] = None
                all_answered = all_answered and name in self._answered_names
        return all_answered

    async def _accept(
        self, answer: CreditAnswer, reported_at: timedelta, now: timedelta
    ) -> None:
        known = self._workspaces.get(answer.workspace)
        if known is None:
            return
        granted = known.use.accept(answer, reported_at, now, self._limits.window)
        while granted and known.waiters:
            granted -= 1
            await known.waiters.popleft().settle(True)
        # A lost answer may have granted them already, to requests that gave up.
        asked_at = self._unanswered_since or reported_at
        if granted and now - asked_at <= self._max_return_age:
            known.use.give_back(granted, now)
        if answer.wait:
            while known.waiters:
                await known.waiters.popleft().settle(False)

    async def _await_grant(
        self, workspace: Workspace, known: _Workspace, patience: timedelta
    ) -> Result[Admission, OverQuota | QuotaUnconfirmed]:
        if len(known.waiters) >= _MAX_WAITERS:
            return self._give_up(workspace)
        waiter = _Waiter()
        known.waiters.append(waiter)
        try:
            await self._report_soon(workspace.name)
            await self._clock.with_timeout(patience, waiter.settled.wait())
        finally:
            if waiter.granted is None and waiter in known.waiters:
                known.waiters.remove(waiter)
        if waiter.granted:
            QUOTA_REQUESTS["granted"].inc()
            return Ok(Admission(workspace.name, self._clock.monotonic_time()))
        if waiter.granted is False:
            return self._refuse(workspace, known.use)
        return self._give_up(workspace)

    def _give_up(
        self, workspace: Workspace
    ) -> Result[Admission, OverQuota | QuotaUnconfirmed]:
        QUOTA_REQUESTS["unconfirmed"].inc()
        return Error(QuotaUnconfirmed(workspace.name, _RETRY_UNCONFIRMED))

    def _refuse(
        self, workspace: Workspace, use: WorkspaceUse
    ) -> Result[Admission, OverQuota | QuotaUnconfirmed]:
        spacing = return_spacing(workspace.rate, self._return_sharers())
        now = self._clock.monotonic_time()
        QUOTA_REQUESTS["over_quota"].inc()
        retry_after = use.next_return(now, spacing, self._limits.window)
        return Error(OverQuota(workspace.name, max(retry_after, _MIN_RETRY_AFTER)))

    async def _report_soon(self, name: str) -> None:
        self._unsettled[name] = None
        await self._has_work.set()
