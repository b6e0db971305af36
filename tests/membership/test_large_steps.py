"""Guards nodes that hear of a change from peers against large steps."""

import asyncio

import pytest

from balsamlug import plausibility
from balsamlug import state as fleet
from balsamlug import validation
from balsamlug.messages import types
from balsamlug.store import positions
from tests import cluster as clusters

# Two of the nodes watch the store; the others hear of changes from peers.
NODES = 5
# `ConfigApplyMs` of the deployments.
CONFIG_APPLY_S = 2.0
ERA_STEP = positions.position(plausibility.MAX_ERA_JUMP + 1, 0)


def _run(scenario) -> None:
    async def main() -> None:
        cluster = clusters.Cluster(NODES, domains=1)
        cluster.store.configure(1)
        cluster.store.list_instances()
        try:
            await cluster.start()
            await clusters.until(cluster.agreed, 10)
            await scenario(cluster)
        finally:
            await cluster.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    "versions",
    [
        (7, 1_008),
        (20261205, 20270201),
        (2**31 - 148, 2**31 + 152),
        (1, 1_796_486_872_154, 1_796_486_872_154_333),
        (2**53 - 1, 2**53 + 1, 2**64 - 1),
    ],
    ids=str,
)
def test_version_far_above_the_last_one_reaches_nodes_that_do_not_watch(
    versions,
):
    async def scenario(cluster):
        for version in versions:
            cluster.store.configure(version)
            await clusters.until(
                lambda expected=version: cluster.revisions() == {expected},
                CONFIG_APPLY_S,
            )
        assert cluster.protocol_errors() == []

    _run(scenario)


@pytest.mark.parametrize("cut", [True, False])
def test_version_far_above_needs_no_read_of_the_store(cut):
    async def scenario(cluster):
        await clusters.until(lambda: cluster.revisions() == {1}, 5)
        idle = [
            name
            for name, node in cluster.nodes.items()
            if not node.watchers.is_watcher()
        ]
        assert len(idle) == NODES - 2
        if cut:
            cluster.cut_store(*idle)
        cluster.store.configure(20270201)
        await clusters.until(
            lambda: cluster.revisions() == {20270201}, CONFIG_APPLY_S
        )

    _run(scenario)


@pytest.mark.parametrize(
    "step", [2 * plausibility.MAX_VERSION_JUMP, ERA_STEP], ids=["rev", "era"]
)
def test_list_far_above_the_last_one_is_read_from_the_store(step):
    async def scenario(cluster):
        await clusters.until(
            lambda: all(n.state.instances_revision for n in _nodes(cluster)), 5
        )
        cluster.store.listed_revision += step
        revision = cluster.store.listed_revision * fleet.LIST_REVISION_STEP
        await clusters.until(
            lambda: all(
                n.state.instances_revision >= revision for n in _nodes(cluster)
            ),
            CONFIG_APPLY_S,
        )

    _run(scenario)


@pytest.mark.parametrize(
    "step", [2 * plausibility.MAX_VERSION_JUMP, ERA_STEP], ids=["rev", "era"]
)
def test_domain_object_far_above_the_last_one_is_read_from_the_store(step):
    value = {"groups": {}, "next_group": 1}

    async def scenario(cluster):
        cluster.store.write("domain", "fd-a", value)
        await clusters.until(
            lambda: all("fd-a" in n.state.domains for n in _nodes(cluster)), 5
        )
        cluster.store.revision += step
        revision = cluster.store.write("domain", "fd-a", value)
        await clusters.until(
            lambda: all(
                n.state.domains["fd-a"].version == revision
                for n in _nodes(cluster)
            ),
            CONFIG_APPLY_S,
        )

    _run(scenario)


@pytest.mark.parametrize("started_ms", [1, 1_796_486_872_154])
def test_node_whose_clock_was_set_far_ahead_is_known_again(started_ms):
    state = fleet.FleetState("vedrina")
    later_ms = started_ms + 100 * 365 * 24 * 3_600_000
    for incarnation in (started_ms, later_ms):
        message = types.NodeUpdate(
            "node-0", incarnation, "up", "r", "fd", "127.0.0.1:1"
        )
        plausibility.check_jump(message, state)
        state.publish(message, 0.0)
    assert state.nodes["node-0"].incarnation == later_ms


def _nodes(cluster) -> list:
    return list(cluster.nodes.values())


@pytest.mark.parametrize("era", [65_535, 65_536, 8_388_606])
def test_eras_of_a_store_that_was_restored_often_are_read(era):
    assert positions.parse_era(str(era)) == era
    listed = fleet.LIST_REVISION_STEP * positions.position(era + 1, 2**40 - 1)
    validation.check(types.InstanceUpdate(listed + 1, []))
