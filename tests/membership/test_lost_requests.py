"""Guards nodes that request a version from a neighbour that is then lost."""

import asyncio

import pytest

from balsamlug.membership import peers
from balsamlug.membership import reconcile
from tests import cluster as clusters

# Two of the nodes watch the store; the others hear of changes from peers.
NODES = 6
# `ConfigApplyMs` of the smallest deployments.
CONFIG_APPLY_S = 2.0
LINKS_OPEN_S = 1.5


def _stop_sending(link) -> None:
    link.conn.send_frames = lambda frames: None


def _close(link) -> None:
    link.conn.close()


def _lose_first_answer(cluster, requester: str, kind: str, lose) -> list[str]:
    """Lose the link on which a node first requests a kind; return its peer."""
    lost = []

    def wrap(node):
        answer = node.peers.answer_versions

        def answer_or_lose(link, message):
            if lost or message.kind != kind or link.peer != requester:
                answer(link, message)
                return
            known = node.state.config_revision
            if message.versions[kind] >= known:
                return
            lost.append(node.settings.id)
            lose(link)

        node.peers.answer_versions = answer_or_lose

    for name, node in cluster.nodes.items():
        if name != requester:
            wrap(node)
    return lost


@pytest.mark.parametrize("lose", [_stop_sending, _close])
def test_version_is_requested_elsewhere_when_the_asked_neighbour_is_lost(
    lose, monkeypatch
):
    async def main():
        cluster = clusters.Cluster(NODES, domains=1)
        cluster.store.configure(1)
        cluster.store.list_instances()
        try:
            await cluster.start()
            await clusters.until(cluster.agreed, 10)
            await asyncio.sleep(LINKS_OPEN_S)
            # The periodic comparison would hide that the request is lost.
            monkeypatch.setattr(peers, "DIGEST_INTERVAL_S", 60.0)
            await asyncio.sleep(0)
            for node in cluster.nodes.values():
                node.peers._next_digest_s = node.clock.monotonic() + 60.0
            requester = next(
                name
                for name, node in cluster.nodes.items()
                if not node.watchers.is_watcher()
            )
            lost = _lose_first_answer(
                cluster, requester, reconcile.CONFIG, lose
            )
            cluster.store.configure(2)
            await clusters.until(
                lambda: cluster.revisions() == {2}, CONFIG_APPLY_S
            )
            assert len(lost) == 1
        finally:
            await cluster.stop()

    asyncio.run(main())
