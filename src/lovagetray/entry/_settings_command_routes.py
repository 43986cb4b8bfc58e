"""HTTP routes of settings commands, for operators."""

from collections.abc import Callable, Iterable

from expression import Result

from lovagetray._errors import Failure
from lovagetray.commands.settings import (
    SettingsProposer,
    change_settings,
    import_tree,
    roll_back,
)
from lovagetray.entry._operators import Operators
from lovagetray.entry._router import Handler
from lovagetray.queries.settings import dry_run
from lovagetray.state import Accepted, Origin, SettingsRequest, SettingsState
from lovagetray.wire import (
    ChangesDocument,
    HttpRequest,
    HttpResponse,
    ImportDocument,
    RollBackDocument,
    change_command,
    decode_changes,
    decode_import,
    decode_roll_back,
    encode_accepted_change,
    encode_named_tuple,
    encode_settings_failure,
    import_command,
    roll_back_command,
)

Document = ChangesDocument | RollBackDocument | ImportDocument


class SettingsCommandRoutes:
    """Handlers of operators' changes of settings.

    Parameters
    ----------
    known_paths
        Returns the paths of known services and data centres, for dry runs.
    """

    def __init__(
        self,
        state: SettingsState,
        proposer: SettingsProposer,
        operators: Operators,
        known_paths: Callable[[], Iterable[str]],
    ) -> None:
        self._state = state
        self._proposer = proposer
        self._operators = operators
        self._known_paths = known_paths

    def routes(self) -> dict[tuple[str, str], Handler]:
        """Return the handlers by method and path; all need an operator's token."""
        guard = self._operators.guard
        return {
            ("POST", "/v1/settings/change"): guard(self.change),
            ("POST", "/v1/settings/rollback"): guard(self.roll_back),
            ("POST", "/v1/settings/import"): guard(self.import_tree),
        }

    async def change(
        self, request: HttpRequest, request_id: str, operator: str
    ) -> HttpResponse:
        """Answer ``POST /v1/settings/change``."""
        match decode_changes(request.body):
            case Result(tag="ok", ok=document):
                origin = _origin(request, request_id, operator, document)
            case Result(error=malformed):
                return encode_settings_failure(malformed, request_id)
        command = change_command(document, origin)
        if document.get("dry_run", False):
            return self._dry_run(command)
        return _answer(await change_settings(self._proposer, command), origin)

    async def roll_back(
        self, request: HttpRequest, request_id: str, operator: str
    ) -> HttpResponse:
        """Answer ``POST /v1/settings/rollback``."""
        match decode_roll_back(request.body):
            case Result(tag="ok", ok=document):
                origin = _origin(request, request_id, operator, document)
            case Result(error=malformed):
                return encode_settings_failure(malformed, request_id)
        command = roll_back_command(document, origin)
        if document.get("dry_run", False):
            return self._dry_run(command)
        return _answer(await roll_back(self._proposer, command), origin)

    async def import_tree(
        self, request: HttpRequest, request_id: str, operator: str
    ) -> HttpResponse:
        """Answer ``POST /v1/settings/import``."""
        match decode_import(request.body):
            case Result(tag="ok", ok=document):
                origin = _origin(request, request_id, operator, document)
            case Result(error=malformed):
                return encode_settings_failure(malformed, request_id)
        command = import_command(document, origin)
        if document.get("dry_run", False):
            return self._dry_run(command)
        return _answer(await import_tree(self._proposer, command), origin)

    def _dry_run(self, command: SettingsRequest) -> HttpResponse:
        match dry_run(self._state, command, self._known_paths()):
            case Result(tag="ok", ok=outcome):
                return encode_named_tuple(outcome)
            case Result(error=failure):
                return encode_settings_failure(failure, command.origin.request_id)


def _origin(
    request: HttpRequest, request_id: str, operator: str, document: Document
) -> Origin:
    effective_request_id = document.get("request_id", request_id)
    return Origin(operator, request.peer_host, effective_request_id, fingerprint="")


def _answer(result: Result[Accepted, Failure], origin: Origin) -> HttpResponse:
    match result:
        case Result(tag="ok", ok=accepted):
            return encode_accepted_change(accepted, origin.request_id)
        case Result(error=failure):
            return encode_settings_failure(failure, origin.request_id)
