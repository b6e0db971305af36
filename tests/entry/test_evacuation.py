"""Guards against requests sent to a failure domain that is evacuated."""

import asyncio
import json

import eliot

from balsamlug import exceptions
from balsamlug.messages import types
from balsamlug.paths import connector as connectors
from balsamlug.store import positions
from balsamlug_standins import members
from balsamlug_standins import plain_servers
from balsamlug_standins import site
from tests.entry import fleet as fleets
from tests.entry import plain_calls

KIND = "evacuations"
BOUND_MS = 5000
BOUND_S = BOUND_MS / 1000
BOTH = {"z1", "z2"}
# As many as one group runs at once.
REQUESTS = fleets.SLOTS
# Leases are renewed in this time.
COPY_AGE_S = 2.5


def _member(name: str, api, **more) -> members.Member:
    number = int(name.partition("-")[2]) // site.GROUP_SIZE + 1
    return members.Member(
        name, api, domain=f"d{number}", zone=f"z{number}", **more
    )


def _run(scenario, nodes: int = 2, evacuate_ms: int = BOUND_MS) -> None:
    """Run a scenario in a fleet with a group in each of two domains."""

    async def main() -> None:
        async with fleets.running(
            2 * site.GROUP_SIZE,
            nodes,
            create_member=_member,
            evacuate_ms=evacuate_ms,
        ) as fleet:
            await fleet.until(lambda: _all_use(fleet, BOTH))
            await scenario(fleet)

    asyncio.run(main())


def _domains(node) -> set[str]:
    """Return the failure domains of the groups that a node may send to."""
    candidates = node.groups.candidates(
        fleets.SERVICE, fleets.MODEL, frozenset()
    )
    return {node.state.instances[c.head].failure_domain for c in candidates}


def _all_use(fleet, expected: set[str]) -> bool:
    return all(_domains(node) == expected for node in fleet.nodes)


def _all_hold(fleet, *expected: str) -> bool:
    return all(
        node.state.evacuations.stored == set(expected) for node in fleet.nodes
    )


def _arrivals(fleet, zone: str) -> int:
    servers = fleet.servers.values()
    return sum(len(s.arrivals) for s in servers if s.zone == zone)


async def _send(fleet) -> None:
    resps = await asyncio.gather(
        *(
            fleet.send_request(n % len(fleet.nodes), f"r{n}")
            for n in range(REQUESTS)
        )
    )
    assert {resp.code for resp in resps} == {200}


async def _start_streams(fleet, zone: str) -> tuple[asyncio.Task, int]:
    """Send requests until some run in a failure domain.

    Placement draws at random between groups, so that all of a few requests may
    run in the other domain.

    Returns:
      the task of the last requests, and the number of all requests.
    """
    sent = 0
    async with asyncio.timeout(fleets.WAIT_S):
        while True:
            sent += REQUESTS
            running = asyncio.create_task(_send(fleet))
            while not running.done():
                if _arrivals(fleet, zone):
                    return running, sent
                await asyncio.sleep(0.005)
            await running


async def _evacuate(fleet) -> None:
    fleet.api.write(KIND, "z1", {})
    async with asyncio.timeout(BOUND_S):
        await fleet.until(lambda: _all_use(fleet, {"z2"}))


def _take_store_down(fleet) -> None:
    fleet.api.down = True
    fleet.api.table.changed.notify()


def test_evacuated_domain_gets_no_request_until_it_is_taken_back():
    async def scenario(fleet):
        running, sent = await _start_streams(fleet, "z1")
        await _evacuate(fleet)
        # Streams that run there are not cut.
        await running
        assert _arrivals(fleet, "z1") + _arrivals(fleet, "z2") == sent
        groups = {s.id: s.group["Name"] for s in fleet.open_heads()}
        before = _arrivals(fleet, "z1")
        await _send(fleet)
        assert _arrivals(fleet, "z1") == before
        metrics = fleet.nodes[0].metrics.render().decode()
        assert "balsamlug_evacuated_domains 1.0" in metrics
        fleet.api.remove(KIND, "z1")
        await fleet.until(lambda: _all_use(fleet, BOTH))
        # The groups were kept, so that the domain serves at once.
        assert groups == {s.id: s.group["Name"] for s in fleet.open_heads()}
        async with asyncio.timeout(fleets.WAIT_S):
            while _arrivals(fleet, "z1") == before:
                await _send(fleet)

    _run(scenario)


def _evacuate_on_connect(monkeypatch, api, state) -> None:
    """Evacuate the first failure domain that a connection leads to."""
    original = connectors.Connector.connect

    async def connect(self, address, *args, **kwargs):
        conn = await original(self, address, *args, **kwargs)
        if not state.evacuations.stored:
            zone = next(
                instance.failure_domain
                for instance in state.instances.values()
                if instance.address == address
            )
            position = positions.position(api.era, api.write(KIND, zone, {}))
            state.publish(types.EvacuationUpdate(position, [zone]), 0.0)
        return conn

    monkeypatch.setattr(connectors.Connector, "connect", connect)


def test_request_is_not_sent_when_its_group_is_evacuated_meanwhile(monkeypatch):
    async def scenario(fleet):
        state = fleet.nodes[0].state
        _evacuate_on_connect(monkeypatch, fleet.api, state)
        assert (await fleet.send_request()).code == 200
        (zone,) = state.evacuations.stored
        assert _arrivals(fleet, zone) == 0

    _run(scenario, nodes=1)


