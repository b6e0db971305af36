"""Guards requests of other nodes that pass through a stopping node."""

import asyncio

from tests.entry import cuts as cut_nodes
from tests.entry import fleet as fleets
from tests.entry import plain_calls

# Longer than a node without requests of its own needs to stop.
WORK_S = fleets.GRACE_S * 0.65
DEADLINE_MS = 30_000


def test_stopping_node_waits_for_the_tunnels_that_it_serves(monkeypatch):
    async def main() -> None:
        async with plain_calls.running(2, 1, DEADLINE_MS) as plain:
            (server,) = plain.servers
            server.delays = {"/calc/1": WORK_S}
            nodes = plain.fleet.nodes
            await plain.fleet.until(
                lambda: all(len(n.state.live_nodes()) == 2 for n in nodes)
            )
            port = int(server._address.rpartition(":")[2])
            with cut_nodes.installed({port}) as cuts:
                cuts.cut({1}, cut_nodes.Kind.REFUSE_NEW)
                call = asyncio.ensure_future(plain.call("/calc/1", 1))
                await plain.fleet.until(lambda: bool(server.arrivals))
                serving, cut = nodes
                assert (serving.relay.open_count, cut.relay.open_count) == (
                    1,
                    0,
                )
                await serving.stop()
                # The process ends now, and its connections with it.
                assert serving.relay.open_count == 0
                assert (await call).code == 200
                assert len(server.arrivals) == 1

    monkeypatch.setattr(plain_calls, "DEADLINE_MS", DEADLINE_MS)
    monkeypatch.setitem(plain_calls.ROUTE, "TimeoutMs", DEADLINE_MS)
    asyncio.run(main())
