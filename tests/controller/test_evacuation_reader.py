"""Guards the read of evacuated failure domains against a store with faults."""

import asyncio
import random

import eliot

from balsamlug import clock as clocks
from balsamlug import plausibility
from balsamlug import snapshots
from balsamlug import state as fleet
from balsamlug.controller import evacuation_reader
from balsamlug.controller import watchers
from balsamlug.messages import types
from balsamlug.platform import evacuations as wire
from balsamlug.platform import objects as platform_objects
from balsamlug.store import client
from balsamlug.store import objects
from balsamlug_standins import object_api
from tests.controller import watching

BOUND_MS = 5000
# What a watcher may take of the bound while its connection hangs.
NOTICE_S = 2.5
POLL_S = 0.01


def _run(scenario) -> list[str]:
    """Run a scenario with a node that watches; return the types of its log."""

    async def main() -> None:
        api, wired = object_api.ObjectApi(), platform_objects.PlatformWire()
        store = client.ObjectStore(f"http://{api.listen()}", wire=wired)
        clock, state = clocks.SystemClock(), fleet.FleetState("s")
        node = watchers.Watchers(
            watching.settings(), state, store, clock, random.Random(1)
        )
        node.watch_evacuations(
            evacuation_reader.Reader(state, store, clock, BOUND_MS)
        )

        async def until_held(*domains: str) -> None:
            async with asyncio.timeout(NOTICE_S):
                while not (
                    state.evacuations.position
                    and state.evacuations.stored == set(domains)
                ):
                    await asyncio.sleep(POLL_S)

        node.start()
        try:
            await until_held()
            await scenario(api, until_held)
        finally:
            await node.stop()
            store.close()
            api.stop()

    lines: list[dict] = []
    eliot.add_destinations(lines.append)
    # The first destination gets what was logged before.
    lines.clear()
    try:
        asyncio.run(main())
    finally:
        eliot.remove_destination(lines.append)
    return [line["message_type"] for line in lines]


def test_evacuation_is_noticed_in_time_while_the_connection_hangs():
    async def scenario(api, until_held):
        api.silent_kind = wire.KIND
        # The watch after the first read begins.
        await asyncio.sleep(watchers.MIN_INTERVAL_S + 2 * POLL_S)
        api.silent_kind = ""
        api.write(wire.KIND, "z1", {})
        await until_held("z1")

    _run(scenario)


def test_unreadable_objects_leave_the_others():
    async def scenario(api, until_held):
        api.write_raw(wire.KIND, "z1", object_api.RawObject(b"[]"))
        api.write(wire.KIND, "z" * 1000, {})
        # The content is undefined.
        api.write_raw(wire.KIND, "z2", object_api.RawSpec(b"1e999"))
        await until_held("z2")

    logged = _run(scenario)
    assert {"object_unreadable", "store_value_rejected"} <= set(logged)


def test_entry_written_twice_ends_with_its_deletion():
    async def scenario(api, until_held):
        for _ in range(2):
            api.write(wire.KIND, "z1", {})
            await until_held("z1")
            await asyncio.sleep(2 * watchers.MIN_INTERVAL_S)
        api.remove(wire.KIND, "z1")
        await until_held()

    assert "evacuation_repeated" in _run(scenario)


class _Store:
    """Store without evacuations whose position advances."""

    def __init__(self) -> None:
        self.revision = 1

    async def list(self, kind: str) -> objects.Changes:
        """Return no objects."""
        return objects.Changes((), (), self.revision)

    async def watch(self, kind, since, timeout_ms, grace_s) -> objects.Changes:
        """Return no changes."""
        return await self.list(kind)


def test_evacuation_after_days_without_one_is_plausible_at_other_nodes():
    """Guards nodes that the store refuses: they hear only of their peers."""

    async def scenario() -> None:
        clock, store, state = clocks.SystemClock(), _Store(), _state()
        reader = evacuation_reader.Reader(state, store, clock, BOUND_MS)
        since = await reader.fetch(None, reader.wait)
        peer = _state()
        for _ in range(4):
            store.revision += plausibility.MAX_VERSION_JUMP // 2
            since = await reader.fetch(since, reader.wait)
            message = snapshots.evacuation_message(state)
            plausibility.check_jump(message, peer)
            peer.publish(message, 0.0)
        message = types.EvacuationUpdate(store.revision + 1, ["z1"])
        plausibility.check_jump(message, peer)

    asyncio.run(scenario())


def _state() -> fleet.FleetState:
    return fleet.FleetState("s")
