"""Guards that a revision is in force on all nodes within 3 s, despite faults.

The faults are crashes, partitions between failure domains and an unavailable
store.
"""

import asyncio

import pytest

from balsamlug.controller import app
from balsamlug.messages import types
from tests import cluster as clusters

# `ConfigApplyMs` of the grown deployments.
IN_FORCE_S = 3.0
NODES = 30
DETECTION_S = 8.0
# Every node has links to its neighbours this long after the nodes agree.
LINKS_OPEN_S = 1.5
# A report is observed everywhere before its first refresh, sent after 1 s.
REPORT_SPREAD_S = 1.0


class Scenario:
    """A cluster in which no revision of a node may ever decrease."""

    def __init__(self, size: int = NODES) -> None:
        self.cluster = clusters.Cluster(size)
        self.revision = 0
        # Holds the controllers, so that no later one gets the id() of another.
        self.highest: dict[app.Controller, int] = {}

    async def __aenter__(self):
        self.change()
        await self.cluster.start()
        self.watch = asyncio.create_task(self._watch())
        await clusters.until(self.cluster.agreed, 10)
        await self.in_force()
        return self

    async def __aexit__(self, *exc_info):
        self.watch.cancel()
        await self.cluster.stop()
        if self.watch.done() and not self.watch.cancelled():
            self.watch.result()

    async def _watch(self):
        while True:
            for node in self.cluster.nodes.values():
                revision = node.state.config_revision
                assert revision >= self.highest.get(node, 0)
                self.highest[node] = revision
            await asyncio.sleep(0.01)

    def change(self) -> None:
        self.revision += 1
        self.cluster.store.configure(self.revision, 100 + self.revision)

    async def in_force(self) -> float:
        return await clusters.until(
            lambda: self.cluster.revisions() == {self.revision}, IN_FORCE_S
        )


def test_revisions_reach_all_nodes_despite_restarts_partitions_and_an_outage():
    async def run():
        async with Scenario() as scenario:
            cluster = scenario.cluster
            scenario.change()
            await scenario.in_force()
            # Crashes are not announced, so the trees still contain these nodes.
            for name in ("node-3", "node-4", "node-14"):
                await cluster.crash(name)
            scenario.change()
            await scenario.in_force()
            await cluster.start("node-3", "node-4", "node-14")
            scenario.change()
            await scenario.in_force()
            # One failure domain is partitioned from the other two.
            cluster.partition(*(f"node-{n}" for n in range(0, NODES, 3)))
            scenario.change()
            await scenario.in_force()
            cluster.heal()
            scenario.change()
            await scenario.in_force()
            await clusters.until(cluster.agreed, DETECTION_S)
            # A failure domain without peers and store stays at its revision.
            side = [f"node-{n}" for n in range(0, NODES, 3)]
            cluster.partition(*side)
            cluster.cut_store(*side)
            scenario.change()
            await clusters.until(
                lambda: (
                    cluster.revisions(set(cluster.nodes) - set(side))
                    == {scenario.revision}
                ),
                IN_FORCE_S,
            )
            assert cluster.revisions(set(side)) == {scenario.revision - 1}
            cluster.heal()
            await scenario.in_force()
            await clusters.until(cluster.agreed, DETECTION_S)
            # A node that starts in an outage receives the revision from peers.
            cluster.store.down = True
            await cluster.stop("node-7")
            await cluster.start("node-7")
            await scenario.in_force()
            cluster.store.down = False
            scenario.change()
            await scenario.in_force()

    asyncio.run(run())


def test_hanging_store_delays_neither_peers_nor_the_next_revision():
    async def run():
        async with Scenario(6) as scenario:
            cluster = scenario.cluster
            cluster.store.hanging = True
            suspicion = types.SuspicionUpdate("f", 1, 0)
            nodes = list(cluster.nodes.values())
            nodes[0].state.publish(suspicion, nodes[0].clock.monotonic())
            await clusters.until(
                lambda: all("f" in n.state.suspicions for n in nodes), 1.0
            )

    asyncio.run(run())


def test_node_without_store_and_peers_is_not_ready():
    async def run():
        cluster = clusters.Cluster(1)
        cluster.store.down = True
        await cluster.start()
        await asyncio.sleep(0.3)
        assert cluster.nodes["node-0"].not_ready() == "no configuration"
        cluster.store.down = False
        cluster.store.configure(1)
        await clusters.until(
            lambda: not cluster.nodes["node-0"].not_ready(), IN_FORCE_S
        )
        await cluster.stop()

    asyncio.run(run())


