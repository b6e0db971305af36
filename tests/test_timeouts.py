"""Guards connections that open while the event loop is busy."""

import asyncio
import random
import time

import pytest

from balsamlug import clock as clocks
from balsamlug import timeouts
from balsamlug.paths import connector as connectors
from balsamlug.paths import monitor as monitors
from balsamlug.router import upstream

TIMEOUT_S = 0.2
PAUSE_S = 0.5
# Longer than the rest of the time, and shorter than the extension.
EXTENDED_WORK_S = 0.03


def _connect_hedged():
    clock = clocks.SystemClock()
    monitor = monitors.PathMonitor(clock, lambda: None, lambda address: [])
    return connectors.Connector(
        "n", monitor, list, clock, random.Random(1)
    ).connect


@pytest.mark.parametrize(
    "connector", [lambda: upstream.connect, _connect_hedged]
)
def test_connection_that_opens_during_a_pause_is_not_unreachable(connector):
    async def scenario():
        server = await asyncio.start_server(
            lambda r, w: w.close(), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        task = asyncio.create_task(
            connector()(f"{host}:{port}", timeout_s=TIMEOUT_S)
        )
        # Before the loop can handle the opened connection.
        loop.call_soon(time.sleep, PAUSE_S)
        conn = await task
        conn.transport.abort()
        server.close()

    asyncio.run(scenario())


def test_answer_that_takes_several_turns_after_a_busy_loop_is_in_time():
    async def scenario():
        loop = asyncio.get_running_loop()
        async with timeouts.timeout(TIMEOUT_S):
            loop.call_later(0.005, time.sleep, TIMEOUT_S - 0.02)
            # Starts after the loop was busy, shortly before the timeout.
            await asyncio.sleep(0.01)
            await asyncio.sleep(EXTENDED_WORK_S)

    asyncio.run(scenario())


def test_time_is_limited_when_the_loop_is_not_busy():
    async def scenario():
        started_s = time.monotonic()
        with pytest.raises(TimeoutError):
            async with timeouts.timeout(TIMEOUT_S):
                await asyncio.Event().wait()
        assert time.monotonic() - started_s >= TIMEOUT_S

    asyncio.run(scenario())


def test_time_is_limited_after_a_pause():
    async def scenario():
        with pytest.raises(TimeoutError):
            async with timeouts.timeout(TIMEOUT_S):
                time.sleep(PAUSE_S)
                await asyncio.Event().wait()

    asyncio.run(scenario())


def test_cancellation_is_no_timeout():
    async def scenario():
        async def wait():
            async with timeouts.timeout(TIMEOUT_S):
                await asyncio.Event().wait()

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
