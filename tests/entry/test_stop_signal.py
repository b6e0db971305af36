"""Guards against a grace period that is counted from a late event loop."""

import asyncio
import os
import signal
import threading
import time

import pytest

from balsamlug import clock as clocks
from balsamlug.entry import process

BLOCKED_S = 0.6
SIGNALLED_S = 0.1


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_time_of_a_signal_is_known_although_the_loop_was_blocked(signum):
    async def main() -> None:
        clock = clocks.SystemClock()
        stop_signal = process.StopSignal(clock)
        stop_signal.watch()
        timer = threading.Timer(
            SIGNALLED_S, os.kill, args=(os.getpid(), signum)
        )
        started_s = clock.monotonic()
        timer.start()
        while clock.monotonic() - started_s < BLOCKED_S:
            time.sleep(0.01)
        async with asyncio.timeout(1.0):
            signalled_s = await stop_signal.wait() - started_s
        assert SIGNALLED_S / 2 < signalled_s < BLOCKED_S / 2
        # A second signal does not extend the grace period.
        os.kill(os.getpid(), signum)
        assert await stop_signal.wait() - started_s == signalled_s

    previous = signal.getsignal(signum)
    try:
        asyncio.run(main())
    finally:
        signal.signal(signum, previous)
