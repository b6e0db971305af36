"""Guards a deployment against being open once its last customer is removed."""

import asyncio
import contextlib

import pytest

from tests.entry import fleet as fleets

# Two nodes read the store, the other one hears from them.
NODES = 3
UNKNOWN_KEY = "never-valid"
LISTS = ([], [{"Name": "other", "ApiKeys": ["other-key"]}], [])


def _without_tenants(version: int) -> dict:
    spec = fleets.configuration(version)
    del spec["Tenants"]
    return spec


def _with_tenants(version: int, tenants: list | None) -> dict:
    return fleets.configuration(version) | {"Tenants": tenants}


async def _apply(fleet: fleets.Fleet, spec: dict) -> None:
    fleet.api.write("config", "main", spec)
    await _until_in_force(fleet, spec["Version"])


async def _until_in_force(fleet: fleets.Fleet, version: int) -> None:
    await fleet.until(
        lambda: all(n.state.config_revision == version for n in fleet.nodes)
    )


async def _statuses(fleet: fleets.Fleet, key: str) -> list[int]:
    answers = [
        await fleet.send_request(node, f"{key}-{node}", key)
        for node in range(len(fleet.nodes))
    ]
    return [answer.code for answer in answers]


@contextlib.asynccontextmanager
async def _ready_fleet():
    async with fleets.running(nodes=NODES) as fleet:
        await fleet.ready()
        assert await _statuses(fleet, fleets.KEY) == [200] * NODES
        yield fleet


def test_no_key_is_accepted_once_the_list_of_customers_is_empty():
    async def run():
        async with _ready_fleet() as fleet:
            for version, tenants in enumerate(LISTS, start=2):
                await _apply(fleet, _with_tenants(version, tenants))
                for key in (fleets.KEY, UNKNOWN_KEY):
                    assert await _statuses(fleet, key) == [401] * NODES

    asyncio.run(run())


def test_empty_list_of_customers_holds_after_a_restart_of_all_nodes():
    async def run():
        async with _ready_fleet() as fleet:
            await _apply(fleet, _with_tenants(2, []))
            await fleet.restart_nodes()
            await _until_in_force(fleet, 2)
            assert await _statuses(fleet, UNKNOWN_KEY) == [401] * NODES

    asyncio.run(run())


@pytest.mark.parametrize(
    "spec",
    [_without_tenants(2), _with_tenants(2, None)],
    ids=["no field", "null"],
)
def test_without_a_list_of_customers_no_key_is_needed(spec):
    async def run():
        async with _ready_fleet() as fleet:
            await _apply(fleet, spec)
            await fleet.ready()
            assert await _statuses(fleet, UNKNOWN_KEY) == [200] * NODES

    asyncio.run(run())
