"""Scatter/gather queries over many shards."""

from lovagetray.queries.gathering._completion_policy import (
    AnswerNow,
    CompletionPolicy,
    WaitUntil,
    completion_policy,
)
from lovagetray.queries.gathering._gather import GatheredAnswer, gather
from lovagetray.queries.gathering._merge import RECORD_BYTES, greatest_records
