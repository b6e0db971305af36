"""Guards upstreams of the router that leave or want no requests for a time."""

import asyncio
import json
import time

from tornado import web

from balsamlug.router import upstream
from tests.router import fakes

REQUEST = {"model": "chat", "max_tokens": 2, "stream": False}
# The platform's bounds: a leaving upstream may still get requests for this
# time, and a busy one for the slack, and two more until its time is over.
DRAIN_S = 2.0
SLACK_S = 0.5
LATE_REQUESTS = 2
PAUSE_S = 3
INTERVAL_S = 0.05
SERVICE = "\n[service:stock]\naddresses = {}\nidempotent = yes\n"


class Upstream(web.RequestHandler):
    """Plain service that states what its server is to state."""

    def initialize(self, server: fakes.Engine) -> None:
        self.server = server

    def get(self) -> None:
        server = self.server
        server.arrivals.append(time.monotonic())
        if server.leaving:
            self.set_header("Server-Leaving", "1")
        if server.retry_after:
            self.set_status(503)
            self.set_header("Retry-After", server.retry_after)


async def _send(h, played_s: float) -> list[tuple[upstream.Response, bytes]]:
    tasks = []
    for number in range(round(played_s / INTERVAL_S)):
        body = REQUEST | {"prompt": f"p{number}"}
        tasks.append(asyncio.create_task(h.post(body)))
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*tasks)


async def _call(h, played_s: float) -> list[tuple[upstream.Response, bytes]]:
    tasks = []
    for _ in range(round(played_s / INTERVAL_S)):
        call = h.post(b"", "/services/stock/x", method="GET")
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*tasks)


def _late(server: fakes.Engine, since_s: float) -> int:
    return sum(at_s > since_s for at_s in server.arrivals)


def _statuses(answers) -> set[int]:
    return {resp.status for resp, _ in answers}


def _run(scenario, engines: int = 2) -> None:
    async def main() -> None:
        async with fakes.harness(engines) as h:
            await scenario(h)

    asyncio.run(main())


def _run_service(scenario) -> None:
    async def main() -> None:
        servers = [fakes.Engine(), fakes.Engine()]
        addresses = []
        for server in servers:
            routes = [(r"/.*", Upstream, {"server": server})]
            server.server, address = fakes.serve(web.Application(routes))
            addresses.append(address)
        text = SERVICE.format(", ".join(addresses))
        async with fakes.harness(0, text) as h:
            await scenario(h, servers)
        for server in servers:
            server.crash()

    asyncio.run(main())


def test_leaving_head_gets_no_more_work():
    async def scenario(h):
        head = h.engines[0]
        head.leaving = True
        started_s = time.monotonic()
        answers = await _send(h, DRAIN_S + 1)
        assert head.arrivals
        assert not _late(head, started_s + DRAIN_S)
        assert _statuses(answers) == {200}

    _run(scenario)


def test_head_of_the_next_generation_is_used():
    async def scenario(h):
        head = h.engines[0]
        head.leaving = True
        await _send(h, 1)
        head.leaving = False
        h.generation = 2
        h.report(0)
        h.report(1)
        since_s = time.monotonic()
        await _send(h, 1)
        assert _late(head, since_s)

    _run(scenario)


def test_head_gets_no_work_during_its_retry_after():
    async def scenario(h):
        head = h.engines[0]
        head.retry_after = str(PAUSE_S)
        await _send(h, 2 * INTERVAL_S)
        rejected_s = head.arrivals[0]
        answers = await _send(h, PAUSE_S - 0.5)
        assert _late(head, rejected_s + SLACK_S) <= LATE_REQUESTS
        assert _statuses(answers) == {200}
        head.retry_after = ""
        await asyncio.sleep(1)
        since_s = time.monotonic()
        await _send(h, 1)
        assert _late(head, since_s)

    _run(scenario)


def test_work_is_rejected_at_once_while_all_heads_are_busy():
    async def scenario(h):
        for head in h.engines:
            head.retry_after = str(PAUSE_S)
        await _send(h, 0.5)
        rejected_s = max(head.arrivals[0] for head in h.engines)
        asked_s = time.monotonic()
        resp, body = await h.post(REQUEST | {"prompt": "p"})
        assert time.monotonic() - asked_s < 0.2
        assert resp.status == 503
        error = json.loads(body)["error"]
        assert (error["code"], error["outcome"]) == (
            "upstreams_paused",
            "not_run",
        )
        first_s = min(head.arrivals[0] for head in h.engines)
        left_s = first_s + PAUSE_S - asked_s
        assert left_s - 0.2 <= float(resp.headers["Retry-After"])
        assert float(resp.headers["Retry-After"]) <= left_s + 1.5
        await _send(h, 1)
        for head in h.engines:
            assert _late(head, rejected_s + SLACK_S) <= LATE_REQUESTS

    _run(scenario)


def test_leaving_address_of_a_service_gets_no_more_calls():
    async def scenario(h, servers):
        servers[0].leaving = True
        started_s = time.monotonic()
        answers = await _call(h, DRAIN_S + 1)
        assert servers[0].arrivals
        assert not _late(servers[0], started_s + DRAIN_S)
        assert _statuses(answers) == {200}

    _run_service(scenario)


def test_busy_address_of_a_service_gets_no_calls_during_its_retry_after():
    async def scenario(h, servers):
        servers[0].retry_after = str(PAUSE_S)
        answers = await _call(h, PAUSE_S - 0.5)
        rejected_s = servers[0].arrivals[0]
        assert _late(servers[0], rejected_s + SLACK_S) <= LATE_REQUESTS
        assert _statuses(answers[len(answers) // 2 :]) == {200}
        servers[1].retry_after = str(PAUSE_S)
        await _call(h, 2 * INTERVAL_S)
        asked_s = time.monotonic()
        ((resp, _),) = await _call(h, INTERVAL_S)
        assert time.monotonic() - asked_s < 0.2
        assert resp.status == 503

    _run_service(scenario)
