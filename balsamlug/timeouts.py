"""Timeouts that do not count a pause of this process."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

# A timer that fires later than this shows that the event loop was busy or the
# process was paused. What has arrived meanwhile is handled after the timer.
MAX_LATENESS_S = 0.02
# Time to handle it.
EXTENSION_S = 0.1
# Interval of the timers that show it.
CHECK_INTERVAL_S = 0.05


@contextlib.asynccontextmanager
async def timeout(
    delay_s: float, extension_s: float = EXTENSION_S
) -> AsyncIterator[None]:
    """Limit the time of a block like `asyncio.timeout`.

    Args:
      extension_s: time to handle what arrived while the loop was busy.

    Raises:
      TimeoutError: the time is over; if the loop was busy meanwhile, it was
        extended once.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:

        def end() -> None:
            scope.reschedule(loop.time())

        def check(due_s: float) -> None:
            nonlocal timer, was_busy
            was_busy = was_busy or loop.time() - due_s >= MAX_LATENESS_S
            if loop.time() < end_s:
                timer = start_check()
            elif was_busy:
                timer = loop.call_later(extension_s, end)
            else:
                end()

        def start_check() -> asyncio.TimerHandle:
            due_s = min(loop.time() + CHECK_INTERVAL_S, end_s)
            return loop.call_at(due_s, check, due_s)

        was_busy = False
        end_s = loop.time() + delay_s
        timer = start_check()
        try:
            yield
        finally:
            timer.cancel()
