"""Guards against requests sent to a failure domain that is evacuated."""

import asyncio
import json

import eliot

from balsamlug import exceptions
from balsamlug.messages import types
from balsamlug.paths import connector as connectors
from balsamlug_standins import plain_servers
from tests.entry import evacuating
from tests.entry import plain_calls

REQUESTS = 12
BOUND_S = evacuating.EVACUATE_MS / 1000
# Leases are renewed in this time.
COPY_AGE_S = 2.5


def _run(scenario, **sizes) -> None:
    async def main() -> None:
        async with evacuating.running(**sizes) as fleet:
            await scenario(fleet)

    asyncio.run(main())


async def _send(fleet) -> set[int]:
    resps = await asyncio.gather(
        *(
            fleet.send_request(n % len(fleet.nodes), f"r{n}")
            for n in range(REQUESTS)
        )
    )
    return {resp.code for resp in resps}


async def _evacuate(fleet, zone: str = "z1", rest: frozenset = frozenset()):
    """Evacuate a failure domain and wait until all nodes avoid it."""
    fleet.api.write(evacuating.KIND, zone, {})
    async with asyncio.timeout(BOUND_S):
        await fleet.until(
            lambda: evacuating.all_use(fleet, rest or {"z1", "z2"} - {zone})
        )


async def _refuse(*args, **kwargs):
    raise exceptions.StoreOutage("refused by the test")


def _refuse_store(node) -> None:
    """Let the store refuse a node, whose links to other nodes remain."""
    node.store.list = node.store.watch = _refuse


def test_evacuated_domain_gets_no_request_until_it_is_taken_back():
    async def scenario(fleet):
        await _evacuate(fleet)
        groups = {s.id: s.group["Name"] for s in fleet.open_heads()}
        assert await _send(fleet) == {200}
        assert evacuating.arrivals(fleet, "z1") == 0
        metrics = fleet.nodes[0].metrics.render().decode()
        assert "balsamlug_evacuated_domains 1.0" in metrics
        fleet.api.remove(evacuating.KIND, "z1")
        await fleet.until(lambda: evacuating.all_use(fleet, {"z1", "z2"}))
        # The groups were kept, so that the domain serves at once.
        assert groups == {s.id: s.group["Name"] for s in fleet.open_heads()}
        assert await _send(fleet) == {200}
        assert evacuating.arrivals(fleet, "z1") > 0

    _run(scenario)


def test_stream_in_an_evacuated_domain_is_not_cut():
    async def scenario(fleet):
        running = asyncio.create_task(_send(fleet))
        await fleet.until(lambda: evacuating.arrivals(fleet, "z1") > 0)
        before = len(fleet.servers)
        await _evacuate(fleet)
        assert await running == {200}
        assert len(fleet.servers) == before
        arrived = sum(len(s.arrivals) for s in fleet.servers.values())
        assert arrived == REQUESTS

    _run(scenario)


def test_request_is_not_sent_when_its_group_is_evacuated_meanwhile(monkeypatch):
    async def scenario(fleet):
        node = fleet.nodes[0]
        original = connectors.Connector.connect

        async def connect(self, address, *args, **kwargs):
            conn = await original(self, address, *args, **kwargs)
            zone = next(
                s.zone for s in fleet.servers.values() if s.address == address
            )
            if not node.state.evacuations.stored:
                position = node.state.evacuations.position + 1
                message = types.EvacuationUpdate(position, [zone])
                node.state.publish(message, node.clock.monotonic())
            return conn

        monkeypatch.setattr(connectors.Connector, "connect", connect)
        resp = await fleet.send_request()
        (zone,) = node.state.evacuations.stored
        assert resp.code == 200
        assert evacuating.arrivals(fleet, zone) == 0

    _run(scenario, nodes=1)


def test_evacuation_holds_after_the_watcher_that_read_it_dies():
    async def scenario(fleet):
        fleet.api.write(evacuating.KIND, "z1", {})
        await fleet.until(
            lambda: any(n.state.evacuations.stored for n in fleet.nodes)
        )
        first = next(n for n in fleet.nodes if n.state.evacuations.stored)
        fleet.nodes.remove(first)
        # Nothing that it has queued for its neighbours is sent.
        first.peers.links.stop()
        await first.close()
        async with asyncio.timeout(BOUND_S):
            await fleet.until(lambda: evacuating.all_use(fleet, {"z2"}))

    _run(scenario, nodes=3)


def test_node_that_the_store_refuses_learns_of_an_evacuation_from_others():
    async def scenario(fleet):
        _refuse_store(fleet.nodes[0])
        await _evacuate(fleet)
        assert await _send(fleet) == {200}
        assert evacuating.arrivals(fleet, "z1") == 0

    _run(scenario)


