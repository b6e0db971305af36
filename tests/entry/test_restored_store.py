"""Guards nodes against a store that returns from an older copy."""

import asyncio
import copy

from balsamlug import tables
from balsamlug.entry import registration
from tests.entry import fleet as fleets

# `DrainMs` of the deployments.
DRAIN_S = 2.0
LOST_WRITES = 200
# Leases are renewed in this time.
COPY_AGE_S = 2.5


def _run(scenario, **sizes) -> None:
    async def main() -> None:
        async with fleets.running(**sizes) as fleet:
            await scenario(fleet)

    asyncio.run(main())


async def _write_and_restore(fleet: fleets.Fleet) -> None:
    """Restore the store from a copy that lacks recent writes."""
    saved = fleet.api.copy()
    await asyncio.sleep(COPY_AGE_S)
    for number in range(LOST_WRITES):
        entry = copy.deepcopy(fleet.api.table.get("servers", "i-0")["value"])
        fleet.api.write("servers", "i-0", entry | {"Lost": number})
    await fleet.until(
        lambda: all(
            node.state.instances_revision >= 2 * fleet.api.table.revision
            for node in fleet.nodes
        )
    )
    fleet.api.down = True
    fleet.api.table.changed.notify()
    await asyncio.sleep(0.3)
    fleet.api.restore(saved)
    fleet.api.down = False


def _drain(fleet: fleets.Fleet, name: str) -> None:
    entry = copy.deepcopy(fleet.api.table.get("servers", name)["value"])
    fleet.api.write("servers", name, entry | {"State": "draining"})


def _is_leaving(fleet: fleets.Fleet, name: str) -> bool:
    return all(
        node.state.instances[name].state is tables.InstanceState.LEAVING
        for node in fleet.nodes
    )


def test_server_that_drains_after_the_return_is_used_no_longer():
    async def scenario(fleet):
        await fleet.ready()
        await _write_and_restore(fleet)
        await asyncio.sleep(3.5)
        _drain(fleet, "i-1")
        await asyncio.sleep(DRAIN_S)
        assert _is_leaving(fleet, "i-1")

    _run(scenario)


def test_store_is_not_called_more_often_after_its_return():
    async def scenario(fleet):
        await fleet.ready()
        await asyncio.sleep(2)
        before = fleet.api.calls
        await asyncio.sleep(5)
        usual = fleet.api.calls - before
        await _write_and_restore(fleet)
        await asyncio.sleep(8)
        before = fleet.api.calls
        await asyncio.sleep(5)
        assert fleet.api.calls - before <= 2 * usual

    _run(scenario)


def test_node_registers_again_when_the_store_has_lost_its_entry(monkeypatch):
    monkeypatch.setattr(registration, "REFRESH_S", 0.05)

    async def scenario(fleet):
        await fleet.until(
            lambda: len(fleet.api.table.list("nodes")["items"]) == 2
        )
        saved = fleet.api.copy()
        del saved.table["nodes"]
        fleet.api.restore(saved)
        await fleet.until(
            lambda: len(fleet.api.table.list("nodes")["items"]) == 2
        )

    _run(scenario)
