"""Guards nodes against lists that lag behind after a connection went silent.

Open connections to the store go silent for good, while new ones work. A node
counts as undisturbed `StableWindowMs` later.
"""

import asyncio
import contextlib
import random

import pytest

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.controller import watchers
from balsamlug.entry import control
from balsamlug.platform import objects as platform_objects
from balsamlug.store import client
from balsamlug_standins import object_api
from tests.controller import watching
from tests.platform import samples

# `StableWindowMs` and `DrainMs` of the smallest deployments.
STABLE_S = 3.0
DRAIN_S = 2.0
# For the way between nodes.
SPREAD_S = 0.5
POLL_S = 0.01
SERVERS = ("i-0", "i-1")


@contextlib.asynccontextmanager
async def _watching(api):
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
        control.LIST_INTERVAL_S,
        control.DOMAIN_INTERVAL_S,
        control.STANDBY_INTERVAL_S,
    )
    node.start()
    try:
        yield state
    finally:
        await node.stop()
        store.close()
        api.stop()


async def _seconds_until(condition, limit_s: float) -> float:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not condition():
        assert loop.time() - started_s < limit_s, "not known in time"
        await asyncio.sleep(POLL_S)
    return loop.time() - started_s


def _write_servers(api) -> None:
    spec = {"Version": 1, "Routes": [], "Services": []}
    api.write("config", platform_objects.CONFIGURATION_NAME, spec)
    api.write("domain", "d-0", {"n": 1})
    for name in SERVERS:
        api.write("servers", name, samples.ENTRY)


def _is_complete(state) -> bool:
    has_others = state.config_revision and state.domains
    return bool(has_others) and set(state.instances) == set(SERVERS)


def _drain(api) -> None:
    api.write("servers", SERVERS[0], samples.ENTRY | {"State": "draining"})


def _remove(api) -> None:
    api.remove("servers", SERVERS[0])


def _has_left(state) -> bool:
    leaver = state.instances.get(SERVERS[0])
    return leaver is None or leaver.state is tables.InstanceState.LEAVING


@pytest.mark.parametrize("calm_s", [0.1, 0.9, 1.7])
def test_entry_removed_after_its_watch_went_silent_is_not_retained(calm_s):
    async def main():
        api = object_api.ObjectApi()
        _write_servers(api)
        async with _watching(api) as state:
            await _seconds_until(lambda: _is_complete(state), 5.0)
            await asyncio.sleep(control.LIST_INTERVAL_S + calm_s)
            api.silence()
            await asyncio.sleep(STABLE_S)
            _remove(api)
            await _seconds_until(lambda: _has_left(state), DRAIN_S - SPREAD_S)

    asyncio.run(main())


@pytest.mark.parametrize("calm_s", [0.1, 1.3])
@pytest.mark.parametrize("pause_s", [STABLE_S, 0.7])
def test_server_that_drains_after_its_watch_went_silent_is_known_in_time(
    calm_s, pause_s
):
    async def main():
        api = object_api.ObjectApi()
        _write_servers(api)
        async with _watching(api) as state:
            await _seconds_until(lambda: _is_complete(state), 5.0)
            await asyncio.sleep(control.LIST_INTERVAL_S + calm_s)
            api.silence()
            await asyncio.sleep(pause_s)
            _drain(api)
            left_s = STABLE_S - min(pause_s, STABLE_S) + DRAIN_S - SPREAD_S
            await _seconds_until(lambda: _has_left(state), left_s)

    asyncio.run(main())


def test_server_that_drains_after_a_second_silence_is_known_in_time():
    async def main():
        api = object_api.ObjectApi()
        _write_servers(api)
        async with _watching(api) as state:
            await _seconds_until(lambda: _is_complete(state), 5.0)
            await asyncio.sleep(control.LIST_INTERVAL_S + 0.1)
            api.silence()
            await asyncio.sleep(2.9)
            api.silence()
            await asyncio.sleep(STABLE_S)
            _drain(api)
            await _seconds_until(lambda: _has_left(state), DRAIN_S - SPREAD_S)

    asyncio.run(main())


def test_domain_object_written_after_its_watch_went_silent_is_known_in_time():
    async def main():
        api = object_api.ObjectApi()
        _write_servers(api)
        async with _watching(api) as state:
            await _seconds_until(lambda: _is_complete(state), 5.0)
            await asyncio.sleep(control.DOMAIN_INTERVAL_S + 0.1)
            api.silence()
            api.write("domain", "d-0", {"n": 2})
            await _seconds_until(
                lambda: state.domains["d-0"].value == {"n": 2},
                STABLE_S + DRAIN_S - SPREAD_S,
            )

    asyncio.run(main())
