"""Timeouts that do not count a pause of this process."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

# A timer that fires later than this shows that the event loop was busy or the
# process was paused. What has arrived meanwhile is handled after the timer.
MAX_LATENESS_S = 0.02
# Time to handle it.
EXTENSION_S = 0.1


@contextlib.asynccontextmanager
async def timeout(delay_s: float) -> AsyncIterator[None]:
    """Limit the time of a block like `asyncio.timeout`.

    Raises:
      TimeoutError: the time is over; if the loop was busy at its end, it was
        extended once.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:

        def end() -> None:
            nonlocal timer
            now_s = loop.time()
            if now_s - due_s < MAX_LATENESS_S:
                scope.reschedule(now_s)
            else:
                timer = loop.call_later(EXTENSION_S, extension_ended)

        def extension_ended() -> None:
            scope.reschedule(loop.time())

        due_s = loop.time() + delay_s
        timer = loop.call_at(due_s, end)
        try:
            yield
        finally:
            timer.cancel()
