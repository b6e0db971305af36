"""Guards nodes against lists that lag behind after a connection went silent.

Open connections to the store go silent for good, while new ones work. A node
counts as undisturbed `StableWindowMs` later.
"""

import asyncio

import pytest

from balsamlug.entry import control
from balsamlug_standins import object_api
from tests.controller import leaving


@pytest.mark.parametrize("calm_s", [0.1, 0.9, 1.7])
def test_entry_removed_after_its_watch_went_silent_is_not_retained(calm_s):
    async def main():
        api = object_api.ObjectApi()
        leaving.write_servers(api)
        async with leaving.watching_node(api) as state:
            await leaving.seconds_until(lambda: leaving.is_complete(state), 5.0)
            await asyncio.sleep(control.LIST_INTERVAL_S + calm_s)
            api.silence()
            await asyncio.sleep(leaving.STABLE_S)
            leaving.remove(api)
            await leaving.seconds_until(
                lambda: leaving.has_left(state),
                leaving.DRAIN_S - leaving.SPREAD_S,
            )

    asyncio.run(main())


@pytest.mark.parametrize("calm_s", [0.1, 1.3])
@pytest.mark.parametrize("pause_s", [leaving.STABLE_S, 0.7])
def test_server_that_drains_after_its_watch_went_silent_is_known_in_time(
    calm_s, pause_s
):
    async def main():
        api = object_api.ObjectApi()
        leaving.write_servers(api)
        async with leaving.watching_node(api) as state:
            await leaving.seconds_until(lambda: leaving.is_complete(state), 5.0)
            await asyncio.sleep(control.LIST_INTERVAL_S + calm_s)
            api.silence()
            await asyncio.sleep(pause_s)
            leaving.drain(api)
            left_s = (
                leaving.STABLE_S
                - min(pause_s, leaving.STABLE_S)
                + leaving.DRAIN_S
                - leaving.SPREAD_S
            )
            await leaving.seconds_until(lambda: leaving.has_left(state), left_s)

    asyncio.run(main())


def test_server_that_drains_after_a_second_silence_is_known_in_time():
    async def main():
        api = object_api.ObjectApi()
        leaving.write_servers(api)
        async with leaving.watching_node(api) as state:
            await leaving.seconds_until(lambda: leaving.is_complete(state), 5.0)
            await asyncio.sleep(control.LIST_INTERVAL_S + 0.1)
            api.silence()
            await asyncio.sleep(2.9)
            api.silence()
            await asyncio.sleep(leaving.STABLE_S)
            leaving.drain(api)
            await leaving.seconds_until(
                lambda: leaving.has_left(state),
                leaving.DRAIN_S - leaving.SPREAD_S,
            )

    asyncio.run(main())


def test_domain_object_written_after_its_watch_went_silent_is_known_in_time():
    async def main():
        api = object_api.ObjectApi()
        leaving.write_servers(api)
        async with leaving.watching_node(api) as state:
            await leaving.seconds_until(lambda: leaving.is_complete(state), 5.0)
            await asyncio.sleep(control.DOMAIN_INTERVAL_S + 0.1)
            api.silence()
            api.write("domain", "d-0", {"n": 2})
            await leaving.seconds_until(
                lambda: state.domains["d-0"].value == {"n": 2},
                leaving.STABLE_S + leaving.DRAIN_S - leaving.SPREAD_S,
            )

    asyncio.run(main())
