"""Reports of unexpected exceptions in the tasks of a process."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from prometheus_client import Counter
from structlog import get_logger

from lovagetray._clock import Clock

_log = get_logger()
_TASK_FAILURES = Counter(
    "lovagetray_task_failures_total",
    "Unexpected exceptions in tasks, by task",
    ["task"],
)
_RESTART_DELAY = timedelta(seconds=1)


def report_task_failure(task: str, error: Exception) -> None:
    """Log and count an unexpected exception in a task.

    Parameters
    ----------
    task
        Kind of the task.
    """
    _TASK_FAILURES.labels(task).inc()
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    place = None
    if trace is not None:
        place = f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}"
    _log.error("task_failed", task=task, error=repr(error)[:500], place=place)


async def run_restarting(
    task: str, clock: Clock, work: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Run a task that has no end; start it again 1 s after an exception.

    Without the restart one unexpected value would stop, for example, the closing of
    idle connections for as long as the process runs.
    """
    while True:
        try:
            return await work(*arguments)
        except Exception as error:
            report_task_failure(task, error)
        await clock.sleep(_RESTART_DELAY)
