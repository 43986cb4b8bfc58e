"""Load balancing: replica choice, backoff, retry budget and subsetting."""

from lovagetray.queries.load_balancing._choose import choose_replica, replica_cost
from lovagetray.queries.load_balancing._cold_limit import (
    HANDOVER_TIME,
    ColdLimit,
    ColdShare,
    cold_holders,
    cold_share,
)
from lovagetray.queries.load_balancing._cost import (
    CostEstimator,
    Estimate,
    ExpectedWork,
    blend,
)
from lovagetray.queries.load_balancing._load_balancer import LoadBalancer
from lovagetray.queries.load_balancing._placement import (
    ExpectedCostPlacement,
    LatencyPlacement,
    PlacementMode,
    Room,
    choose_by_completion,
)
from lovagetray.queries.load_balancing._remaining_work import ReplicaWork, SentWork
from lovagetray.queries.load_balancing._retry_budget import RetryBudget
from lovagetray.queries.load_balancing._stats import ReplicaStats, RouteStats
from lovagetray.queries.load_balancing._subsetting import (
    connection_limits,
    preferred_replica,
)
