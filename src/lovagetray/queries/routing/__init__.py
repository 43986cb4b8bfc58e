"""What callers and operators may ask about routing."""

from lovagetray.queries.routing._addresses import AddressList, addresses_for
from lovagetray.queries.routing._document import current_document
