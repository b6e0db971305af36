"""Guards the spread of changes when the store refuses the nodes that read it.

Nodes that the store serves must learn of a configuration within 7 s, the least
time that they have while the store turns nodes away.
"""

import asyncio

import pytest

from balsamlug import store_reads
from tests import cluster as clusters

BOUND_S = 7.0
NODES = 18


def _readers(cluster: clusters.Cluster, tiers: set[int]) -> list[str]:
    """Return the nodes of some tiers."""
    return [
        name
        for name, node in cluster.nodes.items()
        if node.watchers._tier() in tiers
    ]


async def _start(cluster: clusters.Cluster) -> None:
    cluster.store.configure(1)
    cluster.store.write("domain", "fd-a", {"groups": {}, "next_group": 1})
    cluster.store.list_instances()
    await cluster.start()
    await clusters.until(cluster.agreed, 20.0)
    await clusters.until(lambda: cluster.revisions() == {1}, 10.0)
    nodes = cluster.nodes.values()
    await clusters.until(lambda: all(n.state.domains for n in nodes), 10.0)


async def _spreads(cluster: clusters.Cluster, revision: int) -> None:
    cluster.store.configure(revision)
    await clusters.until(lambda: cluster.revisions() == {revision}, BOUND_S)


@pytest.mark.parametrize("how", clusters.REFUSALS)
@pytest.mark.parametrize("before_s", [0.1, 5.0])
def test_version_spreads_while_the_store_refuses_all_watchers(how, before_s):
    async def run():
        cluster = clusters.Cluster(NODES)
        await _start(cluster)
        cluster.cut_store(*_readers(cluster, {0}), how=how)
        await asyncio.sleep(before_s)
        await _spreads(cluster, 2)
        await cluster.stop()

    asyncio.run(run())


def test_version_spreads_when_the_store_refuses_those_that_took_over():
    async def run():
        cluster = clusters.Cluster(NODES)
        await _start(cluster)
        cluster.cut_store(*_readers(cluster, {0}))
        await asyncio.sleep(store_reads.SILENCE_S + 2.0)
        cluster.cut_store(*_readers(cluster, {1}))
        await _spreads(cluster, 2)
        await cluster.stop()

    asyncio.run(run())


def test_version_spreads_when_the_store_serves_watchers_and_refuses_others():
    async def run():
        cluster = clusters.Cluster(NODES)
        await _start(cluster)
        first, second = (_readers(cluster, {tier}) for tier in (0, 1))
        cluster.cut_store(*first)
        await asyncio.sleep(5.0)
        cluster.serve_store(*first)
        cluster.cut_store(*second)
        await _spreads(cluster, 2)
        await cluster.stop()

    asyncio.run(run())


def test_refused_nodes_other_than_watchers_make_few_calls():
    async def run():
        cluster = clusters.Cluster(NODES)
        await _start(cluster)
        cluster.cut_store(*cluster.nodes)
        await asyncio.sleep(store_reads.SILENCE_S + 1.0)
        others = _readers(cluster, {1, 2})
        before = sum(cluster.nodes[name].store.calls for name in others)
        await asyncio.sleep(6.0)
        after = sum(cluster.nodes[name].store.calls for name in others)
        # Delays grow from 0.25 s to 3 s at most.
        assert (after - before) / len(others) <= 8
        await cluster.stop()

    asyncio.run(run())


def test_only_watchers_read_in_calm():
    async def run():
        cluster = clusters.Cluster(NODES)
        await _start(cluster)
        others = _readers(cluster, {1, 2})
        before = sum(cluster.nodes[name].store.calls for name in others)
        await asyncio.sleep(8.0)
        assert before == sum(cluster.nodes[n].store.calls for n in others)
        await cluster.stop()

    asyncio.run(run())
