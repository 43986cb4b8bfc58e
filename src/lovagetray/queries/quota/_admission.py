"""The decision of an instance on a request of a workspace that has a quota.

It takes constant time and depends only on what the instance knows of the workspace.
"""

from datetime import timedelta
from typing import NamedTuple

from lovagetray.state import WorkspaceUse

# Refused callers of workspaces with a very low quota return together after this time.
_MAX_SPACING_SECONDS = 60.0


class AdmitOnDebt(NamedTuple):
    """Admission at once; the leader learns of the request later."""


class AwaitGrant(NamedTuple):
    """Admission only if the leader grants it."""


class RefuseOverQuota(NamedTuple):
    """Refusal, because the leader expects no credit before `until`."""

    until: timedelta


QuotaDecision = AdmitOnDebt | AwaitGrant | RefuseOverQuota


def decide_admission(use: WorkspaceUse, waiting: int, now: timedelta) -> QuotaDecision:
    """Return the decision on one more request.

    Parameters
    ----------
    waiting
        Earlier requests that wait for a grant; a later one does not overtake them.
    """
    if now < use.refused_until:
        return RefuseOverQuota(use.refused_until)
    if not waiting and use.debt < use.debt_limit(now):
        return AdmitOnDebt()
    return AwaitGrant()


def return_spacing(rate: float, sharers: int) -> timedelta:
    """Return the time between two returns of callers that this instance refused.

    All instances together then get `rate` returning callers per second.

    Parameters
    ----------
    sharers
        Number of instances among which the callers are spread.
    """
    return timedelta(seconds=min(max(1, sharers) / rate, _MAX_SPACING_SECONDS))
