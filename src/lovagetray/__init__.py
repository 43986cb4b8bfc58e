"""lovagetray: a query tier over very many shards."""

from lovagetray._clock import Clock, SystemClock
from lovagetray._errors import Failure, proves_not_run
from lovagetray._process_settings import ProcessSettings, read_process_settings
from lovagetray._types import (
    Address,
    Announcement,
    Answer,
    Coverage,
    SearchRequest,
    Snapshot,
)
from lovagetray.cli import main
from lovagetray.entry import EntryInstance

__all__ = [
    "Address",
    "Announcement",
    "Answer",
    "Clock",
    "Coverage",
    "EntryInstance",
    "Failure",
    "ProcessSettings",
    "SearchRequest",
    "Snapshot",
    "SystemClock",
    "main",
    "proves_not_run",
    "read_process_settings",
]
