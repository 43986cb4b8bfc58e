"""lovagetray: a query tier over very many shards."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
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

# Imported at first use: a gateway needs neither the command line nor the entry
# instance, and its memory is charged per megabyte.
_MODULES = {
    "Clock": "_clock",
    "SystemClock": "_clock",
    "Failure": "_errors",
    "proves_not_run": "_errors",
    "ProcessSettings": "_process_settings",
    "read_process_settings": "_process_settings",
    "Address": "_types",
    "Announcement": "_types",
    "Answer": "_types",
    "Coverage": "_types",
    "SearchRequest": "_types",
    "Snapshot": "_types",
    "main": "cli",
    "EntryInstance": "entry",
}


def __getattr__(name: str) -> Any:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
