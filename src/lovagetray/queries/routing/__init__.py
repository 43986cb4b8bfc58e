"""Queries about routing: instance addresses and the routing document."""

from lovagetray.queries.routing._addresses import AddressList, listed_instances
from lovagetray.queries.routing._document import current_document
