"""Access of callers' requests by key, as far as the state of this instance allows."""

from collections.abc import Callable
from datetime import timedelta
from math import inf

from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._routing_errors import AccessFailure, StateTooOld
from lovagetray._routing_types import CallerRequest, Route, Workspace
from lovagetray._telemetry import ACCESS_REFUSALS, CONFIRMED_STATE_AGE
from lovagetray.commands.agreement import Agreement
from lovagetray.queries.access import (
    AccessLimits,
    accepts_keys,
    access_limits,
    authenticate,
)
from lovagetray.state import RoutingTable

_log = get_logger()


class AccessControl:
    """Authentication of requests on the routing document in force.

    Parameters
    ----------
    limits
        How old the state may be that decisions are based on.
    state_confirmed_at
        Returns a time until which all accepted changes are applied here, if any.
    """

    def __init__(
        self,
        limits: AccessLimits,
        state_confirmed_at: Callable[[], timedelta | None],
        clock: Clock,
    ) -> None:
        self._limits = limits
        self._state_confirmed_at = state_confirmed_at
        self._clock = clock
        self._refuses = False
        CONFIRMED_STATE_AGE.set_function(self._age_seconds)

    def admit(
        self, table: RoutingTable, route: Route, request: CallerRequest
    ) -> CallerRequest | AccessFailure:
        """Return a request with its workspace and without its key, or why it fails.

        Where the document has no workspaces, the request is returned unchanged.
        """
        if table.workspaces is None:
            return request
        age = self._state_age() if request.credentials else None
        match authenticate(
            table.workspaces, request.credentials, route.public, age, self._limits
        ):
            case None:
                return _identify(request, None)
            case Workspace(name=name):
                self._log_change(False, age)
                return _identify(request, name)
            case StateTooOld() as failure:
                # An unknown key is refused earlier, which says nothing of known ones.
                self._log_change(not accepts_keys(age, self._limits), age)
            case failure:
                pass
        ACCESS_REFUSALS[failure.code].inc()
        return failure

    def _state_age(self) -> timedelta | None:
        confirmed_at = self._state_confirmed_at()
        if confirmed_at is None:
            return None
        return self._clock.monotonic_time() - confirmed_at

    def _age_seconds(self) -> float:
        age = self._state_age()
        return inf if age is None else age.total_seconds()

    def _log_change(self, refuses: bool, age: timedelta | None) -> None:
        """Log when the refusals because of old state begin and end."""
        if refuses is self._refuses:
            return
        self._refuses = refuses
        age_ms = None if age is None else round(age / timedelta(milliseconds=1))
        if refuses:
            _log.warning("keys_not_accepted", state_age_ms=age_ms)
        else:
            _log.info("keys_accepted_again", state_age_ms=age_ms)


def open_access(
    settings: GatewaySettings, agreement: Agreement, clock: Clock
) -> AccessControl:
    """Return the access control of a gateway."""
    limits = access_limits(settings.revocation_limit, settings.document_delay)
    return AccessControl(limits, agreement.state_confirmed_at, clock)


def _identify(request: CallerRequest, workspace: str | None) -> CallerRequest:
    """Return a request with its workspace, without what the caller said of itself."""
    return request._replace(credentials=(), identity_headers=(), workspace=workspace)
