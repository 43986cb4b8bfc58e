"""The search path: admission, snapshot, fan-out, replica choice and merge."""

from lovagetray.queries.search._admission import Admission
from lovagetray.queries.search._coordinate import Searcher
from lovagetray.queries.search._fan_out import FanOut
from lovagetray.queries.search._merge import Merge
from lovagetray.queries.search._retry_budget import RetryBudget, TokenBucket
from lovagetray.queries.search._settings import (
    LeastInFlight,
    LowestCost,
    Policy,
    RandomReplica,
    SearchSettings,
    SettingsOf,
    default_settings,
    parse_policy,
)
from lovagetray.queries.search._snapshot import choose_snapshot
