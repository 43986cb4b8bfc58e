"""Accepts routing documents."""

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
    """Agree on a document; return the version in force once it is accepted.

    A document whose version is not the highest is accepted and changes nothing.
    """
    problems = document_problems(document)
    if problems:
        _log.warning("routing_refused", version=document.version, problems=problems)
        return Error(InvalidDocument(problems))
    digest = blake2b(document.source, digest_size=16).hexdigest()
    # The time makes each attempt an entry of its own: whether a resend changes anything
    # is decided by its version, on every instance in the same way.
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
