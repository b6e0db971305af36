"""Guards watchers against versions that are committed faster than they read."""

import asyncio
import random

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.controller import watchers
from balsamlug.store import objects
from tests.controller import watching

# `ConfigApplyMs` of the smallest deployments is 2 s, half of it for the way
# between nodes.
IN_FORCE_S = 1.0
VERSIONS = 25
GAP_S = 0.08
# Time to transfer one version of a configuration of 1,000 routes.
TRANSFER_S = 0.1
LIST_INTERVAL_S = 0.25


@attrs.define
class BurstStore:
    """Object API with one configuration, whose answers take their time.

    Attributes:
      events: most changes that the answer to a watch contains.
    """

    events: int
    versions: list[int] = attrs.field(factory=list)
    calls: list[str] = attrs.field(factory=list)

    def commit(self) -> None:
        self.versions.append(len(self.versions) + 1)

    def _item(self, version: int) -> objects.StoredObject:
        value = {"revision": version, "base": ""}
        return objects.StoredObject("config", "current", version, value)

    async def list(self, kind: str) -> objects.Changes:
        self.calls.append(kind)
        if kind != "config":
            return objects.Changes((), (), 0)
        last = self.versions[-1]
        await asyncio.sleep(TRANSFER_S)
        return objects.Changes((self._item(last),), (), last)

    async def watch(
        self, kind: str, since: int, timeout_ms: int, grace_s: float
    ) -> objects.Changes:
        del grace_s
        self.calls.append(kind)
        if kind != "config":
            await asyncio.sleep(timeout_ms / 1000)
            return objects.Changes((), (), since)
        for _ in range(timeout_ms // 10):
            if since < len(self.versions):
                break
            await asyncio.sleep(0.01)
        found = self.versions[since : since + self.events]
        await asyncio.sleep(TRANSFER_S * len(found))
        items = tuple(self._item(version) for version in found)
        return objects.Changes(items, (), since + len(found))

    async def instances(self, since, timeout_ms, grace_s):
        del grace_s
        self.calls.append("instances")
        await asyncio.sleep(timeout_ms / 1000)
        return objects.InstanceList((), 1)


async def _watching(store: BurstStore) -> tuple:
    state = fleet.FleetState("s")
    node = watchers.Watchers(
        watching.settings(),
        state,
        store,
        clocks.SystemClock(),
        random.Random(1),
        interval_s=LIST_INTERVAL_S,
        standby_s=LIST_INTERVAL_S,
    )
    store.commit()
    node.start()
    while state.config_revision != 1:
        await asyncio.sleep(0.01)
    await asyncio.sleep(2 * LIST_INTERVAL_S)
    return state, node


@pytest.mark.parametrize("events", [1, VERSIONS])
def test_last_version_of_a_burst_is_read_in_time(events):
    async def main():
        store = BurstStore(events)
        state, node = await _watching(store)
        for _ in range(VERSIONS):
            store.commit()
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(IN_FORCE_S)
        await node.stop()
        assert state.config_revision == len(store.versions)

    asyncio.run(main())


def test_single_version_needs_no_further_call():
    async def main():
        store = BurstStore(1)
        _, node = await _watching(store)
        store.calls.clear()
        store.commit()
        await asyncio.sleep(watchers.CONFIG_WATCH.timeout_s)
        await node.stop()
        # The watch that returns the version and the one after it.
        assert store.calls.count("config") <= 2

    asyncio.run(main())
