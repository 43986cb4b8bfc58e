"""Queries about routing: instance addresses and the routing document."""

from lovagetray.queries.routing._addresses import AddressList, addresses_for
from lovagetray.queries.routing._document import current_document
