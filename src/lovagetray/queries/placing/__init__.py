"""Decides which replica gets a request and whether a second one may."""

from lovagetray.queries.placing._choose import choose_replica, replica_cost
from lovagetray.queries.placing._extra_budget import ExtraBudget
from lovagetray.queries.placing._home import connection_limits, home_replica
from lovagetray.queries.placing._placement import Placement
from lovagetray.queries.placing._records import ReplicaRecord, RouteRecord
