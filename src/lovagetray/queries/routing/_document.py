"""Reads the routing document, only where it is sure to be the newest."""

from expression import Error, Ok, Result

from lovagetray._routing_errors import NotConfirmed
from lovagetray._routing_types import RoutingDocument
from lovagetray.commands.agreement import Agreement
from lovagetray.state import RoutingState


def current_document(
    routing: RoutingState, agreement: Agreement
) -> Result[RoutingDocument | None, NotConfirmed]:
    """Return the newest accepted document, None if there is none yet.

    Only a leader that a majority confirmed within the read lease can be sure of it.
    """
    if not agreement.serves_linearizable_reads():
        return Error(NotConfirmed(agreement.leader or ""))
    table = routing.table
    return Ok(None if table is None else table.document)
