"""Guards servers that state how many requests they accept from all nodes."""

import asyncio
import contextlib
import functools
import json
import time

import attrs

from balsamlug_standins import members
from tests.entry import fleet as fleets
from tests.entry import plain_calls

NODES = 3
SERVERS = 2
TARGET_MS = 500
LIMIT = 5.0
# The platform counts requests in windows of this length, from this time after
# the limit was first stated on.
WINDOW_S = 4.0
STABLE_WINDOW_S = 3.0
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5
SEND_INTERVAL_S = 0.025
PLAYED_S = 13.0
# Share of the permitted requests that are sent when there are more.
USED_SHARE = 0.8
HEAD_LIMIT = 4.0
HEAD_INTERVAL_S = 0.05
TARGET = "/calc/1"


@attrs.define
class _Site:
    plain: plain_calls.PlainFleet
    # Status and error body of each call.
    answers: list[tuple[int, bytes, str]] = attrs.field(factory=list)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def send_all(self, played_s: float) -> None:
        for number in range(int(played_s / SEND_INTERVAL_S)):
            task = asyncio.create_task(self._send(number))
            self._tasks.add(task)
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.gather(*self._tasks)

    async def _send(self, number: int) -> None:
        resp = await self.plain.call(TARGET, number)
        retry_after = resp.headers.get("Retry-After", "")
        self.answers.append((resp.code, resp.body, retry_after))


@contextlib.asynccontextmanager
async def _running(**behaviour):
    async with plain_calls.running(
        NODES, SERVERS, TARGET_MS, **behaviour
    ) as plain:
        yield _Site(plain)


def _most_in_a_window(times: list[float]) -> int:
    return max(
        sum(begin_s <= time_s < begin_s + WINDOW_S for time_s in times)
        for begin_s in times
    )


def test_server_gets_no_more_requests_than_it_states_from_all_nodes():
    async def scenario() -> None:
        async with _running(limit=LIMIT) as calls:
            since_s = time.monotonic() + STABLE_WINDOW_S
            await calls.send_all(PLAYED_S)
            until_s = since_s - STABLE_WINDOW_S + PLAYED_S
            for server in calls.plain.servers:
                times = [t for t, _ in server.arrivals if since_s <= t]
                allowed = EXCESS_FACTOR * LIMIT * WINDOW_S + EXCESS_REQUESTS
                assert _most_in_a_window(times) <= allowed
                permitted = LIMIT * (until_s - since_s)
                assert len(times) >= USED_SHARE * permitted

    asyncio.run(scenario())


def test_calls_are_refused_with_a_retry_time_while_all_servers_are_limited():
    async def scenario() -> None:
        async with _running(limit=LIMIT) as calls:
            await calls.send_all(6.0)
            refused = [a for a in calls.answers if a[0] != 200]
            assert refused
            for status, body, retry_after in refused:
                assert status in (429, 503)
                assert json.loads(body)["error"]["code"] == "rate_limited"
                assert 0 < float(retry_after) <= WINDOW_S

    asyncio.run(scenario())


def test_server_without_a_limit_gets_the_calls_that_others_do_not_accept():
    async def scenario() -> None:
        async with _running() as calls:
            calls.plain.servers[0].limit = LIMIT
            await calls.send_all(6.0)
            assert {answer[0] for answer in calls.answers} == {200}

    asyncio.run(scenario())


def test_limit_ends_with_an_answer_that_states_none():
    async def scenario() -> None:
        async with _running(limit=LIMIT) as calls:
            await calls.send_all(5.0)
            for server in calls.plain.servers:
                server.limit = None
            await asyncio.sleep(1.0)
            await calls.send_all(1.0)
            calls.answers.clear()
            await calls.send_all(2.0)
            assert {answer[0] for answer in calls.answers} == {200}

    asyncio.run(scenario())


def test_head_gets_no_more_streams_than_it_states_from_all_nodes():
    async def scenario() -> None:
        member = functools.partial(members.Member, limit=HEAD_LIMIT, slots=64)
        async with fleets.running(6, NODES, create_member=member) as fleet:
            await fleet.ready()
            since_s = time.monotonic() + STABLE_WINDOW_S
            tasks = []
            for number in range(int(PLAYED_S / HEAD_INTERVAL_S)):
                coro = fleet.send_request(number % NODES, f"r{number}")
                tasks.append(asyncio.create_task(coro))
                await asyncio.sleep(HEAD_INTERVAL_S)
            codes = {resp.code for resp in await asyncio.gather(*tasks)}
            assert codes == {200, 429}
            allowed = EXCESS_FACTOR * HEAD_LIMIT * WINDOW_S + EXCESS_REQUESTS
            for head in fleet.open_heads():
                times = [t for t, _ in head.arrivals if t >= since_s]
                assert _most_in_a_window(times) <= allowed
                permitted = HEAD_LIMIT * (PLAYED_S - STABLE_WINDOW_S)
                assert len(times) >= USED_SHARE * permitted

    asyncio.run(scenario())
