"""Queries about instances: addresses, ownership and status."""

from lovagetray.queries.membership._addresses import addresses_for
from lovagetray.queries.membership._ownership import (
    eligible_owners,
    owner_of,
    ownership_ranking,
)
