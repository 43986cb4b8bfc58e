"""Proposes commands on settings to the replicated log and reads their outcomes."""

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
    Plan,
    RecordRefusal,
    Refused,
    SettingsCommand,
    SettingsOutcome,
    SettingsRequest,
    SettingsState,
    canonical,
    plan,
)
from lovagetray.wire import decode_settings_outcome, encode_settings_command

_log = get_logger()

# Keeps operators' request ids apart from those of other entries of the log.
_ID_PREFIX = "settings:"

# A refused import of 256 KiB can hold 20,000 problems; their record stays in the log's
# outcomes for a day, so it is kept below 200 KB.
_MOST_RECORDED = 500
_LONGEST_TEXT = 128


class SettingsProposer:
    """Validates requests and proposes them; shared by the settings commands.

    A request that validation refuses is proposed as the record of its refusal, under
    the request's own id, so that a resend yields the same refusal and the audit trail
    holds it once.

    Parameters
    ----------
    state
        The settings that the log is applied to at this instance.
    """

    def __init__(self, state: SettingsState, proposer: Proposer, clock: Clock) -> None:
        self._state = state
        self._proposer = proposer
        self._clock = clock

    async def submit(
        self, request: SettingsRequest, action: Action
    ) -> Result[Accepted, Failure]:
        """Return the outcome of a request, of its first sending if it is a resend."""
        request = _with_fingerprint(canonical(request))
        if request.base > self._state.tree.revision:
            return Error(RevisionAhead(request.base, self._state.tree.revision))
        command: SettingsCommand = request
        match plan(self._state, request):
            case Result(tag="ok", ok=Plan(problems=problems) as planned) if problems:
                command = RecordRefusal(
                    request.origin,
                    action,
                    RefusedSettings(_bounded_problems(problems)),
                    _bounded_differences(planned.differences),
                )
        body = encode_settings_command(command)
        proposal = Proposal(
            _ID_PREFIX + request.origin.request_id,
            self._clock.now(),
            body,
            request.origin.fingerprint,
        )
        match await self._proposer.propose(proposal):
            case Result(tag="ok", ok=encoded):
                return _read_outcome(request, encoded)
            case Result(error=RequestIdConflict()):
                return Error(RequestIdReused(request.origin.request_id))
            case Result(error=failure):
                return Error(failure)


def _read_outcome(
    request: SettingsRequest, encoded: bytes
) -> Result[Accepted, Failure]:
    match decode_settings_outcome(encoded):
        case Result(tag="ok", ok=outcome):
            pass
        case _:
            return Error(UnreadableOutcome(request.origin.request_id))
    result = _result(request, outcome)
    _log.info(
        "settings_request_decided",
        operator=request.origin.operator,
        outcome=type(outcome).__name__.lower(),
    )
    return result


def _result(
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
    kept = [
        problem._replace(
            path=problem.path[:_LONGEST_TEXT],
            key=problem.key[:_LONGEST_TEXT],
            found=problem.found[:_LONGEST_TEXT],
        )
        for problem in problems[:_MOST_RECORDED]
    ]
    if len(problems) > _MOST_RECORDED:
        found = f"{len(problems)} problems"
        expected = f"at most {_MOST_RECORDED}; the others are left out"
        code = ProblemCode.TOO_LARGE
        kept.append(TreeProblem(code, "/", "", found, expected))
    return tuple(kept)


def _bounded_differences(
    differences: tuple[Difference, ...],
) -> tuple[Difference, ...]:
    return tuple(
        one._replace(
            path=one.path[:_LONGEST_TEXT],
            key=one.key[:_LONGEST_TEXT],
            new=None if one.new is None else one.new[:_LONGEST_TEXT],
        )
        for one in differences[:_MOST_RECORDED]
    )


def _with_fingerprint(request: SettingsRequest) -> SettingsRequest:
    """Return the request with the digest of what is asked and by whom.

    The address is left out: a resend may arrive from another host.
    """
    plain = replace(request, origin=request.origin._replace(address="", fingerprint=""))
    fingerprint = sha256(encode_settings_command(plain)).hexdigest()
    return replace(request, origin=request.origin._replace(fingerprint=fingerprint))
