"""Sends one request to one replica of each of several services."""

from lovagetray.queries.dispatch._dispatch import (
    Dispatch,
    DispatchDependencies,
    RequestEncoder,
    ServiceCall,
    response_cutoff,
)
