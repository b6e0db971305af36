"""Run the entry process: clock, signal handlers and logs."""

import asyncio
from collections.abc import Callable
import signal
import time
import types

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


class StopSignal:
    """First SIGTERM or SIGINT, and when it came."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._received_s: float | None = None
        self._received = asyncio.Event()

    def watch(self) -> None:
        """Install the handlers in the running loop."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._received.set)
            # The loop calls its handler when its current callback has ended;
            # this one runs within the callback.
            signal.signal(signum, self._record)
            signal.siginterrupt(signum, False)

    async def wait(self) -> float:
        """Return the monotonic time of the signal, once it has come."""
        await self._received.wait()
        return self._received_s

    def _record(self, signum: int, frame: types.FrameType | None) -> None:
        del signum, frame
        if self._received_s is None:
            self._received_s = self._clock.monotonic()


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
    clock = BootClock()
    stop_signal = StopSignal(clock)
    stop_signal.watch()
    entry = app.Entry(settings, clock)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(entry, reload()))
    await entry.start()
    await entry.stop(await stop_signal.wait())
    log.drain()


def _reload(entry: app.Entry, loaded: result.Result) -> None:
    """Apply the settings that may change while the process runs."""
    if not isinstance(loaded, result.Success):
        problems = str(loaded.failure())
        eliot.log_message("reload_failed", problems=problems)
        return
    entry.apply(loaded.unwrap())