def test_evacuation_holds_after_the_watcher_that_read_it_dies():
    async def scenario(fleet):
        fleet.api.write(KIND, "z1", {})
        await fleet.until(
            lambda: any(n.state.evacuations.stored for n in fleet.nodes)
        )
        first = next(n for n in fleet.nodes if n.state.evacuations.stored)
        fleet.nodes.remove(first)
        # Nothing that it has queued for its neighbours is sent.
        first.peers.links.stop()
        await first.close()
        async with asyncio.timeout(BOUND_S):
            await fleet.until(lambda: _all_use(fleet, {"z2"}))

    _run(scenario, nodes=3)


def test_node_that_the_store_refuses_learns_of_an_evacuation_from_others():
    async def refuse(*args, **kwargs):
        raise exceptions.StoreOutage("refused by the test")

    async def scenario(fleet):
        store = fleet.nodes[0].store
        store.list = store.watch = refuse
        await _evacuate(fleet)
        await _send(fleet)
        assert _arrivals(fleet, "z1") == 0

    _run(scenario)


def test_evacuation_outlives_an_outage_of_the_store_and_ends_after_it():
    async def scenario(fleet):
        await _evacuate(fleet)
        _take_store_down(fleet)
        await asyncio.sleep(0.5)
        fleet.api.remove(KIND, "z1")
        # A node that starts meanwhile has the set from its neighbours.
        peer = fleet.nodes[0].peers.settings
        await fleet.nodes[1].close()
        fleet.nodes[1] = fleet.new_node(1)
        address = f"{peer.address}:{peer.peer_port}"
        fleet.nodes[1].peers.table.known_addresses.add(address)
        await fleet.nodes[1].start()
        await fleet.until(lambda: _all_hold(fleet, "z1"))
        assert _domains(fleet.nodes[0]) == {"z2"}
        fleet.api.down = False
        await fleet.until(lambda: _all_use(fleet, BOTH))

    _run(scenario)


def test_evacuation_holds_when_the_store_is_restored_without_the_entry():
    async def scenario(fleet):
        saved = fleet.api.copy()
        await asyncio.sleep(COPY_AGE_S)
        await _evacuate(fleet)
        fleet.api.restore(saved)
        async with asyncio.timeout(BOUND_S):
            await fleet.until(lambda: _all_hold(fleet))
        assert _all_use(fleet, {"z2"})
        # Operators write the entry again.
        fleet.api.write(KIND, "z1", {})
        await fleet.until(lambda: _all_hold(fleet, "z1"))
        assert _all_use(fleet, {"z2"})
        fleet.api.remove(KIND, "z1")
        await fleet.until(lambda: _all_use(fleet, BOTH))

    _run(scenario)


def test_requests_are_refused_at_once_while_all_domains_are_evacuated():
    async def scenario(fleet):
        await _evacuate(fleet)
        fleet.api.write(KIND, "z2", {})
        await fleet.until(lambda: _all_use(fleet, set()))
        resp = await fleet.send_request()
        assert resp.code == 503
        assert json.loads(resp.body)["error"]["code"] == "no_ready_group"
        fleet.api.remove(KIND, "z1")
        await fleet.until(lambda: _all_use(fleet, {"z1"}))
        await _send(fleet)

    _run(scenario)


def test_domain_without_instances_is_logged_once_and_changes_nothing():
    lines: list[dict] = []

    async def scenario(fleet):
        fleet.api.write(KIND, "elsewhere", {})
        await fleet.until(lambda: _all_hold(fleet, "elsewhere"))
        # The log is brought up to date every second.
        await asyncio.sleep(1.5)
        assert _all_use(fleet, BOTH)

    eliot.add_destinations(lines.append)
    # The first destination gets what was logged before.
    lines.clear()
    try:
        _run(scenario)
    finally:
        eliot.remove_destination(lines.append)
    logged = [line["message_type"] for line in lines]
    assert logged.count("evacuation_unknown_domain") == 2


def test_entries_are_neither_read_nor_obeyed_when_disabled():
    async def scenario(fleet):
        fleet.api.write(KIND, "z1", {})
        await asyncio.sleep(2.0)
        assert not any(n.state.evacuations.position for n in fleet.nodes)
        assert _all_use(fleet, BOTH)

    _run(scenario, evacuate_ms=0)


async def _add_server(plain) -> None:
    """Add an instance of the plain service in another failure domain."""
    server = plain_servers.PlainServer(
        "c-z2", plain.fleet.api, plain_calls.SERVICE, zone="z2"
    )
    await server.listen()
    plain.servers.append(server)
    await plain.fleet.until(plain.is_listed)


def test_call_of_a_plain_service_is_not_sent_to_an_evacuated_domain():
    async def main():
        async with plain_calls.running(
            2, 1, 300, evacuate_ms=BOUND_MS
        ) as plain:
            await _add_server(plain)
            plain.fleet.api.write(KIND, "z1", {})
            await plain.fleet.until(lambda: _all_hold(plain.fleet, "z1"))
            for number in range(3 * REQUESTS):
                assert (await plain.call("/calc/1", number)).code == 200
            assert not plain.servers[0].arrivals

    asyncio.run(main())


def test_call_is_not_sent_when_its_upstream_is_evacuated_meanwhile(monkeypatch):
    async def main():
        async with plain_calls.running(
            1, 1, 300, evacuate_ms=BOUND_MS
        ) as plain:
            await _add_server(plain)
            state = plain.fleet.nodes[0].state
            _evacuate_on_connect(monkeypatch, plain.fleet.api, state)
            assert (await plain.call("/calc/1", 0)).code == 200
            (zone,) = state.evacuations.stored
            arrived = {s.zone for s in plain.servers if s.arrivals}
            assert arrived == BOTH - {zone}

    asyncio.run(main())
