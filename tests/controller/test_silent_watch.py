"""Guards watchers whose connection to the store has gone silent."""

import asyncio
import random

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.controller import watchers
from balsamlug.platform import objects as platform_objects
from balsamlug.store import client
from balsamlug_standins import object_api
from tests.controller import watching

# `StableWindowMs` of the smallest deployments: a node whose connections went
# silent must know by then what was committed meanwhile.
STABLE_S = 3.0
# For the way between nodes.
SPREAD_S = 0.5
POLL_S = 0.01


def _spec(version: int) -> dict:
    return {"Version": version, "Routes": [], "Services": []}


def test_version_committed_while_a_watch_is_silent_is_read_in_time():
    async def main():
        api = object_api.ObjectApi()
        wire = platform_objects.PlatformWire()
        store = client.ObjectStore(f"http://{api.listen()}", wire=wire)
        state = fleet.FleetState("s")
        node = watchers.Watchers(
            watching.settings(),
            state,
            store,
            clocks.SystemClock(),
            random.Random(1),
            wire.configuration,
        )
        name = platform_objects.CONFIGURATION_NAME
        api.write("config", name, _spec(1))
        api.silent_kind = "config"
        node.start()
        loop = asyncio.get_running_loop()
        while state.config_revision != 1:
            await asyncio.sleep(POLL_S)
        # The watch after the first read begins.
        await asyncio.sleep(watchers.MIN_INTERVAL_S + 2 * POLL_S)
        silent_s = loop.time()
        api.silent_kind = ""
        api.write("config", name, _spec(2))
        try:
            while state.config_revision != 2:
                assert loop.time() - silent_s < STABLE_S - SPREAD_S
                await asyncio.sleep(POLL_S)
        finally:
            await node.stop()
            store.close()
            api.stop()

    asyncio.run(main())
