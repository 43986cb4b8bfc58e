"""Queries about instances: addresses for callers and ownership of replicas."""

from lovagetray.queries.membership._addresses import addresses_for
from lovagetray.queries.membership._ownership import (
    eligible_owners,
    owner_of,
    ownership_ranking,
)
from lovagetray.queries.membership._relays import (
    MAX_MESH_INSTANCES,
    choose_relay,
    relay_names,
)
