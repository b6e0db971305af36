"""Guards watchers whose connection to the store has gone silent."""

import asyncio

from balsamlug.controller import watchers
from balsamlug.platform import objects as platform_objects
from balsamlug_standins import object_api
from tests.controller import leaving


def _spec(version: int) -> dict:
    return {"Version": version, "Routes": [], "Services": []}


def test_version_committed_while_a_watch_is_silent_is_read_in_time():
    async def main():
        api = object_api.ObjectApi()
        name = platform_objects.CONFIGURATION_NAME
        api.write("config", name, _spec(1))
        api.silent_kind = "config"
        async with leaving.watching_node(api, intervals_s=()) as state:
            await leaving.seconds_until(lambda: state.config_revision == 1, 5.0)
            # The watch after the first read begins.
            await asyncio.sleep(watchers.MIN_INTERVAL_S + 2 * leaving.POLL_S)
            api.silent_kind = ""
            api.write("config", name, _spec(2))
            await leaving.seconds_until(
                lambda: state.config_revision == 2,
                leaving.STABLE_S - leaving.SPREAD_S,
            )

    asyncio.run(main())
