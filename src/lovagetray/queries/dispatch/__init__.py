"""Dispatch: sends a request to one replica of each service, with retries and hedges."""

from lovagetray.queries.dispatch._answer_limit import AnswerLimit
from lovagetray.queries.dispatch._dispatch import (
    Dispatch,
    DispatchDependencies,
    RequestEncoder,
    ServiceCall,
    response_cutoff,
)
