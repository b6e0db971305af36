"""Guards streams of nodes without a path against the loss of their relays."""

import asyncio
import collections
import time

import attrs
import eliot
import pytest

from balsamlug_standins import members
from balsamlug_standins import site
from tests.entry import cuts as cut_nodes
from tests.entry import fleet as fleets
from tests.entry import kept_callers
from tests.entry import plain_calls

FAULTS = list(cut_nodes.RelayFault)
NODES = 4
ENGINES = 7
STREAMS = 4
TARGET = "/chat/long"
EVENTS = 120
DEADLINE_MS = 15_000
BODY = "".join(f"id: {n}\ndata: token{n}\n\n" for n in range(1, EVENTS + 1))
# Time without an event after which callers leave.
CALLER_GAP_S = 2.0


def _run(scenario) -> None:
    route = {"TimeoutMs": DEADLINE_MS}

    async def main() -> None:
        async with fleets.running(ENGINES, NODES, route=route) as fleet:
            ports = set()
            for server in fleet.servers.values():
                ports.add(int(server.address.rpartition(":")[2]))
                server.event_counts = {TARGET: EVENTS}
            with cut_nodes.installed(ports) as cuts:
                await fleet.until(lambda: len(fleet.open_heads()) == 2)
                await fleet.ready()
                await asyncio.sleep(0.5)
                await scenario(_Play(fleet, cuts))

    asyncio.run(main())


def _lose(fleet, cuts, relay: int, fault: cut_nodes.RelayFault) -> None:
    node = fleet.nodes[relay].state.nodes[f"node-{relay}"]
    cuts.lose_relay(int(node.peer_address.rpartition(":")[2]), fault)


class _Play:
    """Streams at the first node, which is cut off from all upstreams."""

    def __init__(self, fleet: fleets.Fleet, cuts: cut_nodes.Cuts) -> None:
        self.fleet = fleet
        self.cuts = cuts
        self._ids = [f"s{n}" for n in range(STREAMS)]
        self._results: list[asyncio.Task] = []

    def send(self) -> None:
        """Send the streams, each on a connection that is kept."""
        port = self.fleet.nodes[0].peers.settings.caller_port
        self._results = [
            asyncio.create_task(
                kept_callers.KeptCaller(port).send(
                    request_id, TARGET, DEADLINE_MS, f"100,{2 * EVENTS}"
                )
            )
            for request_id in self._ids
        ]

    def runs(self) -> collections.Counter:
        """Return how often a server began to run each stream."""
        return collections.Counter(
            attempt
            for server in self.fleet.servers.values()
            for attempt in server.started_attempts
            if attempt in self._ids
        )

    def relays(self) -> list[int]:
        """Return the nodes that serve tunnels."""
        return [
            n for n in range(1, NODES) if self.fleet.nodes[n].relay.open_count
        ]

    async def until_run(self, times: int) -> None:
        """Wait until servers have begun to run each stream so many times."""
        await self.fleet.until(
            lambda: (
                all(
                    self.runs()[request_id] >= times for request_id in self._ids
                )
                or all(result.done() for result in self._results)
            )
        )
        await asyncio.sleep(0.2)

    def lose(self, relays: list[int], fault: cut_nodes.RelayFault) -> None:
        """Let nodes fail as servers of tunnels."""
        for relay in relays:
            _lose(self.fleet, self.cuts, relay, fault)

    async def check(self) -> None:
        """Check that all streams are whole and within the limits."""
        results = await asyncio.gather(*self._results)
        whole = [
            r for r in results if r.is_complete and r.body == BODY.encode()
        ]
        assert len(whole) == STREAMS, [(r.status, len(r.body)) for r in results]
        for result in results:
            servers = [
                server.id
                for server in self.fleet.servers.values()
                if result.request_id in server.started_attempts
            ]
            assert result.longest_pause_s < CALLER_GAP_S
            assert len(servers) <= site.STREAM["MaxAttempts"]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("kind", list(cut_nodes.Kind))
def test_stream_resumed_through_a_relay_outlives_that_relay(kind, fault):
    async def scenario(play):
        play.send()
        await play.until_run(1)
        play.cuts.cut({0}, kind)
        if kind is cut_nodes.Kind.REFUSE_NEW:
            # Connections live on until the loss of the path is known.
            await play.fleet.send_request(0, "other")
            play.cuts.cut({0}, cut_nodes.Kind.HANG)
        await play.until_run(2)
        # One node is left to go on through.
        play.lose(play.relays()[: NODES - 2], fault)
        await play.check()

    _run(scenario)


@pytest.mark.parametrize("fault", FAULTS)
def test_stream_outlives_one_relay_after_another(fault):
    async def scenario(play):
        play.cuts.cut({0}, cut_nodes.Kind.REFUSE_NEW)
        await play.fleet.send_request(0, "other")
        play.send()
        await play.until_run(1)
        play.lose([1], fault)
        await asyncio.sleep(CALLER_GAP_S / 2)
        play.lose([2], fault)
        await play.check()

    _run(scenario)


def test_stream_outlives_resets_of_its_own_path_and_of_its_relays():
    async def scenario(play):
        play.send()
        await play.until_run(1)
        play.cuts.cut({0}, cut_nodes.Kind.RESET)
        await play.until_run(2)
        relays = play.relays()[: NODES - 2]
        play.cuts.cut({0, *relays}, cut_nodes.Kind.RESET)
        await play.check()

    _run(scenario)


