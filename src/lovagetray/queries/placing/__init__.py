"""Load balancing: replica choice, back-off, retry budget and subsetting."""

from lovagetray.queries.placing._choose import choose_replica, replica_cost
from lovagetray.queries.placing._extra_budget import ExtraBudget
from lovagetray.queries.placing._home import connection_limits, home_replica
from lovagetray.queries.placing._placement import Placement
from lovagetray.queries.placing._records import ReplicaRecord, RouteRecord
