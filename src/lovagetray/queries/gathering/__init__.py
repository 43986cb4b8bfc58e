"""Queries over many shards."""

from lovagetray.queries.gathering._completion_policy import (
    AnswerNow,
    Patience,
    WaitUntil,
    patience,
)
from lovagetray.queries.gathering._gather import GatheredAnswer, gather
from lovagetray.queries.gathering._merge import RECORD_BYTES, greatest_records
