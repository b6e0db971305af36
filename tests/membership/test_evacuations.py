"""Guards the way of an evacuation between nodes against lost links."""

import asyncio

import pytest

from balsamlug import exceptions
from balsamlug import plausibility
from balsamlug import state
from balsamlug.messages import types
from tests import cluster as clusters

SPREAD_S = 5.0


def test_partitioned_node_keeps_the_last_set_and_learns_the_next_one():
    async def run():
        cluster = clusters.Cluster(6)
        cluster.store.configure(1)

        def all_hold(domains: set[str], without: str = "") -> bool:
            return all(
                node.state.evacuations.stored == domains
                for name, node in cluster.nodes.items()
                if name != without
            )

        def publish(position: int, domains: list[str]) -> None:
            node = cluster.nodes["node-1"]
            message = types.EvacuationUpdate(position, domains)
            node.state.publish(message, node.clock.monotonic())

        await cluster.start()
        try:
            await clusters.until(cluster.agreed, 10)
            publish(7, ["fd-0"])
            await clusters.until(lambda: all_hold({"fd-0"}), SPREAD_S)
            cluster.partition("node-5")
            publish(9, [])
            await clusters.until(lambda: all_hold(set(), "node-5"), SPREAD_S)
            held = cluster.nodes["node-5"].state.evacuations
            assert held.stored == {"fd-0"}
            cluster.heal()
            await clusters.until(lambda: all_hold(set()), SPREAD_S)
            assert not cluster.protocol_errors()
        finally:
            await cluster.stop()

    asyncio.run(run())


def test_implausible_position_is_read_from_the_store_instead():
    fleet = state.FleetState("s")
    fleet.publish(types.EvacuationUpdate(7, ["z1"]), 0.0)
    message = types.EvacuationUpdate(2**62, [])
    with pytest.raises(exceptions.MessageRejected):
        plausibility.check_jump(message, fleet)
    assert fleet.unconfirmed == {plausibility.EVACUATIONS}
