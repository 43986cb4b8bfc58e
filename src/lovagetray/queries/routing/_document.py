"""Linearizable read of the routing document."""

from expression import Error, Ok, Result

from lovagetray._routing_errors import NotConfirmed
from lovagetray._routing_types import RoutingDocument
from lovagetray.commands.agreement import Agreement
from lovagetray.state import RoutingState


def current_document(
    routing: RoutingState, agreement: Agreement
) -> Result[RoutingDocument | None, NotConfirmed]:
    """Return the newest accepted document, or None if there is none yet.

    The read is refused with `NotConfirmed` unless this instance is the leader and a
    majority confirmed it within the read lease; otherwise a newer document may exist.
    """
    if not agreement.serves_linearizable_reads():
        return Error(NotConfirmed(agreement.leader or ""))
    table = routing.table
    return Ok(None if table is None else table.document)
