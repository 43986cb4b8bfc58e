"""Unexpected exceptions in the tasks of a process, and the end of essential tasks."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, NamedTuple

from curio import Queue
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


class EssentialTaskEnded(NamedTuple):
    """The end of a task without which the process is of no use.

    Parameters
    ----------
    task
        Kind of the task.
    reason
        The exception that ended it, if any.
    """

    task: str
    reason: str

    def __str__(self) -> str:
        return f"the task {self.task!r} has ended: {self.reason}"


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


async def run_essential(
    task: str, events: Queue, work: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Run a task; put `EssentialTaskEnded` on a queue when it ends.

    A server that cannot bind its port, for example, would otherwise leave a process
    that runs and does nothing, which nobody starts again.
    """
    try:
        await work(*arguments)
        reason = "it has returned"
    except Exception as error:
        report_task_failure(task, error)
        reason = repr(error)
    await events.put(EssentialTaskEnded(task, reason))