def test_crash_and_restart_become_known_to_all_nodes():
    async def run():
        async with Scenario(12) as scenario:
            cluster = scenario.cluster
            await cluster.crash("node-5")
            await clusters.until(cluster.agreed, 4)
            await cluster.start("node-5")
            await clusters.until(cluster.agreed, 4)

    asyncio.run(run())


def test_domain_objects_and_renewals_of_their_leases_reach_all_nodes():
    async def run():
        async with Scenario(9) as scenario:
            nodes = scenario.cluster.nodes
            for version in range(1, 8):
                value = {
                    "lease": {"holder": "node-1", "renewal": version},
                    "draining": {"i-1": "test"} if version > 4 else {},
                }
                update = types.DomainUpdate("fab", version, value)
                holder = nodes["node-1"]
                holder.state.publish(update, holder.clock.monotonic())
                await clusters.until(
                    lambda value=value: all(
                        _domain_value(node, "fab") == value
                        for node in nodes.values()
                    ),
                    1.5,
                )
            assert not scenario.cluster.protocol_errors()

    asyncio.run(run())


def _domain_value(node, name):
    domain = node.state.domains.get(name)
    return domain.value if domain is not None else None


def test_refreshes_keep_unchanged_reports_valid_on_all_nodes():
    async def run():
        async with Scenario(9) as scenario:
            nodes = scenario.cluster.nodes
            prober = nodes["node-1"]
            full = []
            for node in nodes.values():
                if node is not prober:
                    node.state.subscribe(full.append)
            for running in range(1, 6):
                report = types.GroupReport(
                    "g", "node-1", "d", 1, True, True, "", "127.0.0.1:1",
                    [running, 0, 8, 0, 0], 0,
                )  # fmt: skip
                prober.state.publish(report, prober.clock.monotonic())
                await asyncio.sleep(1.0)
                for node in nodes.values():
                    now_s = node.clock.monotonic()
                    status = node.state.group_status("g", now_s)
                    assert status.ready
                    assert status.load.running == running
            full = [m for m in full if isinstance(m, types.GroupReport)]
            # Every node received the full report once and only refreshes later.
            assert len(full) == len(nodes) - 1
            assert not scenario.cluster.protocol_errors()

    asyncio.run(run())


def test_requested_report_reaches_neighbours_that_compared_digests_before():
    async def run():
        async with Scenario(9) as scenario:
            nodes = scenario.cluster.nodes
            await asyncio.sleep(LINKS_OPEN_S)
            neighbours = nodes["node-0"].peers.table.neighbour_addresses()
            assert "node-1" not in neighbours
            # Only the neighbours of node-0 open links and compare digests.
            for name in neighbours:
                opened = nodes[name].peers.links.open
                for link in list(opened.values()):
                    if link.peer not in {"node-0", *neighbours}:
                        link.conn.close()
            report = types.GroupReport(
                "g", "node-1", "d", 1, True, True, "", "127.0.0.1:1",
                [1, 0, 8, 0, 0], 0,
            )  # fmt: skip
            prober = nodes["node-1"]
            prober.state.publish(report, prober.clock.monotonic())
            await clusters.until(
                lambda: all("g" in n.state.reports for n in nodes.values()),
                REPORT_SPREAD_S,
            )

    asyncio.run(run())


def test_graceful_stop_becomes_known_without_a_timeout():
    async def run():
        async with Scenario(6) as scenario:
            await scenario.cluster.stop("node-5")
            await clusters.until(scenario.cluster.agreed, 1)

    asyncio.run(run())


def test_every_node_is_up_again_after_a_partition():
    async def run():
        async with Scenario(9) as scenario:
            cluster = scenario.cluster
            cluster.partition("node-0", "node-3", "node-6")
            await clusters.until(lambda: len(cluster.views()) == 2, 15)
            cluster.heal()
            await clusters.until(cluster.agreed, DETECTION_S)

    asyncio.run(run())


@pytest.mark.parametrize("watchers", [2])
def test_few_nodes_read_the_store(watchers):
    async def run():
        async with Scenario(12) as scenario:
            nodes = scenario.cluster.nodes.values()
            reading = [n for n in nodes if n.watchers.is_watcher()]
            assert len(reading) == 3 * watchers

    asyncio.run(run())
