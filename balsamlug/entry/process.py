"""Run the entry process: clock, signal handlers and logs."""

import asyncio
from collections.abc import Callable
import signal
import time

import eliot
from returns import result

from balsamlug import clock as clocks
from balsamlug.config import schema
from balsamlug.entry import app
from balsamlug.observability import logs


class BootClock(clocks.SystemClock):
    """Clock that also advances while the machine is suspended.

    A lease that expired during a suspension must not appear valid after it.
    """

    def monotonic(self) -> float:
        """Return the boot-time clock, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


async def run(
    settings: schema.EntrySettings, reload: Callable[[], result.Result]
) -> None:
    """Serve until SIGTERM or SIGINT, then stop gracefully.

    Args:
      reload: reads the settings again, for SIGHUP.
    """
    loop = asyncio.get_running_loop()
    log = logs.configure_bounded(loop)
    eliot.log_message("started", node=settings.id, address=settings.address)
    stopping = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    entry = app.Entry(settings, BootClock())
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(entry, reload()))
    await entry.start()
    await stopping.wait()
    await entry.stop()
    log.drain()


def _reload(entry: app.Entry, loaded: result.Result) -> None:
    """Apply the settings that may change while the process runs."""
    if not isinstance(loaded, result.Success):
        problems = str(loaded.failure())
        eliot.log_message("reload_failed", problems=problems)
        return
    entry.apply(loaded.unwrap())
