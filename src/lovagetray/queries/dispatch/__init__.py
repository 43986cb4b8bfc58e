"""Dispatch: sends a request to one replica of each service, with retries and hedges."""

from lovagetray.queries.dispatch._dispatch import (
    Dispatch,
    DispatchDependencies,
    RequestEncoder,
    ServiceCall,
    response_cutoff,
)
from lovagetray.queries.dispatch._planned_stop import (
    accepting_time,
    can_be_served,
    stop_schedule,
)
