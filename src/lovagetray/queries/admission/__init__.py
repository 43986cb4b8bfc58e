"""Admission control: whether a request is run, by expected cost and remaining work."""

from lovagetray.queries.admission._admission import Admission
from lovagetray.queries.admission._decide import (
    Admit,
    Claim,
    Refuse,
    WorkspaceUse,
    decide,
    wait_horizon,
    wait_share,
)
