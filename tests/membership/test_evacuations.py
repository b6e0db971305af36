"""Guards the way of an evacuation between nodes against lost links."""

import asyncio

import pytest

from balsamlug import exceptions
from balsamlug import plausibility
from balsamlug import state
from balsamlug.messages import types
from tests import cluster as clusters

SIZE = 6
SPREAD_S = 5.0


def _evacuated(cluster, names) -> set[frozenset[str]]:
    return {cluster.nodes[n].state.evacuations.stored for n in names}


def _publish(node, position: int, *domains: str) -> None:
    message = types.EvacuationUpdate(position, list(domains))
    node.state.publish(message, node.clock.monotonic())


def test_partitioned_node_keeps_the_last_set_and_learns_the_next_one():
    async def run():
        cluster = clusters.Cluster(SIZE)
        cluster.store.configure(1)
        await cluster.start()
        try:
            await clusters.until(cluster.agreed, 10)
            _publish(cluster.nodes["node-1"], 7, "fd-0")
            await clusters.until(
                lambda: (
                    _evacuated(cluster, cluster.nodes) == {frozenset({"fd-0"})}
                ),
                SPREAD_S,
            )
            cluster.partition("node-5")
            _publish(cluster.nodes["node-1"], 9)
            others = cluster.nodes.keys() - {"node-5"}
            await clusters.until(
                lambda: _evacuated(cluster, others) == {frozenset()}, SPREAD_S
            )
            assert _evacuated(cluster, ["node-5"]) == {frozenset({"fd-0"})}
            cluster.heal()
            await clusters.until(
                lambda: _evacuated(cluster, cluster.nodes) == {frozenset()},
                SPREAD_S,
            )
            # Nothing is sent to learn of positions that all nodes have.
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
