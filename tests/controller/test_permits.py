"""Guards that a suspected fingerprint has at most one permit at a time."""

import asyncio

from tornado import tcpclient

from balsamlug import clock as clocks
from balsamlug.controller import permits
from balsamlug.messages import stream as streams
from balsamlug.messages import types
from tests import cluster as clusters


def test_second_holder_is_refused_until_release_or_expiry():
    clock = clocks.ManualClock()
    table = permits.PermitTable(clock)
    assert table.request("f", "a", takeover_complete=True).granted
    assert not table.request("f", "b", takeover_complete=True).granted
    assert table.request("f", "a", takeover_complete=True).granted
    table.release("f", "a")
    assert table.request("f", "b", takeover_complete=True).granted
    clock.advance(permits.LIFETIME_S + 1)
    assert table.request("f", "c", takeover_complete=True).granted


def test_new_coordinator_grants_nothing_before_holders_could_renew():
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


async def _request_permit(conn, fingerprint: str, holder: str) -> bool:
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
        answers = [
            await _request_permit(c, "f", f"h{i}")
            for i, c in enumerate(routers)
        ]
        assert answers.count(True) == 1
        holder = answers.index(True)
        release = types.PermitRequest("f", f"h{holder}", "release")
        routers[holder].send(release)
        await asyncio.sleep(0.2)
        assert await _request_permit(routers[holder - 1], "f", "again")
        # Permits of two suspected requests are independent.
        assert await _request_permit(routers[holder], "g", "other")
        await cluster.stop()

    asyncio.run(run())