def test_node_that_starts_while_the_store_is_down_learns_of_an_evacuation():
    async def scenario(fleet):
        await _evacuate(fleet)
        fleet.api.down = True
        fleet.api.table.changed.notify()
        await fleet.nodes[1].close()
        fleet.nodes[1] = fleet.new_node(1)
        # The setting `peers` of a node names others.
        peer = fleet.nodes[0].peers.settings
        address = f"{peer.address}:{peer.peer_port}"
        fleet.nodes[1].peers.table.known_addresses.add(address)
        await fleet.nodes[1].start()
        await fleet.until(
            lambda: fleet.nodes[1].state.evacuations.stored == {"z1"}
        )

    _run(scenario)


def test_evacuation_ends_when_it_is_deleted_while_the_store_is_down():
    async def scenario(fleet):
        await _evacuate(fleet)
        fleet.api.down = True
        fleet.api.table.changed.notify()
        await asyncio.sleep(0.5)
        fleet.api.remove(evacuating.KIND, "z1")
        await asyncio.sleep(1.0)
        assert evacuating.all_use(fleet, {"z2"})
        fleet.api.down = False
        await fleet.until(lambda: evacuating.all_use(fleet, {"z1", "z2"}))

    _run(scenario)


def test_evacuation_holds_when_the_store_is_restored_without_the_entry():
    async def scenario(fleet):
        saved = fleet.api.copy()
        await asyncio.sleep(COPY_AGE_S)
        await _evacuate(fleet)
        fleet.api.restore(saved)
        async with asyncio.timeout(BOUND_S):
            await fleet.until(
                lambda: all(not n.state.evacuations.stored for n in fleet.nodes)
            )
        assert evacuating.all_use(fleet, {"z2"})
        # Operators write the entry again.
        fleet.api.write(evacuating.KIND, "z1", {})
        await fleet.until(
            lambda: all(n.state.evacuations.stored for n in fleet.nodes)
        )
        assert evacuating.all_use(fleet, {"z2"})
        fleet.api.remove(evacuating.KIND, "z1")
        await fleet.until(lambda: evacuating.all_use(fleet, {"z1", "z2"}))

    _run(scenario)


def test_requests_are_refused_at_once_while_all_domains_are_evacuated():
    async def scenario(fleet):
        await _evacuate(fleet)
        fleet.api.write(evacuating.KIND, "z2", {})
        await fleet.until(lambda: evacuating.all_use(fleet, set()))
        resp = await fleet.send_request()
        assert resp.code == 503
        assert json.loads(resp.body)["error"]["code"] == "no_ready_group"
        assert resp.request_time < 1.0
        fleet.api.remove(evacuating.KIND, "z1")
        await fleet.until(lambda: evacuating.all_use(fleet, {"z1"}))
        assert await _send(fleet) == {200}

    _run(scenario)


def test_domain_without_instances_is_logged_once_and_changes_nothing():
    async def scenario(fleet):
        lines: list[dict] = []
        eliot.add_destinations(lines.append)
        lines.clear()
        fleet.api.write(evacuating.KIND, "elsewhere", {})
        await fleet.until(
            lambda: all(n.state.evacuations.stored for n in fleet.nodes)
        )
        await asyncio.sleep(1.5)
        eliot.remove_destination(lines.append)
        logged = [
            line
            for line in lines
            if line["message_type"] == "evacuation_unknown_domain"
        ]
        assert len(logged) == len(fleet.nodes)
        assert evacuating.all_use(fleet, {"z1", "z2"})

    _run(scenario)


def test_entries_are_neither_read_nor_obeyed_when_disabled():
    async def scenario(fleet):
        fleet.api.write(evacuating.KIND, "z1", {})
        await asyncio.sleep(2.0)
        assert not any(n.state.evacuations.position for n in fleet.nodes)
        assert evacuating.all_use(fleet, {"z1", "z2"})

    _run(scenario, evacuate_ms=0)


def test_call_of_a_plain_service_is_not_sent_to_an_evacuated_domain():
    async def main():
        async with plain_calls.running(
            2, 1, 300, evacuate_ms=evacuating.EVACUATE_MS
        ) as plain:
            other = plain_servers.PlainServer(
                "c-z2", plain.fleet.api, plain_calls.SERVICE, zone="z2"
            )
            await other.listen()
            plain.servers.append(other)
            await plain.fleet.until(plain.is_listed)
            plain.fleet.api.write(evacuating.KIND, "z1", {})
            await plain.fleet.until(
                lambda: all(
                    n.state.evacuations.stored for n in plain.fleet.nodes
                )
            )
            codes = [
                (await plain.call("/calc/1", n)).code for n in range(REQUESTS)
            ]
            assert set(codes) == {200}
            assert not plain.servers[0].arrivals
            plain.fleet.api.remove(evacuating.KIND, "z1")

    asyncio.run(main())
