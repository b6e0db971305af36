"""Guards sound servers against nodes that take a lost path for lost servers."""

import asyncio
import time

import eliot
import pytest
from tornado import httpclient

from balsamlug_standins import members
from tests.entry import cuts as cut_nodes
from tests.entry import fleet as fleets

EVENTS = "".join(
    f"id: {n}\ndata: token{n}\n\n" for n in range(1, members.EVENTS + 1)
)
KINDS = list(cut_nodes.Kind)
CUT = {0, 1}
NODES = 4
SERVERS = 9
# Callers of each node, and their pause between two requests. Fewer than the
# engines have slots, so that slow ones are not overloaded.
CALLERS = 2
PAUSE_S = 0.05
BEFORE_S = 1.0
PLAYED_S = 6.0
# At most one in ten of the first tries at nodes with a path may fail.
MIN_SERVED = 0.9
# Callers leave after a pause of this length.
CALLER_GAP_S = 2.0
# `StableWindowMs` of the deployments.
WINDOW_S = 3.0


def _port(server: members.Member) -> int:
    return int(server.address.rpartition(":")[2])


def _run(scenario, nodes: int = NODES) -> None:
    async def main() -> None:
        async with fleets.running(SERVERS, nodes) as fleet:
            ports = {_port(s) for s in fleet.servers.values()}
            with cut_nodes.installed(ports) as cuts:
                await fleet.until(lambda: len(fleet.open_heads()) >= 2)
                await asyncio.sleep(0.5)
                lines = []
                eliot.add_destinations(lines.append)
                # The first destination also gets all earlier messages.
                lines.clear()
                try:
                    await scenario(fleet, cuts, lines)
                finally:
                    eliot.remove_destination(lines.append)

    asyncio.run(main())


class _Load:
    """Callers at each node that send one request after the other."""

    def __init__(self, fleet: fleets.Fleet, cut: set[int]) -> None:
        self._fleet = fleet
        self._cut = cut
        self.longest_s = 0.0
        self.served: list[tuple[float, int, bool]] = []

    async def run(self, played_s: float) -> None:
        """Send requests for a time, and wait for their answers."""
        until_s = time.monotonic() + played_s
        await asyncio.gather(
            *(
                self._call(node, f"n{node}-{caller}", until_s)
                for node in range(len(self._fleet.nodes))
                for caller in range(CALLERS)
            )
        )

    async def _call(self, node: int, name: str, until_s: float) -> None:
        while (sent_s := time.monotonic()) < until_s:
            try:
                resp = await self._fleet.send_request(node, f"{name}-{sent_s}")
                is_served = resp.code == 200 and resp.body.decode() == EVENTS
            except httpclient.HTTPError:
                # The answer was cut off.
                is_served = False
            self.served.append((sent_s, node, is_served))
            self.longest_s = max(self.longest_s, time.monotonic() - sent_s)
            await asyncio.sleep(PAUSE_S)

    def shares(self, since_s: float) -> tuple[float, float]:
        """Return the shares served at cut nodes and at the others."""
        shares = []
        others = set(range(len(self._fleet.nodes))) - self._cut
        for nodes in (self._cut, others):
            results = [
                is_served
                for sent_s, node, is_served in self.served
                if node in nodes and sent_s >= since_s
            ]
            shares.append(sum(results) / len(results))
        return shares[0], shares[1]


def _suspected(lines: list[dict]) -> set[str]:
    return {
        line["instance"]
        for line in lines
        if line["message_type"] == "instance_suspected"
    }


async def _play(fleet, cuts, kind, cut=CUT, then=None):
    """Cut nodes off under load, and check how callers are served.

    Args:
      then: called 1.5 s after the cut.
    """
    load = _Load(fleet, cut)
    running = asyncio.create_task(load.run(PLAYED_S))
    await asyncio.sleep(BEFORE_S)
    cuts.cut(cut, kind)
    cut_s = time.monotonic()
    if then is not None:
        await asyncio.sleep(1.5)
        then()
    await running
    assert load.longest_s < CALLER_GAP_S
    at_cut, at_others = load.shares(cut_s + WINDOW_S)
    assert at_cut >= at_others * 2 / 3
    assert at_others >= MIN_SERVED


@pytest.mark.parametrize("kind", KINDS)
def test_no_server_is_suspected_when_paths_are_lost(kind):
    async def scenario(fleet, cuts, lines):
        await _play(fleet, cuts, kind)
        assert not _suspected(lines)

    _run(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_only_a_dark_server_is_suspected_when_paths_are_lost(kind):
    async def scenario(fleet, cuts, lines):
        dark = fleet.open_heads()[0]

        def go_dark():
            dark.unresponsive = True
            cuts.dark = frozenset({_port(dark)})

        await _play(fleet, cuts, kind, then=go_dark)
        assert _suspected(lines) <= {dark.id}

    _run(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_no_server_is_suspected_when_most_paths_are_lost(kind):
    async def scenario(fleet, cuts, lines):
        heads = {server.id for server in fleet.open_heads()}
        spare = next(s for s in fleet.servers.values() if s.id not in heads)
        cuts.spared = frozenset({_port(spare)})
        await _play(fleet, cuts, kind)
        assert not _suspected(lines)

    _run(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_first_tries_are_served_when_most_nodes_have_no_path(kind):
    async def scenario(fleet, cuts, lines):
        most = set(range(4))
        await _play(fleet, cuts, kind, most)
        assert not _suspected(lines)

    _run(scenario, 6)
