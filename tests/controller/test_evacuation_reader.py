"""Guards the read of evacuated failure domains against a store with faults."""

import asyncio
import contextlib
import random

import eliot

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug.controller import evacuation_reader
from balsamlug.controller import watchers
from balsamlug.platform import evacuations as wire
from balsamlug.platform import objects as platform_objects
from balsamlug.store import client
from balsamlug_standins import object_api
from tests.controller import watching

BOUND_MS = 5000
# What a watcher may take of the bound while its connection hangs.
NOTICE_S = 2.5
POLL_S = 0.01
WAIT_S = 10.0


class _Api(object_api.ObjectApi):
    """Store with the state of a node that reads it."""

    state: fleet.FleetState
    lines: list[dict]

    async def until(self, *domains: str, limit_s: float = WAIT_S) -> None:
        """Wait until the node holds just these failure domains."""
        async with asyncio.timeout(limit_s):
            while not (
                self.state.evacuations.position
                and self.state.evacuations.stored == set(domains)
            ):
                await asyncio.sleep(POLL_S)

    def logged(self, message_type: str) -> list[dict]:
        return [ln for ln in self.lines if ln["message_type"] == message_type]


@contextlib.asynccontextmanager
async def _watched():
    api = _Api()
    wired = platform_objects.PlatformWire()
    store = client.ObjectStore(f"http://{api.listen()}", wire=wired)
    clock = clocks.SystemClock()
    api.state, api.lines = fleet.FleetState("s"), []
    node = watchers.Watchers(
        watching.settings(),
        api.state,
        store,
        clock,
        random.Random(1),
        wired.configuration,
    )
    node.watch_evacuations(
        evacuation_reader.Reader(api.state, store, clock, BOUND_MS)
    )
    eliot.add_destinations(api.lines.append)
    node.start()
    try:
        await api.until()
        yield api
    finally:
        await node.stop()
        eliot.remove_destination(api.lines.append)
        store.close()
        api.stop()


def _run(scenario) -> None:
    async def main() -> None:
        async with _watched() as api:
            await scenario(api)

    asyncio.run(main())


def test_evacuation_is_noticed_in_time_while_the_connection_hangs():
    async def scenario(api):
        api.silent_kind = wire.KIND
        # The watch after the first read begins.
        await asyncio.sleep(watchers.MIN_INTERVAL_S + 2 * POLL_S)
        api.silent_kind = ""
        api.write(wire.KIND, "z1", {})
        await api.until("z1", limit_s=NOTICE_S)

    _run(scenario)


def test_content_of_an_entry_does_not_matter():
    async def scenario(api):
        api.write_raw(wire.KIND, "z1", object_api.RawSpec(b'{"a": 1e999}'))
        await api.until("z1")
        api.write_raw(wire.KIND, "z2", object_api.RawSpec(b"7"))
        await api.until("z1", "z2")

    _run(scenario)


def test_unreadable_object_leaves_the_others():
    async def scenario(api):
        api.write_raw(wire.KIND, "z1", object_api.RawObject(b"[]"))
        api.write(wire.KIND, "z" * 1000, {})
        api.write(wire.KIND, "z2", {})
        await api.until("z2")
        assert api.logged("object_unreadable")
        assert api.logged("store_value_rejected")

    _run(scenario)


def test_entry_written_twice_ends_with_its_deletion():
    async def scenario(api):
        for _ in range(2):
            api.write(wire.KIND, "z1", {})
            await api.until("z1")
            await asyncio.sleep(0.1)
        async with asyncio.timeout(WAIT_S):
            while not api.logged("evacuation_repeated"):
                await asyncio.sleep(POLL_S)
        api.remove(wire.KIND, "z1")
        await api.until()

    _run(scenario)


def test_more_entries_than_a_message_holds_keep_those_with_instances():
    async def scenario(api):
        for number in range(100):
            api.write(wire.KIND, f"a-{number}", {})
        instance = {"failure_domain": "z1"}
        known = type("Instance", (), instance)()
        api.state.instances = {"i-1": known}
        api.write(wire.KIND, "z1", {})
        async with asyncio.timeout(WAIT_S):
            while "z1" not in api.state.evacuations.stored:
                await asyncio.sleep(POLL_S)

    _run(scenario)
