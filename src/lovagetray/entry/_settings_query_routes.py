"""HTTP routes of queries for settings and the audit trail, for operators."""

from expression import Error, Ok, Result

from lovagetray._errors import MalformedRequest
from lovagetray.entry._operators import Operators
from lovagetray.entry._router import Handler
from lovagetray.queries.settings import (
    audit_page,
    diff,
    explain,
    get,
    history,
    show,
)
from lovagetray.state import SettingsState
from lovagetray.wire import (
    HttpRequest,
    HttpResponse,
    encode_diff,
    encode_explanation,
    encode_export,
    encode_history,
    encode_named_tuple,
    encode_settings_failure,
    encode_value,
)

_DEFAULT_PAGE_SIZE = 50
_MAX_PAGE_SIZE = 500


class SettingsQueryRoutes:
    """Handlers of operators' queries for settings and the audit trail."""

    def __init__(self, state: SettingsState, operators: Operators) -> None:
        self._state = state
        self._operators = operators

    def routes(self) -> dict[tuple[str, str], Handler]:
        """Return the handlers by method and path; all need an operator's token."""
        guard = self._operators.guard
        return {
            ("GET", "/v1/settings"): guard(self.show),
            ("GET", "/v1/settings/value"): guard(self.value),
            ("GET", "/v1/settings/explain"): guard(self.explain),
            ("GET", "/v1/settings/diff"): guard(self.diff),
            ("GET", "/v1/settings/history"): guard(self.history),
            ("GET", "/v1/settings/export"): guard(self.export),
            ("GET", "/v1/audit"): guard(self.audit),
        }

    async def show(
        self, request: HttpRequest, request_id: str, operator: str
    ) -> HttpResponse:
        """Answer ``GET /v1/settings?path=``."""
        match show(self._state.tree, request.query.get("path", "/")):
            case Result(tag="ok", ok=shown):
                return encode_named_tuple(shown)
            case Result(error=failure):
                return encode_settings_failure(failure, request_id)

    async def value(
        self, request: HttpRequest, request_id: str, operator: str
    ) -> HttpResponse:
        """Answer ``GET /v1/settings/value?path=&key=``."""
        tree = self._state.tree
        path, key = request.query.get("path", "/"), request.query.get("key", "")
        match get(tree, path, key):
            case Result(tag="ok", ok=explained):
                return encode_value(explained, tree.revision)
            case Result(error=failure):
                return encode_settings_failure(failure, request_id)

    async def explain(
        self, request: HttpRequest, request_id: str, operator: str
    ) -> HttpResponse:
        """Answer ``GET /v1/settings/explain?path=&key=``."""
        tree = self._state.tree
        path, key = request.query.get("path", "/"), request.query.get("key", "")
        match explain(tree, path, key):
            case Result(tag="ok", ok=explained):
                return encode_explanation(explained, tree.revision)
            case Result(error=failure):
                return encode_settings_failure(failure, request_id)

    async def diff(
        self, request: HttpRequest, request_id: str, operator: str
    ) -> HttpResponse:
        """Answer ``GET /v1/settings/diff?old=&new=``.

        The default of `new` is the revision in force.
        """
        newest = self._state.tree.revision
        match _number(request, "old", None), _number(request, "new", newest):
            case Result(tag="ok", ok=old), Result(tag="ok", ok=new):
                pass
            case Result(tag="error", error=malformed), _:
                return encode_settings_failure(malformed, request_id)
            case _, Result(error=malformed):
                return encode_settings_failure(malformed, request_id)
        match diff(self._state, old, new):
            case Result(tag="ok", ok=differences):
                return encode_diff(old, new, differences)
            case Result(error=failure):
                return encode_settings_failure(failure, request_id)

    async def history(
        self, request: HttpRequest, request_id: str, operator: str
    ) -> HttpResponse:
        """Answer ``GET /v1/settings/history?limit=``."""
        match _number(request, "limit", _DEFAULT_PAGE_SIZE):
            case Result(tag="ok", ok=limit):
                revisions = history(self._state, min(limit, _MAX_PAGE_SIZE))
                return encode_history(self._state.tree.revision, revisions)
            case Result(error=malformed):
                return encode_settings_failure(malformed, request_id)

    async def export(
        self, request: HttpRequest, request_id: str, operator: str
    ) -> HttpResponse:
        """Answer ``GET /v1/settings/export?revision=``."""
        match _number(request, "revision", self._state.tree.revision):
            case Result(tag="ok", ok=revision):
                pass
            case Result(error=malformed):
                return encode_settings_failure(malformed, request_id)
        match self._state.tree_at(revision):
            case Result(tag="ok", ok=tree):
                return encode_export(revision, tree.branches)
            case Result(error=failure):
                return encode_settings_failure(failure, request_id)

    async def audit(
        self, request: HttpRequest, request_id: str, operator: str
    ) -> HttpResponse:
        """Answer ``GET /v1/audit?before=&limit=``."""
        after_newest = self._state.audit.newest_sequence + 1
        match _number(request, "before", after_newest), _number(
            request, "limit", _DEFAULT_PAGE_SIZE
        ):
            case Result(tag="ok", ok=before), Result(tag="ok", ok=limit):
                page = audit_page(self._state.audit, before, min(limit, _MAX_PAGE_SIZE))
                return encode_named_tuple(page)
            case Result(tag="error", error=malformed), _:
                return encode_settings_failure(malformed, request_id)
            case _, Result(error=malformed):
                return encode_settings_failure(malformed, request_id)


def _number(
    request: HttpRequest, name: str, default: int | None
) -> Result[int, MalformedRequest]:
    """Return a whole number of the query string, or `default` if it is missing."""
    text = request.query.get(name)
    if text is None and default is not None:
        return Ok(default)
    if text is None or not (text.isascii() and text.isdecimal() and len(text) < 19):
        return Error(MalformedRequest(f"{name} must be a whole number"))
    return Ok(int(text))