def test_search_for_a_path_does_not_use_up_the_retries_of_a_stream():
    async def scenario(play):
        play.cuts.cut({0}, cut_nodes.Kind.REFUSE_NEW)
        await play.fleet.send_request(0, "other")
        play.send()
        await play.until_run(1)
        node = play.fleet.nodes[0]
        node.budgets.share = 0.0
        # Housekeeping sets it from the share of the node.
        node.settings = attrs.evolve(
            node.settings, retry_allowance=(STREAMS + 1) * NODES
        )
        await play.fleet.until(lambda: node.budgets.base_retries == STREAMS + 1)
        play.lose(list(range(1, NODES)), cut_nodes.RelayFault.ENDED)
        await asyncio.sleep(CALLER_GAP_S / 4)
        play.cuts.relay_faults.clear()
        await play.check()

    _run(scenario)


def test_stream_with_pauses_is_not_taken_from_a_sound_relay(monkeypatch):
    async def scenario(play):
        for server in play.fleet.servers.values():
            server.event_counts = {TARGET: 5}
        play.cuts.cut({0}, cut_nodes.Kind.REFUSE_NEW)
        await play.fleet.send_request(0, "other")
        # Longer than the silence after which a group is probed.
        monkeypatch.setattr(members, "EVENT_INTERVAL_S", 0.6)
        play.send()
        results = await asyncio.gather(*play._results)
        assert all(result.is_complete for result in results)
        assert set(play.runs().values()) == {1}

    _run(scenario)


async def _start_paused_streams(play, monkeypatch, retired) -> None:
    """Start streams that pause longer than the silence that is probed."""
    for server in play.fleet.servers.values():
        server.event_counts = {TARGET: 5}
    monkeypatch.setattr(members, "EVENT_INTERVAL_S", 0.6)
    play.send()
    await play.until_run(1)
    if retired:
        spec = fleets.configuration(2, TimeoutMs=DEADLINE_MS)
        (model,) = spec["Services"][0]["Engine"]["Models"]
        model["Name"] = "other"
        play.fleet.api.write("config", "main", spec)
        await asyncio.sleep(0.3)


@pytest.mark.parametrize("retired", [False, True])
@pytest.mark.parametrize("state", ["leaving", "paused"])
def test_silent_stream_is_not_taken_from_a_relay_that_keeps_its_tunnel(
    monkeypatch, state, retired
):
    async def scenario(play):
        play.cuts.cut({0}, cut_nodes.Kind.REFUSE_NEW)
        await play.fleet.send_request(0, "other")
        await _start_paused_streams(play, monkeypatch, retired)
        connector = play.fleet.nodes[0].connector
        for relay in play.relays():
            node = play.fleet.nodes[relay]
            if state == "leaving":
                node.relay.leaving = True
                node.peers.table.set_leaving(True)
            else:
                connector.record_lost(f"node-{relay}")
        results = await asyncio.gather(*play._results)
        assert all(result.is_complete for result in results)
        assert set(play.runs().values()) == {1}

    _run(scenario)


def test_direct_stream_that_no_group_takes_is_not_ended_for_a_lost_path(
    monkeypatch,
):
    async def scenario(play):
        await _start_paused_streams(play, monkeypatch, True)
        play.cuts.cut({0}, cut_nodes.Kind.REFUSE_NEW)
        play.fleet.nodes[0].connector.monitor.lost_s = time.monotonic()
        results = await asyncio.gather(*play._results)
        assert all(result.is_complete for result in results)

    _run(scenario)


def test_repeatable_call_outlives_its_relay():
    async def main() -> None:
        async with plain_calls.running(3, 1, 1000) as plain:
            (server,) = plain.servers
            nodes = plain.fleet.nodes
            await plain.fleet.until(
                lambda: len(nodes[0].state.live_nodes()) == len(nodes)
            )
            server.delays = {"/calc/0": 0.5}
            with cut_nodes.installed(
                {int(server._address.rpartition(":")[2])}
            ) as cuts:
                cuts.cut({0}, cut_nodes.Kind.REFUSE_NEW)
                call = asyncio.ensure_future(plain.call("/calc/0", 0))
                await plain.fleet.until(lambda: bool(server.arrivals))
                for relay in (1, 2):
                    if nodes[relay].relay.open_count:
                        fault = cut_nodes.RelayFault.ENDED
                        _lose(plain.fleet, cuts, relay, fault)
                assert (await call).code == 200
                assert len(server.arrivals) == 2

    asyncio.run(main())


def test_end_of_a_relay_is_not_held_against_requests_and_servers():
    async def scenario(play):
        play.cuts.cut({0}, cut_nodes.Kind.REFUSE_NEW)
        await play.fleet.send_request(0, "other")
        play.send()
        await play.until_run(1)
        play.lose(play.relays()[: NODES - 2], cut_nodes.RelayFault.ENDED)
        groups = play.fleet.nodes[0].groups
        await asyncio.sleep(0.1)
        assert (
            len(groups.candidates(site.MODEL_SERVICE, site.MODEL, frozenset()))
            == 2
        )
        await play.check()

    lines = []
    eliot.add_destinations(lines.append)
    # The first destination also gets all earlier messages.
    lines.clear()
    try:
        _run(scenario)
    finally:
        eliot.remove_destination(lines.append)
    types = {line["message_type"] for line in lines}
    assert types.isdisjoint({"crash_check_opened", "crash_recorded"})
