"""Guards servers that state that they leave, or how long they want nothing."""

import asyncio
import collections
import math
import time

from tests.entry import fleet as fleets
from tests.entry import plain_calls

NODES = 2
SERVERS = 3
TARGET_MS = 500
# `DrainMs` of the deployments.
DRAIN_S = 2.0
# A server may still get requests for this time after it has rejected one, and
# two more from each node until its Retry-After is over.
REJECTION_SLACK_S = 0.5
LATE_REQUESTS = 2
PAUSE_S = 4
SEND_INTERVAL_S = 0.03


async def _send(plain, played_s: float, end_s: float = math.inf) -> list:
    """Send calls to the nodes in turn and return the answers.

    Sleeps last longer on a busy machine. The calls of a test that ends at a
    time of the servers therefore end at `end_s`, also when fewer were sent.
    """
    tasks = []
    for number in range(int(played_s / SEND_INTERVAL_S)):
        if time.monotonic() >= end_s:
            break
        tasks.append(asyncio.create_task(plain.call("/calc/1", number)))
        await asyncio.sleep(SEND_INTERVAL_S)
    return list(await asyncio.gather(*tasks))


def _run(scenario) -> None:
    async def main() -> None:
        async with plain_calls.running(NODES, SERVERS, TARGET_MS) as plain:
            await scenario(plain)

    asyncio.run(main())


def _arrivals_after(server, since_s: float) -> int:
    return sum(at_s > since_s for at_s, _ in server.arrivals)


def test_server_that_states_that_it_leaves_gets_no_more_calls():
    async def scenario(plain):
        await _send(plain, 1)
        plain.servers[0].leaving = True
        started_s = time.monotonic()
        answers = await _send(plain, 4)
        assert not _arrivals_after(plain.servers[0], started_s + DRAIN_S)
        assert {resp.code for resp in answers} == {200}

    _run(scenario)


def test_restarted_server_is_used_after_its_former_life_has_left():
    async def scenario(plain):
        server = plain.servers[0]
        server.leaving = True
        await _send(plain, 1)
        server.leaving = False
        server.born += 1
        plain.fleet.api.write("servers", server.name, server._entry())
        await asyncio.sleep(0.5)
        since_s = time.monotonic()
        await _send(plain, 1)
        assert _arrivals_after(server, since_s)

    _run(scenario)


def test_server_gets_no_calls_during_its_retry_after():
    async def scenario(plain):
        busy = plain.servers[0]
        busy.retry_after = str(PAUSE_S)
        started_s = time.monotonic()
        # A call after the pause would be rejected and begin another pause.
        played_s = PAUSE_S - 0.5
        answers = await _send(plain, played_s, started_s + played_s)
        late = _arrivals_after(busy, started_s + REJECTION_SLACK_S)
        assert late <= LATE_REQUESTS * NODES
        assert {resp.code for resp in answers} == {200}
        busy.retry_after = ""
        rejected_s, _ = busy.arrivals[-1]
        end_s = rejected_s + PAUSE_S + REJECTION_SLACK_S
        await asyncio.sleep(end_s - time.monotonic())
        since_s = time.monotonic()
        await _send(plain, 1)
        assert _arrivals_after(busy, since_s)

    _run(scenario)


def test_calls_are_rejected_at_once_while_all_servers_are_busy():
    async def scenario(plain):
        for server in plain.servers:
            server.retry_after = f"{PAUSE_S}.5"
        started_s = time.monotonic()
        await _send(plain, 1)
        asked_s = time.monotonic()
        (resp,) = await _send(plain, SEND_INTERVAL_S)
        assert time.monotonic() - asked_s < 0.2
        assert resp.code == 503
        left_s = PAUSE_S + 0.5 - (asked_s - started_s)
        assert left_s - 0.2 <= float(resp.headers["Retry-After"])
        assert float(resp.headers["Retry-After"]) <= left_s + 1.5
        played_s = PAUSE_S - 1.5
        await _send(plain, played_s, asked_s + played_s)
        for server in plain.servers:
            late = _arrivals_after(server, started_s + REJECTION_SLACK_S)
            assert late <= LATE_REQUESTS * NODES

    _run(scenario)


def test_invalid_retry_after_pauses_nothing():
    async def scenario(plain):
        for text in ("-1", "soon", "nan", "inf"):
            for server in plain.servers:
                server.retry_after = text
            await _send(plain, SEND_INTERVAL_S * 4)
        for server in plain.servers:
            server.retry_after = ""
        # Servers that failed lately are the last choice, but not excluded.
        answers = await _send(plain, 0.5)
        assert {resp.code for resp in answers} == {200}

    _run(scenario)


def _run_streams(scenario) -> None:
    async def main() -> None:
        async with fleets.running(engines=7) as fleet:
            await fleet.until(lambda: len(fleet.open_heads()) == 2)
            await asyncio.sleep(0.5)
            await scenario(fleet)

    asyncio.run(main())


async def _stream(fleet, played_s: float) -> collections.Counter:
    tasks = []
    for number in range(int(played_s / 0.1)):
        name = f"s{time.monotonic()}-{number}"
        tasks.append(asyncio.create_task(fleet.send_request(number % 2, name)))
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*tasks)
    return collections.Counter(resp.code for resp in answers)


def test_head_that_states_that_it_leaves_gets_no_more_requests():
    async def scenario(fleet):
        head = fleet.open_heads()[0]
        head.leaving = True
        started_s = time.monotonic()
        codes = await _stream(fleet, 4)
        assert head.arrivals
        assert not _arrivals_after(head, started_s + DRAIN_S)
        assert set(codes) == {200}

    _run_streams(scenario)


def test_head_gets_no_requests_during_its_retry_after():
    async def scenario(fleet):
        head = fleet.open_heads()[0]
        head.retry_after = str(PAUSE_S)
        started_s = time.monotonic()
        codes = await _stream(fleet, PAUSE_S - 0.5)
        late = _arrivals_after(head, started_s + REJECTION_SLACK_S)
        assert late <= LATE_REQUESTS * 2
        assert set(codes) == {200}

    _run_streams(scenario)
