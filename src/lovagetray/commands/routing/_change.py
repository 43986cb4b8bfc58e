"""Proposes routing documents to the replicated log."""

from hashlib import blake2b

from expression import Error, Ok, Result
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._errors import Failure
from lovagetray._log_entries import Proposal
from lovagetray._proposals import Proposer
from lovagetray._routing_errors import InvalidDocument
from lovagetray._routing_types import RoutingDocument
from lovagetray.state import RoutingState, document_problems

_log = get_logger()


async def put_document(
    document: RoutingDocument, routing: RoutingState, proposer: Proposer, clock: Clock
) -> Result[int, Failure | InvalidDocument]:
    """Return the version in force after a routing document was proposed.

    A document is accepted but has no effect if its version is not the highest so far.

    Returns
    -------
    Result
        The version, or `InvalidDocument` with all problems of the document, or the
        failure of the proposal.
    """
    problems = document_problems(document)
    if problems:
        _log.warning("routing_refused", version=document.version, problems=problems)
        return Error(InvalidDocument(problems))
    digest = blake2b(document.source, digest_size=16).hexdigest()
    # The time in the request id makes each attempt a separate log entry. Every instance
    # then decides by the version alone whether a resend has an effect.
    request_id = f"routing:{document.version}:{digest}:{clock.monotonic_time()}"
    proposal = Proposal(request_id, clock.now(), document.source)
    match await proposer.propose(proposal):
        case Result(tag="ok", ok=outcome):
            _log.info(
                "routing_accepted", version=document.version, in_force=int(outcome)
            )
            return Ok(int(outcome))
        case Result(error=failure):
            _log.warning(
                "routing_unconfirmed", version=document.version, reason=str(failure)
            )
            return Error(failure)
