"""The leader's part of quotas: answers reports of use from its credit book."""

from collections.abc import Callable, Mapping
from datetime import timedelta

from structlog import get_logger

from lovagetray._gateway_settings import QuotaLimits
from lovagetray._peer_messages import QuotaConfirmation, QuotaReport
from lovagetray._routing_types import Workspace
from lovagetray.state import CreditBook

_log = get_logger()


class QuotaConfirmer:
    """Answers reports of use while this instance leads and a majority confirms it.

    Parameters
    ----------
    leading_term
        Returns the term in which this instance leads while its lease holds; else None.
    """

    def __init__(
        self, limits: QuotaLimits, leading_term: Callable[[], int | None]
    ) -> None:
        self._leading_term = leading_term
        self._book = CreditBook(limits)
        self._term: int | None = None
        self._workspaces: Mapping[str, Workspace] = {}

    def update(self, workspaces: Mapping[str, Workspace], now: timedelta) -> None:
        """Put the quotas of a routing document in force."""
        self._workspaces = workspaces
        self._book.update(workspaces, now)

    def observe(self, now: timedelta) -> bool:
        """Return whether this instance answers reports; a new leader's credit starts.

        Called at intervals as well, so that credit accrues before the first report.
        """
        term = self._leading_term()
        if term is None:
            return False
        if term != self._term:
            self._term = term
            self._book.begin(term, self._workspaces, now)
            if self._workspaces:
                _log.info("quota_credit_started", term=term)
        return True

    def answer(self, report: QuotaReport, now: timedelta) -> QuotaConfirmation | None:
        """Return the answer to a report; None unless this instance leads."""
        if not self.observe(now):
            return None
        answers = (
            self._book.answer(report.origin, claim, report.sharers, now)
            for claim in report.claims
        )
        return QuotaConfirmation(
            report.origin,
            report.number,
            tuple(answer for answer in answers if answer is not None),
        )
