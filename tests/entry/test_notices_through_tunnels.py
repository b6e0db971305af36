"""Guards upstreams that state something to a node that forwards for another.

An upstream takes the node that forwards bytes for the sender of the requests.
"""

import asyncio
import time

import pytest

from tests.entry import cuts as cut_nodes
from tests.entry import plain_calls

CUT, FORWARDING = 0, 1
TARGET_MS = 500
# `DrainMs` of the deployments.
DRAIN_S = 2.0
# Time after a rejection, and requests after that, which an upstream tolerates.
SLACK_S = 0.5
LATE_REQUESTS = 2
PAUSE_S = 3.0
CALLS = 20


def _run(scenario) -> None:
    async def main() -> None:
        async with plain_calls.running(2, 2, TARGET_MS) as plain:
            ports = {int(s._address.rpartition(":")[2]) for s in plain.servers}
            with cut_nodes.installed(ports) as cuts:
                cuts.cut({CUT}, cut_nodes.Kind.REFUSE_NEW)
                while plain.fleet.nodes[CUT].connector.monitor.lost_s is None:
                    await _call(plain, CUT)
                await scenario(plain)

    asyncio.run(main())


async def _call(plain, node: int):
    _call.count += 2
    return await plain.call(f"/calc/{_call.count}", _call.count + node)


_call.count = 0


async def _call_until_reached(plain, node: int, server) -> None:
    before = len(server.arrivals)
    while len(server.arrivals) == before:
        await _call(plain, node)


async def _late_arrivals(plain, node: int, server, since_s: float) -> int:
    """Return how many calls of a node reach a server after a time."""
    await asyncio.sleep(max(0.0, since_s - time.monotonic()))
    answers = [await _call(plain, node) for _ in range(CALLS)]
    assert {resp.code for resp in answers} == {200}
    return sum(at_s > since_s for at_s, _ in server.arrivals)


@pytest.mark.parametrize(
    ("told", "other"), [(CUT, FORWARDING), (FORWARDING, CUT)]
)
def test_retry_after_holds_for_all_that_one_node_sends(told, other):
    async def scenario(plain):
        busy = plain.servers[0]
        busy.retry_after = str(PAUSE_S)
        await _call_until_reached(plain, told, busy)
        busy.retry_after = ""
        since_s = time.monotonic() + SLACK_S
        late = await _late_arrivals(plain, other, busy, since_s)
        assert time.monotonic() < since_s + PAUSE_S - SLACK_S
        assert late <= LATE_REQUESTS

    _run(scenario)


@pytest.mark.parametrize(
    ("told", "other"), [(CUT, FORWARDING), (FORWARDING, CUT)]
)
def test_leaving_server_gets_nothing_that_one_node_sends(told, other):
    async def scenario(plain):
        server = plain.servers[0]
        server.leaving = True
        await _call_until_reached(plain, told, server)
        server.leaving = False
        since_s = time.monotonic() + DRAIN_S
        assert not await _late_arrivals(plain, other, server, since_s)

    _run(scenario)
