"""Guards the discovery of nodes against odd registrations in the store."""

import asyncio

import eliot
import pytest

from balsamlug_standins import object_api
from tests import odd_values
from tests.entry import fleet as fleets

SETTLE_S = 1.0


@pytest.mark.parametrize(
    "odd",
    [
        b"[]",
        b'{"address":["127.0.0.1:1"]}',
        b'{"address":{}}',
        b'{"address":"127.0.0.1"}',
        b'{"address":"127.0.0.1:70000"}',
        b'{"address":"odd.invalid:80"}',
        b'{"address":%b}' % odd_values.SURROGATE,
        odd_values.VALUES["array nested 20000 deep"],
    ],
)
def test_odd_registration_leaves_the_other_nodes(odd):
    async def run() -> None:
        lines: list[dict] = []
        errors: list[dict] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        eliot.add_destinations(lines.append)
        lines.clear()
        try:
            async with fleets.running(engines=0) as fleet:
                spec = object_api.RawSpec(odd)
                fleet.api.write_raw("nodes", "odd", spec)
                fleet.api.write_raw("nodes", "node-1", spec)
                for node in fleet.nodes:
                    node.peers.table.known_addresses.clear()
                await fleet.nodes[0].registration._discover()
                await fleet.nodes[1].registration._register()
                await fleet.nodes[0].registration._discover()
                expected = {node.peers.table.address for node in fleet.nodes}
                known = fleet.nodes[0].peers.table.known_addresses
                assert known == expected
                await asyncio.sleep(SETTLE_S)
        finally:
            eliot.remove_destination(lines.append)
        assert not [ln for ln in lines if ln["message_type"] == "task_failed"]
        assert not errors

    asyncio.run(run())
