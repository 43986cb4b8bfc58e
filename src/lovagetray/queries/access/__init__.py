"""Access: which workspace a request belongs to, and whether it may run."""

from lovagetray.queries.access._authenticate import (
    AccessLimits,
    accepts_keys,
    access_limits,
    authenticate,
)
from lovagetray.queries.access._priority import request_priority
