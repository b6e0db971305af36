"""Keep the long-running tasks of a process alive after unexpected errors."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import eliot

# Limits the log lines and the processor time of a task that fails at once.
RESTART_PAUSE_S = 0.5


async def run(name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Run a task, and start it again after an unexpected exception.

    Returns when the task returns.
    """
    while True:
        try:
            await task()
        except Exception:  # A defect must not stop the other tasks.
            eliot.write_traceback()
            eliot.log_message("task_failed", task=name)
            await asyncio.sleep(RESTART_PAUSE_S)
        else:
            return
