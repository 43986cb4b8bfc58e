"""Proposes settings commands to the replicated log and decodes their outcomes."""

from hashlib import sha256

from expression import Error, Ok, Result
from msgspec.structs import replace
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._errors import (
    Failure,
    RefusedSettings,
    RequestIdConflict,
    RequestIdReused,
    RevisionAhead,
    UnreadableOutcome,
)
from lovagetray._log_entries import Proposal
from lovagetray._proposals import Proposer
from lovagetray._settings_errors import ProblemCode, TreeProblem
from lovagetray.state import (
    Accepted,
    Action,
    Difference,
    RecordRefusal,
    Refused,
    SettingsCommand,
    SettingsOutcome,
    SettingsPreview,
    SettingsRequest,
    SettingsState,
    canonical_request,
    preview,
)
from lovagetray.wire import decode_settings_outcome, encode_settings_command

_log = get_logger()

# Separates operators' request ids from the request ids of other log entries.
_REQUEST_ID_PREFIX = "settings:"

# A refused import of 256 KiB can have 20,000 problems. The record of a refusal stays
# among the outcomes of the log for a day, so these limits keep it below 200 KB.
_MAX_RECORDED_ITEMS = 500
_MAX_TEXT_LENGTH = 128


class SettingsProposer:
    """Validation and proposal of requests, shared by the settings commands.

    If validation refuses a request, a record of the refusal is proposed under the id of
    the request. A resend then gets the same refusal, and the audit trail has only one
    entry for it.

    Parameters
    ----------
    state
        The settings of this instance, to which the log is applied.
    """

    def __init__(self, state: SettingsState, proposer: Proposer, clock: Clock) -> None:
        self._state = state
        self._proposer = proposer
        self._clock = clock

    async def submit(
        self, request: SettingsRequest, action: Action
    ) -> Result[Accepted, Failure]:
        """Return the outcome of a request; a resend gets that of the first attempt."""
        request = _with_fingerprint(canonical_request(request))
        if request.base > self._state.tree.revision:
            return Error(RevisionAhead(request.base, self._state.tree.revision))
        command: SettingsCommand = request
        match preview(self._state, request):
            case Result(
                tag="ok", ok=SettingsPreview(problems=problems) as previewed
            ) if problems:
                command = RecordRefusal(
                    request.origin,
                    action,
                    RefusedSettings(_bounded_problems(problems)),
                    _bounded_differences(previewed.differences),
                )
        body = encode_settings_command(command)
        proposal = Proposal(
            _REQUEST_ID_PREFIX + request.origin.request_id,
            self._clock.now(),
            body,
            request.origin.fingerprint,
        )
        match await self._proposer.propose(proposal):
            case Result(tag="ok", ok=encoded):
                return _decode_outcome(request, encoded)
            case Result(error=RequestIdConflict()):
                return Error(RequestIdReused(request.origin.request_id))
            case Result(error=failure):
                return Error(failure)


def _decode_outcome(
    request: SettingsRequest, encoded: bytes
) -> Result[Accepted, Failure]:
    match decode_settings_outcome(encoded):
        case Result(tag="ok", ok=outcome):
            pass
        case _:
            return Error(UnreadableOutcome(request.origin.request_id))
    result = _result_of(request, outcome)
    _log.info(
        "settings_request_decided",
        operator=request.origin.operator,
        outcome=type(outcome).__name__.lower(),
    )
    return result


def _result_of(
    request: SettingsRequest, outcome: SettingsOutcome
) -> Result[Accepted, Failure]:
    if outcome.fingerprint != request.origin.fingerprint:
        return Error(RequestIdReused(request.origin.request_id))
    match outcome:
        case Accepted():
            return Ok(outcome)
        case Refused(failure=failure):
            return Error(failure)


def _bounded_problems(problems: tuple[TreeProblem, ...]) -> tuple[TreeProblem, ...]:
    recorded = [
        problem._replace(
            path=problem.path[:_MAX_TEXT_LENGTH],
            key=problem.key[:_MAX_TEXT_LENGTH],
            found=problem.found[:_MAX_TEXT_LENGTH],
        )
        for problem in problems[:_MAX_RECORDED_ITEMS]
    ]
    if len(problems) > _MAX_RECORDED_ITEMS:
        found = f"{len(problems)} problems"
        expected = f"at most {_MAX_RECORDED_ITEMS}; the others are left out"
        code = ProblemCode.TOO_LARGE
        recorded.append(TreeProblem(code, "/", "", found, expected))
    return tuple(recorded)


def _bounded_differences(
    differences: tuple[Difference, ...],
) -> tuple[Difference, ...]:
    return tuple(
        difference._replace(
            path=difference.path[:_MAX_TEXT_LENGTH],
            key=difference.key[:_MAX_TEXT_LENGTH],
            new=None if difference.new is None else difference.new[:_MAX_TEXT_LENGTH],
        )
        for difference in differences[:_MAX_RECORDED_ITEMS]
    )


def _with_fingerprint(request: SettingsRequest) -> SettingsRequest:
    """Return the request with a fingerprint: a digest of its content and operator.

    The fingerprint leaves out the address, because a resend may come from another host.
    """
    hashed = replace(
        request, origin=request.origin._replace(address="", fingerprint="")
    )
    fingerprint = sha256(encode_settings_command(hashed)).hexdigest()
    return replace(request, origin=request.origin._replace(fingerprint=fingerprint))
