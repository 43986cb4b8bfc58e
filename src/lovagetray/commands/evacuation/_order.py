"""Proposes evacuation orders to the replicated log."""

from uuid import uuid4

from expression import Error, Ok, Result
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._errors import Failure
from lovagetray._evacuation_errors import InvalidDataCentre, OrderNotApplied
from lovagetray._log_entries import Proposal
from lovagetray._proposals import Proposer
from lovagetray.state import (
    MAX_DATA_CENTRE_LENGTH,
    MAX_EVACUATED,
    EvacuationOrder,
    EvacuationOutcome,
)
from lovagetray.wire import decode_evacuation_outcome, encode_evacuation_order

_log = get_logger()


async def order_evacuation(
    order: EvacuationOrder, proposer: Proposer, clock: Clock
) -> Result[None, Failure | InvalidDataCentre | OrderNotApplied]:
    """Return once an order is committed, or why it is refused or unconfirmed.

    Orders for unknown data centres are accepted. The order that is applied last wins.
    """
    name = order.data_centre
    if not 0 < len(name) <= MAX_DATA_CENTRE_LENGTH:
        return Error(
            InvalidDataCentre(
                f"the name needs 1 to {MAX_DATA_CENTRE_LENGTH} characters"
            )
        )
    # A random id makes each order a separate log entry, so that an order that is sent
    # again after its opposite has an effect.
    request_id = f"evacuation:{uuid4().hex}"
    proposal = Proposal(request_id, clock.now(), encode_evacuation_order(order))
    kind = type(order).__name__
    match await proposer.propose(proposal):
        case Result(tag="ok", ok=encoded):
            pass
        case Result(error=failure):
            _log.warning(
                "evacuation_unconfirmed",
                order=kind,
                data_centre=name,
                reason=str(failure),
            )
            return Error(failure)
    match decode_evacuation_outcome(encoded):
        case Result(tag="ok", ok=EvacuationOutcome(accepted=True)):
            _log.info("evacuation_accepted", order=kind, data_centre=name)
            return Ok(None)
        case Result(tag="ok"):
            reason = f"at most {MAX_EVACUATED} data centres can be evacuated"
            _log.warning("evacuation_refused", data_centre=name, reason=reason)
            return Error(InvalidDataCentre(reason))
        case _:
            # The leader runs an earlier version, which ignores the order.
            _log.warning("evacuation_not_applied", order=kind, data_centre=name)
            return Error(OrderNotApplied())
