"""Node that watches a store with two servers, one of which leaves."""

import asyncio
import contextlib
import random

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.controller import watchers
from balsamlug.entry import control
from balsamlug.platform import objects as platform_objects
from balsamlug.store import client
from tests.controller import watching
from tests.platform import samples

# `StableWindowMs` and `DrainMs` of the smallest deployments.
STABLE_S = 3.0
DRAIN_S = 2.0
# For the way between nodes.
SPREAD_S = 0.5
POLL_S = 0.01
SERVERS = ("i-0", "i-1")


# Of an entry process: between two reads of the list, of domain objects, and of
# a watcher that is not the first of its failure domain.
ENTRY_INTERVALS_S = (
    control.LIST_INTERVAL_S,
    control.DOMAIN_INTERVAL_S,
    control.STANDBY_INTERVAL_S,
)


@contextlib.asynccontextmanager
async def watching_node(api, intervals_s=ENTRY_INTERVALS_S):
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
        *intervals_s,
    )
    node.start()
    try:
        yield state
    finally:
        await node.stop()
        store.close()
        api.stop()


async def seconds_until(condition, limit_s: float) -> float:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not condition():
        assert loop.time() - started_s < limit_s, "not known in time"
        await asyncio.sleep(POLL_S)
    return loop.time() - started_s


def write_servers(api) -> None:
    spec = {"Version": 1, "Routes": [], "Services": []}
    api.write("config", platform_objects.CONFIGURATION_NAME, spec)
    api.write("domain", "d-0", {"n": 1})
    for name in SERVERS:
        api.write("servers", name, samples.ENTRY)


def is_complete(state) -> bool:
    has_others = state.config_revision and state.domains
    return bool(has_others) and set(state.instances) == set(SERVERS)


def drain(api) -> None:
    api.write("servers", SERVERS[0], samples.ENTRY | {"State": "draining"})


def remove(api) -> None:
    api.remove("servers", SERVERS[0])


def has_left(state) -> bool:
    leaver = state.instances.get(SERVERS[0])
    return leaver is None or leaver.state is tables.InstanceState.LEAVING
