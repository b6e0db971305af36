"""Guards the log lines that show how a version reached a node."""

import asyncio

import eliot

from tests import cluster as clusters

NODES = 5
IN_FORCE_S = 2.0


def test_log_shows_the_source_of_every_version():
    async def main():
        cluster = clusters.Cluster(NODES, domains=1)
        cluster.store.configure(1)
        cluster.store.list_instances()
        lines = []
        eliot.add_destinations(lines.append)
        try:
            await cluster.start()
            await clusters.until(cluster.agreed, 10)
            await clusters.until(lambda: cluster.revisions() == {1}, 5)
            lines.clear()
            cluster.store.configure(2)
            await clusters.until(lambda: cluster.revisions() == {2}, IN_FORCE_S)
        finally:
            eliot.remove_destination(lines.append)
            await cluster.stop()
        return [
            line
            for line in lines
            if line["message_type"] == "configuration_received"
            and line["outcome"] == "applied"
        ]

    applied = asyncio.run(main())
    assert [line["revision"] for line in applied] == [2] * NODES
    assert {line["held"] for line in applied} == {1}
    from_peers = [line for line in applied if line["source"] != "store"]
    assert {line["source"] for line in from_peers} <= {
        f"node-{n}" for n in range(NODES)
    }
    assert len(from_peers) >= NODES - 2
    assert all(line["waited_ms"] is not None for line in from_peers)
