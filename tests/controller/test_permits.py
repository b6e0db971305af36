"""Guards one permit at a time for a suspected fingerprint."""

import asyncio

from tornado import tcpclient

from balsamlug import clock as clocks
from balsamlug.controller import permits
from balsamlug.messages import stream as streams
from balsamlug.messages import types
from tests import cluster as clusters


def test_second_holder_waits_for_release_or_expiry():
    clock = clocks.ManualClock()
    table = permits.PermitTable(clock)
    assert table.request("f", "a", takeover_complete=True).granted
    assert not table.request("f", "b", takeover_complete=True).granted
    assert table.request("f", "a", takeover_complete=True).granted
    table.release("f", "a")
    assert table.request("f", "b", takeover_complete=True).granted
    clock.advance(permits.LIFETIME_S + 1)
    assert table.request("f", "c", takeover_complete=True).granted


def test_new_home_gives_nothing_before_holders_could_renew():
    table = permits.PermitTable(clocks.ManualClock())
    assert not table.request("f", "b", takeover_complete=False).granted
    table.renew("f", "a")
    assert not table.request("f", "b", takeover_complete=True).granted


async def _router(node):
    settings = node.settings
    stream = await tcpclient.TCPClient().connect(
        settings.address, settings.control_port
    )
    conn = streams.MessageStream(stream)
    conn.send(types.Hello(settings.id, 1, "router"))
    return conn


async def _ask(conn, fingerprint: str, holder: str) -> bool:
    conn.send(types.PermitRequest(fingerprint, holder, "ask"))
    while True:
        message = await asyncio.wait_for(conn.receive(), 3)
        if isinstance(message, types.PermitGrant):
            return message.granted


def test_routers_of_different_nodes_get_one_permit_at_a_time(monkeypatch):
    monkeypatch.setattr(permits, "TAKEOVER_S", 0.1)

    async def run():
        cluster = clusters.Cluster(6)
        await cluster.start()
        await clusters.until(cluster.agreed, 5)
        await asyncio.sleep(0.2)
        routers = [await _router(node) for node in cluster.nodes.values()]
        answers = [await _ask(c, "f", f"h{i}") for i, c in enumerate(routers)]
        assert answers.count(True) == 1
        holder = answers.index(True)
        release = types.PermitRequest("f", f"h{holder}", "release")
        routers[holder].send(release)
        await asyncio.sleep(0.2)
        assert await _ask(routers[holder - 1], "f", "again")
        # Two suspects do not wait for each other.
        assert await _ask(routers[holder], "g", "other")
        await cluster.stop()

    asyncio.run(run())
